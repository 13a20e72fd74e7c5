//! Bodies of the service's responses, which end as whole ones only if something proves it.

use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use jujube_core::pipeline::framing::Ended;
use jujube_core::request::Request as Call;
use jujube_program::event;

use crate::state::State;

/// The body of a response to a call.
///
/// A service that breaks off closes its connection as at the end of a body without a length. Passed
/// on, that end would be framed anew and look whole; instead the body ends with an error.
pub(crate) struct Checked {
    body: Incoming,
    received: Ended,
    call: Call,
    state: State,
}

impl Checked {
    /// Returns the body of a response of which nothing was read; `received` is what is known of it.
    pub(crate) fn new(body: Incoming, received: Ended, call: Call, state: State) -> Self {
        Self {
            body,
            received,
            call,
            state,
        }
    }

    fn record(&mut self, frame: &Frame<Bytes>) {
        self.received.has_body |= frame.data_ref().is_some_and(|data| !data.is_empty());
        if self.received.shows_end() {
            self.state.shows_ends.store(true, Ordering::Relaxed);
        }
    }

    fn check(&self) -> io::Result<()> {
        let is_unusual = self.state.shows_ends.load(Ordering::Relaxed);
        self.received.check(is_unusual).map_err(|cause| {
            self.state.counters.add("responses_unproven", 1);
            event!(Warn, "unproven", call = self.call, cause);
            io::Error::other(cause.to_string())
        })
    }
}

impl Body for Checked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                self.record(&frame);
                Some(Ok(frame))
            }
            Some(Err(error)) => Some(Err(io::Error::other(error))),
            None => self.check().err().map(Err),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.received.framing.is_stated() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
