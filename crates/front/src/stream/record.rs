//! One stream in flight, as its tasks share it.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;

use futures::task::AtomicWaker;
use jujube_core::name::Service;
use jujube_core::pipeline::attempts::Attempts;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::document::Route;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use crate::retries::Retry;
use crate::upstream::Outgoing;

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// It broke off by itself.
    Broken,
    /// It was given up here, for its server is dead.
    Dead,
    /// It was given up here, and its server may live.
    Left,
}

/// Why a run is to be given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urge {
    /// The server that holds the stream is dead.
    Lost,
    /// Another part of its path is dead, and no other path was found for it yet.
    Broken,
    /// It may do better elsewhere.
    Elsewhere,
}

/// One stream in flight, as its tasks share it.
pub struct Stream {
    /// The request's identifier.
    pub id: Arc<str>,
    /// The model's service.
    pub service: Service,
    /// The route.
    pub route: Arc<Route>,
    /// The path that it runs on; `None` between two runs.
    pub path: RefCell<Option<Path>>,
    /// The path that it ran on before.
    pub(super) left: RefCell<Option<Path>>,
    /// When the last event came, or the request was sent.
    pub heard: Cell<Instant>,
    /// When the last event came; a stream that is opened again is heard anew, an event is not.
    pub last_event: Cell<Instant>,
    /// How many events came.
    pub events: Cell<u64>,
    /// The usual pause between events, in milliseconds.
    pub pace_ms: Cell<f64>,
    /// How long the caller waited for the first event.
    pub first: Cell<Span>,
    /// The longest pause between events.
    pub longest: Cell<Span>,
    /// Whether somebody looks after it.
    pub is_checked: Cell<bool>,
    /// Whether a server on its path has come under suspicion.
    pub is_urgent: Cell<bool>,
    /// How often its path was changed under way.
    pub repairs: Cell<u64>,
    /// How often it was taken off slow servers.
    pub detours: Cell<u64>,
    /// Not taken off servers that drain before this time.
    pub leave_at: Cell<Instant>,
    /// Not looked after before this time.
    pub check_at: Cell<Instant>,
    /// When the answer must be there.
    pub deadline: Instant,
    /// The path that it is to be opened on, chosen and booked already.
    pub planned: RefCell<Option<Path>>,
    /// Servers that kept it waiting for no reason that they tell.
    pub distrusted: RefCell<Vec<Incarnation>>,
    pub(super) need: Demand,
    pub(super) outgoing: Outgoing,
    pub(super) arrived: Instant,
    /// The engines that it ran on.
    pub(super) attempts: RefCell<Attempts>,
    /// Whether an engine got it, so that each further send is a retry.
    pub(super) was_sent: Cell<bool>,
    /// The retry for its next run.
    pub(super) retry: RefCell<Option<Retry>>,
    /// The engine with which its last run was lost, and when.
    pub(super) lost_with: RefCell<Option<(Incarnation, Instant)>>,
    /// Whether its run is to be given up.
    pub(super) abandoned: Cell<Option<Urge>>,
    pub(super) expired: Cell<bool>,
    /// Wakes the body of the answer.
    pub(super) waker: AtomicWaker,
    /// Wakes the task that opens the stream at an engine. It is another one than the body's: with one
    /// for both, the body would take the word that was meant for a run that is only being opened.
    pub(super) opener: AtomicWaker,
}

impl Stream {
    /// Has the current run given up; the request goes on elsewhere if it may.
    pub fn abandon(&self, urge: Urge) {
        self.abandoned.set(Some(urge));
        self.waker.wake();
        self.opener.wake();
    }

    /// Ends the stream because its time is over.
    pub fn expire(&self) {
        self.expired.set(true);
        self.waker.wake();
        self.opener.wake();
    }

    /// Returns what the request needs from now on: the events so far are read like a prompt.
    pub fn need(&self, tokens_per_event: f64) -> Demand {
        let written = self.events.get() as f64 * tokens_per_event;
        let written = written.min(self.need.answer_tokens);
        Demand {
            prompt_tokens: self.need.prompt_tokens + written,
            answer_tokens: self.need.answer_tokens - written,
        }
    }

    /// Returns how the run was lost that just ended.
    pub(super) fn loss(&self) -> Loss {
        match self.abandoned.get() {
            Some(Urge::Lost) => Loss::Dead,
            Some(Urge::Broken | Urge::Elsewhere) => Loss::Left,
            None if self.expired.get() => Loss::Left,
            None => Loss::Broken,
        }
    }

    /// Returns how many times it was sent to engines that may have run it.
    pub fn runs(&self) -> usize {
        self.attempts.borrow().runs()
    }

    /// Waits until the current run counts as lost or the time is over.
    pub(super) async fn lost(&self) {
        poll_fn(|context| {
            self.opener.register(context.waker());
            if self.abandoned.get().is_some() || self.expired.get() {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    pub(super) fn hear(&self, now: Instant) {
        const SMOOTHING: f64 = 0.2;
        let pause = now.since(self.heard.get());
        if self.events.get() > 0 {
            let pace = self.pace_ms.get();
            self.pace_ms.set(pace + (pause.0 as f64 - pace) * SMOOTHING);
            let longest = now.since(self.last_event.get());
            self.longest.set(self.longest.get().max(longest));
        } else {
            self.first.set(now.since(self.arrived));
        }
        self.last_event.set(now);
        self.heard.set(now);
        self.events.set(self.events.get() + 1);
    }
}

impl Stream {
    /// Returns the server that holds the stream.
    pub(super) fn first(&self) -> Option<Part> {
        let path = self.path.borrow();
        path.as_ref()?.first().cloned()
    }

    /// Returns the path as text, for logs.
    pub(super) fn path_text(&self) -> String {
        let (path, left) = (self.path.borrow(), self.left.borrow());
        let path = path.as_ref().or(left.as_ref());
        path.map_or("-".into(), Path::to_string)
    }
}
