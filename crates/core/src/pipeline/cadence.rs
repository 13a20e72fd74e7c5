//! How soon an entry answers the next check on a connection.

use crate::time::Instant;
use crate::time::Span;

/// The shortest time between two answers. Platforms check and read metrics every second or less
/// often.
const INTERVAL: Span = Span(100);

/// The pace of the answers on one connection.
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
#[derive(Clone, Copy, Debug, Default)]
pub struct Cadence {
    next: Instant,
}

impl Cadence {
    /// Records a check and returns how long its answer is to wait.
    pub fn wait(&mut self, now: Instant) -> Span {
        let at = self.next.max(now);
        self.next = at.plus(INTERVAL);
        at.since(now)
    }
}
