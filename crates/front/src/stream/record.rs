//! The state of a stream in flight, shared by its tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
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
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::quarantine::run::Run;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use crate::retries::Retry;
use crate::upstream::Outgoing;

use super::interrupt::Interrupt;

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// Its connection failed.
    Broken,
    /// It was interrupted because its server is dead.
    Dead,
    /// It was given up because its server did not answer; the server may go on.
    Silent,
    /// It was interrupted, but its server may be alive.
    Abandoned,
    /// Its server cut it off because the caller did not read.
    Unread,
}

/// The value of `loss=` in logs.
impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "broken",
            Self::Dead => "dead",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
            Self::Unread => "unread",
        })
    }
}

/// A server may have cut off a response that was unread for longer than this, in one pause or in
/// several with less time in between: the little that is then read does not open the receive window.
const MAX_UNREAD: Span = Span(1_000);

/// How long clients wait for the next event: the longest of a fixed time and of multiples of the
/// route's targets for the first event and for gaps.
const CLIENT_PATIENCE: Span = Span(2_000);
const CLIENT_PATIENCE_IN_TARGETS: u64 = 4;
const CLIENT_PATIENCE_IN_GAPS: u64 = 8;
/// How much later than this entry a client may have received the last event.
const CLIENT_DELAY: Span = Span(500);

/// When and for how long the reading of a stream paused for its caller.
pub(super) struct Reading {
    /// Since when it is paused.
    paused: Cell<Option<Instant>>,
    /// When it last continued.
    since: Cell<Instant>,
    /// The time in pauses, less the time between them.
    unread: Cell<Span>,
    /// Until when a broken run counts as cut off because it was unread. What the server sent before
    /// is read first, so that the break shows only some time after the pause.
    unread_until: Cell<Instant>,
}

impl Reading {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            paused: Cell::default(),
            since: Cell::new(now),
            unread: Cell::default(),
            unread_until: Cell::new(now),
        }
    }

    fn record_pause(&self, now: Instant, pause: Span) {
        let unread = self.unread_after(now, pause);
        self.unread.set(unread);
        if unread > MAX_UNREAD {
            self.unread_until.set(now.plus(MAX_UNREAD));
        }
    }

    /// Returns the unread time at the end of a pause.
    fn unread_after(&self, now: Instant, pause: Span) -> Span {
        let since_last = now.since(self.since.get());
        let reading = since_last.0.saturating_sub(pause.0);
        let before = self.unread.get().0.saturating_sub(reading);
        // Bounded, so that a long pause is forgotten after as much time of reading.
        Span((before + pause.0).min(2 * MAX_UNREAD.0))
    }
}

/// A stream in flight.
pub struct Stream {
    /// The request's identifier.
    pub id: Arc<str>,
    /// What the request shares with its repetitions, and with others.
    pub features: Features,
    /// The model's service.
    pub service: Service,
    /// The route.
    pub route: Arc<Route>,
    /// The current path; `None` between two runs.
    pub path: RefCell<Option<Path>>,
    /// The previous path.
    pub(super) previous_path: RefCell<Option<Path>>,
    /// When the last event arrived or the request was last sent.
    pub last_activity: Cell<Instant>,
    /// When the last event arrived; unlike `last_activity`, not reset when the stream is reopened.
    pub last_event: Cell<Instant>,
    /// When the latest run was sent.
    pub(super) run_sent: Cell<Instant>,
    /// When the first event of the current run arrived.
    pub run_began: Cell<Option<Instant>>,
    /// Whether the server of the current run is known to have written on its parts and lived.
    pub(super) has_lived: Cell<bool>,
    /// Whether a run is known to have survived its beginning.
    pub(super) has_survived: Cell<bool>,
    /// When and for how long reading paused for the caller.
    pub(super) reading: Reading,
    /// The number of events received.
    pub events: Cell<u64>,
    /// The smoothed gap between events, in milliseconds.
    pub mean_gap_ms: Cell<f64>,
    /// Time from arrival to the first event.
    pub first_event_after: Cell<Span>,
    /// The longest gap between events.
    pub longest_gap: Cell<Span>,
    /// Whether the watchdog is checking or moving the stream.
    pub is_being_checked: Cell<bool>,
    /// Whether the path must be checked at the next tick because a server on it is suspected.
    pub needs_check: Cell<bool>,
    /// How often its path was changed during a run.
    pub repairs: Cell<u64>,
    /// How often it was moved off slow servers.
    pub slow_moves: Cell<u64>,
    /// Whether the request was sent to suspected servers.
    pub has_tried_suspect: Cell<bool>,
    /// When it may next be moved off draining servers.
    pub next_drain_move: Cell<Instant>,
    /// When it may next be checked.
    pub next_check: Cell<Instant>,
    /// When the response is due.
    pub deadline: Instant,
    /// The path for the next run, chosen and reserved in advance.
    pub planned_path: RefCell<Option<Path>>,
    /// Servers on which it stalled for no reported reason.
    pub excluded: RefCell<Vec<Incarnation>>,
    pub(super) demand: Demand,
    pub(super) outgoing: Outgoing,
    pub(super) arrived: Instant,
    /// The engines of its runs.
    pub(super) attempts: RefCell<Attempts>,
    /// Whether an engine has received the request, so that sending it again takes a retry.
    pub(super) was_sent: Cell<bool>,
    /// The retry for its next run.
    pub(super) retry: RefCell<Option<Retry>>,
    /// The engine on which the last run was lost, and when.
    pub(super) last_loss: RefCell<Option<(Incarnation, Instant)>>,
    /// Why its run should be interrupted, if so.
    pub(super) pending_interrupt: Cell<Option<Interrupt>>,
    /// Whether its run went on while another one was being opened, which is then given up.
    pub(super) has_gone_on: Cell<bool>,
    pub(super) is_expired: Cell<bool>,
    /// Wakes the response body.
    pub(super) body_waker: AtomicWaker,
    /// Wakes the task that opens a run. Separate from `body_waker`, because an `AtomicWaker` wakes
    /// only the task that registered last.
    pub(super) open_waker: AtomicWaker,
}

impl Stream {
    /// Interrupts the current run; the stream continues elsewhere if possible.
    pub fn interrupt(&self, interrupt: Interrupt) {
        self.pending_interrupt.set(Some(interrupt));
        self.body_waker.wake();
        self.open_waker.wake();
    }

    /// Ends the stream because its deadline has passed or its client has disconnected.
    pub fn expire(&self) {
        self.is_expired.set(true);
        self.body_waker.wake();
        self.open_waker.wake();
    }

    /// Returns the tokens needed from now on; those generated so far count as prompt.
    pub fn demand(&self, tokens_per_event: f64) -> Demand {
        let generated = self.events.get() as f64 * tokens_per_event;
        let generated = generated.min(self.demand.answer_tokens);
        Demand {
            prompt_tokens: self.demand.prompt_tokens + generated,
            answer_tokens: self.demand.answer_tokens - generated,
        }
    }

    /// Returns the latest run on a server.
    pub fn run_on(&self, server: &Incarnation, began: Option<Instant>) -> Run {
        Run {
            features: self.features.clone(),
            server: server.clone(),
            sent: self.run_sent.get(),
            began,
            may_be_complete: false,
        }
    }

    /// Returns how the latest run was lost.
    pub(super) fn loss(&self) -> Loss {
        match self.pending_interrupt.get() {
            Some(Interrupt::FirstDead) => Loss::Dead,
            Some(Interrupt::FirstSilent) => Loss::Silent,
            Some(Interrupt::PartDead | Interrupt::Reopen) => Loss::Abandoned,
            None if self.is_expired.get() || self.has_gone_on.get() => Loss::Abandoned,
            None => Loss::Broken,
        }
    }

    /// Returns how many times it was sent to engines that may have run it.
    pub fn runs(&self) -> usize {
        self.attempts.borrow().runs()
    }

    /// Returns whether reading is paused for the caller.
    pub fn is_paused(&self) -> bool {
        self.reading.paused.get().is_some()
    }

    /// Pauses reading, because there is no room for what the caller does not take.
    pub(super) fn pause_reading(&self, now: Instant) {
        let paused = self.reading.paused.get();
        self.reading.paused.set(paused.or(Some(now)));
    }

    /// Continues to read. The silence so far was not the server's.
    pub(super) fn continue_reading(&self, now: Instant) {
        if let Some(paused) = self.reading.paused.take() {
            self.reading.record_pause(now, now.since(paused));
            self.reading.since.set(now);
            self.last_activity.set(now);
        }
    }

    /// Returns whether a run that breaks now was probably cut off because the caller did not read.
    pub(super) fn is_unread(&self, now: Instant) -> bool {
        let reading = &self.reading;
        let is_long = |paused| reading.unread_after(now, now.since(paused)) > MAX_UNREAD;
        now < reading.unread_until.get() || reading.paused.get().is_some_and(is_long)
    }

    /// Returns when the last event arrived, or reading continued after it.
    pub(super) fn last_read(&self) -> Instant {
        self.last_event.get().max(self.reading.since.get())
    }

    /// Returns whether any client has disconnected by now, because no event has come for too long.
    pub(super) fn has_outlasted_client(&self, now: Instant) -> bool {
        let target = Span(self.route.latency_target.0 * CLIENT_PATIENCE_IN_TARGETS);
        let gap = Span(self.route.gap_target.0 * CLIENT_PATIENCE_IN_GAPS);
        let patience = CLIENT_PATIENCE.max(target).max(gap);
        now.since(self.last_read()) > Span(patience.0 + CLIENT_DELAY.0)
    }

    /// Waits until the stream expires.
    pub(super) async fn expired(&self) {
        poll_fn(|context| {
            self.body_waker.register(context.waker());
            if self.is_expired.get() {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    /// Waits until the run being opened is interrupted or no longer needed, or the stream expires.
    pub(super) async fn interrupted(&self) {
        poll_fn(|context| {
            self.open_waker.register(context.waker());
            let is_interrupted = self.pending_interrupt.get().is_some();
            if is_interrupted || self.is_expired.get() || self.has_gone_on.get() {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    /// Records that the silent run went on, which ends the opening of another one.
    pub(super) fn go_on(&self) {
        self.has_gone_on.set(true);
        self.open_waker.wake();
    }

    pub(super) fn record_event(&self, now: Instant) {
        const SMOOTHING: f64 = 0.2;
        let gap = now.since(self.last_activity.get());
        if self.events.get() > 0 {
            let mean_gap = self.mean_gap_ms.get();
            self.mean_gap_ms
                .set(mean_gap + (gap.0 as f64 - mean_gap) * SMOOTHING);
            let longest_gap = now.since(self.last_read());
            self.longest_gap
                .set(self.longest_gap.get().max(longest_gap));
        } else {
            self.first_event_after.set(now.since(self.arrived));
        }
        if self.run_began.get().is_none() {
            self.run_began.set(Some(now));
        }
        self.last_event.set(now);
        self.last_activity.set(now);
        self.events.set(self.events.get() + 1);
    }
}

impl Stream {
    /// Returns the first part of the path.
    pub(super) fn first_part(&self) -> Option<Part> {
        let path = self.path.borrow();
        path.as_ref()?.first().cloned()
    }

    /// Formats the path for logs.
    pub(super) fn path_text(&self) -> String {
        let (path, previous) = (self.path.borrow(), self.previous_path.borrow());
        let path = path.as_ref().or(previous.as_ref());
        path.map_or("-".into(), Path::to_string)
    }
}
