//! Deduplication of calls to a plain service, at one sidecar.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::request::BootId;
use crate::request::Request;
use crate::time::Instant;
use crate::time::Span;
use crate::verdict::Verdict;

/// The progress of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Accepted; nothing has been sent to the backend server yet.
    Received,
    /// Bytes were sent to the backend server, so it may have acted.
    Handed,
    /// The backend server answered with this status.
    Answered(u16),
    /// Known not to have run; a late copy is refused.
    Closed,
}

impl State {
    /// Returns the verdict on a call in this state.
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
            // A received call is about to be forwarded.
            Self::Received | Self::Handed => Verdict::MayHaveRun,
            Self::Answered(_) => Verdict::Ran,
            Self::Closed => Verdict::NotRun,
        }
    }
}

/// Why a dispatch was refused; it did not run the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// The dispatch was addressed to an earlier run of this sidecar.
    #[error("the sidecar has restarted")]
    Restarted,
    /// The backend server is draining.
    #[error("the backend server is leaving")]
    Draining,
    /// All slots are in use.
    #[error("no slot is free")]
    Busy,
    /// The call was accepted before; it is in this state.
    #[error("the call was taken before")]
    Repeated(State),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    at: Instant,
}

/// Records the calls of one run of a sidecar, so that each runs at most once.
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
    boot: BootId,
    slots: usize,
    busy: usize,
    draining: bool,
    records: BTreeMap<Request, Record>,
}

/// How long an ended call is kept, so that late copies are recognized.
///
/// Entries settle a lost call and close its connection within seconds.
const RETENTION: Span = Span(600_000);

impl Deduplicator {
    /// Returns an empty deduplicator for one run of a sidecar.
    #[must_use]
    pub fn new(boot: BootId, slots: usize) -> Self {
        Self {
            boot,
            slots,
            busy: 0,
            draining: false,
            records: BTreeMap::new(),
        }
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Sets the maximum number of concurrent calls.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Refuses new calls from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Accepts a call that is addressed to a given run of this sidecar.
    ///
    /// # Errors
    ///
    /// See [`Refused`]; this dispatch must not run the call.
    pub fn begin(
        &mut self,
        now: Instant,
        call: Request,
        addressed_to: BootId,
    ) -> Result<(), Refused> {
        if addressed_to != self.boot {
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

    /// Records the progress of a call.
    pub fn advance(&mut self, now: Instant, call: Request, state: State) {
        if let Some(record) = self.records.get_mut(&call) {
            *record = Record { state, at: now };
        }
    }

    /// Frees the slot of a call that ended, whatever its outcome.
    pub fn end(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Returns the verdict on a call that was addressed to a given run of this sidecar.
    ///
    /// An unknown call is closed first: its bytes may still be in transit, and a call that arrives
    /// after a `not-run` verdict would run twice once the caller retries. Calls of earlier runs are
    /// unknown, hence `may-have-run`.
    pub fn settle(&mut self, now: Instant, call: Request, addressed_to: BootId) -> Verdict {
        if addressed_to != self.boot {
            return Verdict::MayHaveRun;
        }
        let closed = Record {
            state: State::Closed,
            at: now,
        };
        self.records.entry(call).or_insert(closed).state.verdict()
    }

    /// Returns the state of a call; `None` if it is unknown.
    #[must_use]
    pub fn state(&self, call: Request) -> Option<State> {
        self.records.get(&call).map(|record| record.state)
    }

    /// Removes calls that ended longer than the retention time ago.
    pub fn tick(&mut self, now: Instant) {
        let in_flight = |state| matches!(state, State::Received | State::Handed);
        let recent = |record: &Record| now.since(record.at) <= RETENTION;
        self.records
            .retain(|_, record| in_flight(record.state) || recent(record));
    }
}
