//! Deduplication of calls to a plain service, at one sidecar.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::request::BootId;
use crate::request::Request;
use crate::time::Instant;
use crate::time::Span;
use crate::verdict::Verdict;

/// How far a call has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Taken, and nothing sent to the backend server yet.
    Received,
    /// Bytes went to the backend server: it may have acted.
    Handed,
    /// The backend server answered with this status.
    Answered(u16),
    /// Proved not to have run; a late copy is refused.
    Closed,
}

impl State {
    /// Returns what may be said of a call in this state.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::at_most_once::State;
    /// # use jujube_core::verdict::Verdict;
    /// assert_eq!(State::Handed.verdict(), Verdict::MayHaveRun);
    /// ```
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            // A call that is only received will be handed on in the next moment.
            Self::Received | Self::Handed => Verdict::MayHaveRun,
            Self::Answered(_) => Verdict::Ran,
            Self::Closed => Verdict::NotRun,
        }
    }
}

/// Why a call was not taken. It did not run through this dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// The dispatch was meant for an earlier run of this sidecar.
    #[error("the sidecar has restarted")]
    Restarted,
    /// The backend server is leaving.
    #[error("the backend server is leaving")]
    Draining,
    /// Every slot is taken.
    #[error("no slot is free")]
    Busy,
    /// A copy of a call that was taken before; its state is given.
    #[error("the call was taken before")]
    Repeated(State),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    at: Instant,
}

/// The at-most-once deduplicator.
///
/// # Examples
///
/// ```
/// # use jujube_core::at_most_once::Deduplicator;
/// # use jujube_core::request::BootId;
/// # use jujube_core::request::Request;
/// # use jujube_core::time::Instant;
/// # use jujube_core::verdict::Verdict;
/// let mut deduplicator = Deduplicator::new(BootId(1), 8);
/// let call = Request::default();
/// deduplicator.begin(Instant(0), call, BootId(1))?;
/// assert_eq!(deduplicator.settle(Instant(1), call, BootId(1)), Verdict::MayHaveRun);
/// # Ok::<(), jujube_core::at_most_once::Refused>(())
/// ```
#[derive(Clone, Debug)]
pub struct Deduplicator {
    incarnation: BootId,
    slots: usize,
    busy: usize,
    draining: bool,
    records: BTreeMap<Request, Record>,
}

/// How long an ended call is remembered.
///
/// An entry settles a call within seconds of losing it, and closes the connection that carried it;
/// ten minutes outlast both by far.
const REMEMBER: Span = Span(600_000);

impl Deduplicator {
    /// Returns an empty deduplicator for one run of a sidecar.
    #[must_use]
    pub fn new(incarnation: BootId, slots: usize) -> Self {
        Self {
            incarnation,
            slots,
            busy: 0,
            draining: false,
            records: BTreeMap::new(),
        }
    }

    /// Returns how many calls are in flight.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Sets how many calls are taken at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Refuses new calls from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes a call that was meant for a given run of this sidecar.
    ///
    /// # Errors
    ///
    /// See [`Refused`]; the call does not run through this dispatch.
    pub fn begin(&mut self, now: Instant, call: Request, meant_for: BootId) -> Result<(), Refused> {
        if meant_for != self.incarnation {
            return Err(Refused::Restarted);
        }
        if let Some(record) = self.records.get(&call) {
            return Err(Refused::Repeated(record.state));
        }
        if self.draining {
            return Err(Refused::Draining);
        }
        if self.busy >= self.slots {
            return Err(Refused::Busy);
        }
        self.busy += 1;
        let state = State::Received;
        self.records.insert(call, Record { state, at: now });
        Ok(())
    }

    /// Books how far a call has come.
    pub fn advance(&mut self, now: Instant, call: Request, state: State) {
        if let Some(record) = self.records.get_mut(&call) {
            *record = Record { state, at: now };
        }
    }

    /// Frees the slot of a call that has ended, whatever became of it.
    pub fn end(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Says what became of a call that was meant for a given run of this sidecar.
    ///
    /// A call that is not known is closed first: its bytes may still be on the way, and saying
    /// `not-run` of a call that arrives a moment later would double an approval. After a restart
    /// nothing is known of earlier calls, hence `may-have-run`.
    pub fn settle(&mut self, now: Instant, call: Request, meant_for: BootId) -> Verdict {
        if meant_for != self.incarnation {
            return Verdict::MayHaveRun;
        }
        let closed = Record {
            state: State::Closed,
            at: now,
        };
        self.records.entry(call).or_insert(closed).state.verdict()
    }

    /// Returns how far a call has come; `None` when it is not known.
    #[must_use]
    pub fn state(&self, call: Request) -> Option<State> {
        self.records.get(&call).map(|record| record.state)
    }

    /// Forgets what ended long ago.
    pub fn tick(&mut self, now: Instant) {
        let in_flight = |state| matches!(state, State::Received | State::Handed);
        let recent = |record: &Record| now.since(record.at) <= REMEMBER;
        self.records
            .retain(|_, record| in_flight(record.state) || recent(record));
    }
}
