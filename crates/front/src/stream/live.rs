//! The body of an answer: events as they come, through the loss of engines.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Incoming;
use jujube_core::pipeline::attempts::Outlook;
use jujube_core::pipeline::relay::Relay;
use jujube_program::clock;
use tokio::sync::oneshot;

use crate::answer::Reason;
use crate::dialect::Dialect;
use crate::request::Guard;
use crate::upstream::Incomplete;
use crate::waiting::Permit;

use super::booking::Kept;
use super::booking::Registration;
use super::booking::leave_path;
use super::open::Answer;
use super::open::GivenUp;
use super::open::holds_retry;
use super::open::lose;
use super::open::open;
use super::open::outlook;
use super::open::patience;
use super::record::Loss;
use super::record::Urge;

/// Where the events come from.
pub(super) enum Upstream {
    Reading {
        body: Incoming,
        lease: Option<crate::pool::Lease>,
        headers: HeaderMap,
    },
    /// The last run was lost.
    Lost,
    Done,
}

/// A further run that is being opened.
pub(super) struct Opening<D> {
    opened: oneshot::Receiver<Result<Incomplete, GivenUp>>,
    /// The path of the run that goes on meanwhile.
    kept: Kept<D>,
    /// Why that one is to be given up.
    urge: Option<Urge>,
}

/// The body of a stream's answer.
pub struct Live<D> {
    /// Whether the body is events, rather than a backend server's own failure.
    pub(super) is_events: bool,
    pub(super) registration: Registration<D>,
    #[expect(dead_code, reason = "frees its slot when dropped")]
    pub(super) permit: Permit<D>,
    #[expect(dead_code, reason = "counts the request in flight until dropped")]
    pub(super) guard: Guard<D>,
    pub(super) relay: Relay,
    pub(super) upstream: Upstream,
    pub(super) opening: Option<Opening<D>>,
    pub(super) out: VecDeque<Bytes>,
}

type Next = Option<io::Result<Bytes>>;

impl<D: Dialect> Live<D> {
    /// Returns the next whole events.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Next> {
        let stream = self.registration.stream.clone();
        stream.waker.register(context.waker());
        loop {
            if let Some(bytes) = self.out.pop_front() {
                return Poll::Ready(Some(Ok(bytes)));
            }
            if stream.expired.get() {
                return Poll::Ready(self.cut("deadline"));
            }
            if self.is_reading() && self.opening.is_none() {
                let urge = stream.abandoned.take();
                if let Some(end) = urge.and_then(|urge| self.give_up(urge)) {
                    return Poll::Ready(end);
                }
            }
            if let Some(opening) = &mut self.opening {
                if let Poll::Ready(opened) = Pin::new(&mut opening.opened).poll(context) {
                    let opened = opened.unwrap_or_else(|_| Err((Reason::Failed, "stopped".into())));
                    if let Some(end) = self.take_opened(opened) {
                        return Poll::Ready(end);
                    }
                    continue;
                }
            }
            let polled = match &mut self.upstream {
                Upstream::Done => return Poll::Ready(None),
                Upstream::Lost => return Poll::Pending,
                Upstream::Reading { body, .. } => Pin::new(body).poll_frame(context),
            };
            let end = match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.take(data),
                    Err(_trailers) => None,
                },
                Poll::Ready(Some(Err(error))) => self.resume(&error.to_string(), Loss::Broken),
                Poll::Ready(None) => self.end(),
            };
            if let Some(end) = end {
                return Poll::Ready(end);
            }
        }
    }

    fn take(&mut self, data: Bytes) -> Option<Next> {
        if !self.is_events {
            self.out.push_back(data);
            return None;
        }
        let mut whole = Vec::new();
        let outcome = self.relay.feed(data, &mut whole);
        if !whole.is_empty() {
            let now = clock::now();
            let stream = &self.registration.stream;
            if stream.events.get() == 0 {
                self.registration.took();
                let took = now.since(stream.arrived);
                self.registration.state.metrics.observe("first_event", took);
            }
            stream.hear(now);
        }
        self.out.extend(whole);
        match outcome {
            Ok(()) => None,
            Err(fault) => self.resume(&fault.to_string(), Loss::Broken),
        }
    }

    fn end(&mut self) -> Option<Next> {
        if let Err(fault) = self.relay.end() {
            return self.resume(&fault.to_string(), Loss::Broken);
        }
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        let took = clock::now().since(stream.arrived);
        state.metrics.count("streams_completed");
        state.metrics.observe("stream", took);
        log::info!(
            "event=streamed request={} events={} took_ms={took} first_ms={} longest_pause_ms={} runs={} \
             repairs={}",
            stream.id,
            self.relay.events(),
            stream.first.get(),
            stream.longest.get(),
            stream.runs(),
            stream.repairs.get()
        );
        if let Upstream::Reading { lease, headers, .. } = &mut self.upstream {
            if let Some(lease) = lease.take() {
                lease.release(headers);
            }
        }
        self.upstream = Upstream::Done;
        Some(None)
    }

    fn is_reading(&self) -> bool {
        matches!(self.upstream, Upstream::Reading { .. })
    }

    /// Tells whether the stream may be opened again after its last whole event.
    fn may_go_on(&self) -> bool {
        let stream = &self.registration.stream;
        let is_over = outlook(&self.registration.state, stream) == Outlook::Closed;
        self.is_events && stream.route.resumable && !is_over
    }

    /// Gives up the current run, at once or when another is open.
    fn give_up(&mut self, urge: Urge) -> Option<Next> {
        if urge == Urge::Lost {
            return self.resume("abandoned", Loss::Dead);
        }
        if !self.may_go_on() {
            return self.stay(urge, "no-server-left");
        }
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        if !holds_retry(state, stream) {
            // Another path for the run needs none, and nobody looks for one while a stream waits for a retry.
            return self.stay(urge, "no-retry-left");
        }
        if let Some(first) = stream.first() {
            state.failed(&first.server);
        }
        self.open(Some(urge), "abandoned");
        None
    }

    /// Goes on at another path after the last whole event, if the route allows it.
    fn resume(&mut self, cause: &str, loss: Loss) -> Option<Next> {
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        let cause = cause.replace(' ', "-");
        let kept = self
            .opening
            .as_ref()
            .and_then(|opening| opening.kept.first());
        let first = kept.cloned().or_else(|| stream.first());
        if let Some(first) = first {
            lose(state, stream, &first, loss);
        }
        // Dropping the old body closes its connection, and the engine stops.
        self.upstream = Upstream::Lost;
        if let Some(opening) = &mut self.opening {
            opening.kept.release();
            return None;
        }
        if !self.may_go_on() {
            return Some(self.cut(&cause));
        }
        leave_path(state, stream);
        self.open(None, &cause);
        None
    }

    /// Has a further run opened; one that there is goes on meanwhile.
    fn open(&mut self, urge: Option<Urge>, cause: &str) {
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        let last = self.relay.last();
        log::info!(
            "event=resuming request={} after={} path={} cause={cause}",
            stream.id,
            last.unwrap_or(0),
            stream.path_text()
        );
        state.metrics.count("streams_resumed");
        let (sender, opened) = oneshot::channel();
        let kept = Kept::take(state, stream);
        let beside = kept.first().map(|first| first.server.clone());
        self.opening = Some(Opening { opened, kept, urge });
        let (state, stream) = (state.clone(), stream.clone());
        tokio::task::spawn_local(async move {
            let opened = open(&state, &stream, last, Answer::Begun(beside)).await;
            // A caller that has left meanwhile drops the receiver, and with it the new run.
            let _caller_gone = sender.send(opened);
        });
    }

    /// Takes a further run, or the word that there is none.
    fn take_opened(&mut self, opened: Result<Incomplete, GivenUp>) -> Option<Next> {
        let opening = self.opening.take()?;
        match (opened, opening.urge) {
            (Ok(incomplete), _) => {
                if let Some(first) = opening.kept.first() {
                    let stream = &self.registration.stream;
                    stream.attempts.borrow_mut().left(&first.server);
                }
                self.go_on(incomplete);
                None
            }
            (Err((_, cause)), Some(urge)) if self.is_reading() => {
                opening.kept.give_back();
                // What urged meanwhile concerns a run that never came to be.
                self.registration.stream.abandoned.take();
                self.stay(urge, &cause)
            }
            (Err((_, cause)), _) => Some(self.cut(&cause)),
        }
    }

    /// Leaves the stream on its run.
    ///
    /// What stands still may go on, and a dead part may yet be replaced, while a stream that is cut off is lost. One
    /// with a dead part is cut off once its caller can be expected to leave.
    fn stay(&mut self, urge: Urge, cause: &str) -> Option<Next> {
        let stream = &self.registration.stream;
        if urge == Urge::Broken && patience(stream).is_none() {
            return Some(self.cut(cause));
        }
        self.registration.state.metrics.count("streams_kept");
        log::info!(
            "event=run-kept request={} events={} path={} urge={urge:?} cause={cause}",
            stream.id,
            stream.events.get(),
            stream.path_text()
        );
        None
    }

    fn go_on(&mut self, incomplete: Incomplete) {
        let (parts, body) = incomplete.response.into_parts();
        self.relay.restart();
        self.upstream = Upstream::Reading {
            body,
            lease: Some(incomplete.lease),
            headers: parts.headers,
        };
    }

    /// Breaks the answer off; the caller sees a connection that ends early.
    fn cut(&mut self, cause: &str) -> Next {
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        state.metrics.count("streams_cut");
        log::warn!(
            "event=cut request={} events={} took_ms={} path={} cause={cause}",
            stream.id,
            self.relay.events(),
            clock::now().since(stream.arrived),
            stream.path_text()
        );
        self.upstream = Upstream::Done;
        Some(Err(io::Error::other("the stream cannot be continued")))
    }
}
