//! Response bodies sent to clients.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::stream::Events;
use crate::unary::Received;

/// A response body.
pub enum Body<D: Dialect> {
    /// A buffered body; `None` once it was read or if it is empty.
    Buffered(Option<Bytes>),
    /// A server's response, which was received whole.
    Answer(Answer),
    /// A stream of events, forwarded as they arrive.
    Events(Events<D>),
}

impl<D: Dialect> Body<D> {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates a text body.
    pub fn text(text: impl Into<String>) -> Self {
        Self::buffered(text.into().into())
    }
}

impl<D: Dialect> hyper::body::Body for Body<D> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Answer(answer) => answer.poll().map(|next| Some(Ok(Frame::data(next?)))),
            Self::Events(events) => events
                .poll(context)
                .map(|next| Some(next?.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Answer(answer) => answer.received.is_empty(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Answer(answer) => SizeHint::with_exact(answer.received.size().0),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// The body of a server's response, which was received whole.
pub struct Answer {
    received: Received,
    outbound: Outbound,
}

impl Answer {
    /// Creates the body.
    pub fn new(received: Received, outbound: Outbound) -> Self {
        let reservation = received.reservation().clone();
        outbound.delivery().set_holder(Some(reservation));
        Self { received, outbound }
    }

    fn poll(&mut self) -> Poll<Option<Bytes>> {
        if self.outbound.delivery().is_blocked() {
            // The connection polls again once it has written what it has.
            return Poll::Pending;
        }
        Poll::Ready(self.received.pop())
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        // The connection drops a body once it has all of it; it does not poll an empty one.
        if self.received.is_empty() {
            self.outbound.finish();
        }
        self.outbound.delivery().set_holder(None);
    }
}
