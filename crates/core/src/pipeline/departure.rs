//! Which requests a process that stops may still take.

use crate::time::Instant;
use crate::time::Span;

/// How long before a process exits its last responses are due, so that they reach their callers.
const ANSWER_MARGIN: Span = Span(150);

/// How long a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// When its caller or its route gives it up.
    pub due: Instant,
    /// The time that it is expected to take, which counts if it may be repeated.
    pub expected: Span,
    /// Whether it may run again elsewhere if it does not end in time.
    pub may_repeat: bool,
}

/// The planned end of a process.
///
/// A request that may not be repeated is taken only if it is given up before the process exits: once
/// it is cut, its caller can neither repeat it nor know whether it has run. A request that may be
/// repeated is taken if it is expected to end in time.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::departure::Departure;
/// # use jujube_core::pipeline::departure::Work;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let departure = Departure::at(Instant(8_000));
/// let payment = |due| Work { due, expected: Span(200), may_repeat: false };
/// assert!(departure.allows(Instant(2_500), payment(Instant(7_500))));
/// assert!(!departure.allows(Instant(2_500), payment(Instant(8_500))));
///
/// let search = Work { may_repeat: true, ..payment(Instant(8_500)) };
/// assert!(departure.allows(Instant(2_500), search));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    last_answer: Instant,
}

impl Departure {
    /// Plans the end of a process that exits at this time.
    #[must_use]
    pub fn at(exit: Instant) -> Self {
        let last_answer = Instant(exit.0.saturating_sub(ANSWER_MARGIN.0));
        Self { last_answer }
    }

    /// Returns when each request still here has to be answered.
    #[must_use]
    pub fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Returns whether a request may be sent to a server now.
    #[must_use]
    pub fn allows(&self, now: Instant, work: Work) -> bool {
        self.last_start(work).is_some_and(|last| now < last)
    }

    /// Returns until when a request may be sent to a server; `None` if it never may.
    #[must_use]
    pub fn last_start(&self, work: Work) -> Option<Instant> {
        if work.due <= self.last_answer {
            return Some(self.last_answer);
        }
        let latest = self.last_answer.0.checked_sub(work.expected.0);
        latest.map(Instant).filter(|_| work.may_repeat)
    }
}
