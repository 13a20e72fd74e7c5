//! How soon something may be done again that others ask for, or bring about.

use crate::time::Instant;
use crate::time::Span;

/// The shortest time between two answers to checks. Platforms check and read metrics every second or
/// less often.
const CHECK_INTERVAL: Span = Span(100);

/// A shortest time between two of the same.
///
/// Without it, a connection on which checks are sent one after the other takes the processor from
/// requests.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::cadence::Cadence;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut cadence = Cadence::default();
/// assert_eq!(cadence.wait(Instant(1_000)), Span(0));
/// assert_eq!(cadence.wait(Instant(1_010)), Span(90));
/// assert_eq!(cadence.wait(Instant(2_000)), Span(0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Cadence {
    interval: Span,
    next: Instant,
}

/// The cadence of the answers to checks on one connection.
impl Default for Cadence {
    fn default() -> Self {
        Self::of(CHECK_INTERVAL)
    }
}

impl Cadence {
    /// Returns a cadence with a shortest time.
    #[must_use]
    pub fn of(interval: Span) -> Self {
        Self {
            interval,
            next: Instant::default(),
        }
    }

    /// Records that something is to be done, and returns how long it is to wait.
    pub fn wait(&mut self, now: Instant) -> Span {
        let at = self.next.max(now);
        self.next = at.plus(self.interval);
        at.since(now)
    }
}
