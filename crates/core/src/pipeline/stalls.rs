//! How long the event loop of this process did not run.

use crate::time::Instant;
use crate::time::Span;

/// The shortest stall that is told, longer than the pauses of a machine with a tenth of a core.
const MIN_TOLD: Span = Span(150);
/// The shortest time between two stalls that are told.
const TELL_INTERVAL: Span = Span(1_000);

/// Measures how late the ticks of the event loop come.
///
/// All of an entry runs on one thread. While it computes, no request is read and no answer is
/// passed on, which shows in no other figure.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::stalls::Stalls;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut stalls = Stalls::new(Instant(1_000), Span(25));
/// assert_eq!(stalls.tick(Instant(1_065)), None, "a short one is not told");
/// assert_eq!(stalls.tick(Instant(1_500)), Some(Span(410)));
/// assert_eq!(stalls.tick(Instant(1_925)), None, "one was told not long before");
/// assert_eq!(stalls.take_longest(), Span(410));
/// assert_eq!(stalls.take_longest(), Span(0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Stalls {
    interval: Span,
    last: Instant,
    longest: Span,
    told: Option<Instant>,
}

impl Stalls {
    /// Returns the stalls of a loop that begins now and ticks at an interval.
    #[must_use]
    pub fn new(now: Instant, interval: Span) -> Self {
        Self {
            interval,
            last: now,
            longest: Span(0),
            told: None,
        }
    }

    /// Records a tick. Returns how late it came if that is to be told.
    pub fn tick(&mut self, now: Instant) -> Option<Span> {
        let gap = now.since(self.last);
        self.last = now;
        let stall = Span(gap.0.saturating_sub(self.interval.0));
        self.longest = self.longest.max(stall);
        let was_told = self
            .told
            .is_some_and(|told| now.since(told) < TELL_INTERVAL);
        if stall < MIN_TOLD || was_told {
            return None;
        }
        self.told = Some(now);
        Some(stall)
    }

    /// Returns the longest stall since the last call.
    pub fn take_longest(&mut self) -> Span {
        std::mem::take(&mut self.longest)
    }
}
