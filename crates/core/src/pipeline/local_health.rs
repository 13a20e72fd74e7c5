//! Detects delays and lost connectivity of this process itself.

use crate::time::Instant;
use crate::time::Span;

/// The maximum delay of a tick: half of the timeout of a health check. Ticks are usually a few
/// milliseconds late.
const MAX_TICK_DELAY: Span = Span(50);

/// Records whether this process runs on time and reaches other servers.
///
/// A process that was suspended or lacks CPU time finds the responses of all servers overdue. It
/// would take live servers for dead, and run requests on more servers than their routes allow.
/// Silence of a server therefore counts only if this process was on time.
///
/// A process may be on time while its link is saturated, which delays all responses. Silence
/// therefore counts only if some server promptly answered a check that was sent after the silence
/// began.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::local_health::LocalHealth;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut local_health = LocalHealth::new(Span(25));
/// local_health.tick(Instant(25));
/// local_health.tick(Instant(52));
/// assert!(!local_health.was_delayed(Instant(0), Instant(60)));
/// assert!(local_health.was_delayed(Instant(0), Instant(500)), "the next tick is overdue");
/// local_health.tick(Instant(500));
/// assert!(local_health.was_delayed(Instant(400), Instant(510)));
/// assert!(!local_health.was_delayed(Instant(505), Instant(510)));
///
/// local_health.record_answer(Instant(520));
/// assert!(local_health.was_connected(Instant(520)));
/// assert!(!local_health.was_connected(Instant(521)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LocalHealth {
    interval: Span,
    last: Instant,
    /// When the last delayed tick came.
    last_delayed: Option<Instant>,
    /// When the last check was sent that a server answered promptly.
    last_answered: Option<Instant>,
}

impl LocalHealth {
    /// Returns the health of a process that ticks at an interval.
    #[must_use]
    pub fn new(interval: Span) -> Self {
        Self {
            interval,
            last: Instant::default(),
            last_delayed: None,
            last_answered: None,
        }
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Instant) {
        if self.is_overdue(now) {
            self.last_delayed = Some(now);
        }
        self.last = now;
    }

    /// Returns whether a tick was delayed since a time, or is overdue now.
    #[must_use]
    pub fn was_delayed(&self, since: Instant, now: Instant) -> bool {
        self.is_overdue(now)
            || self
                .last_delayed
                .is_some_and(|last_delayed| last_delayed >= since)
    }

    /// Records that some server promptly answered a check sent at `asked`.
    pub fn record_answer(&mut self, asked: Instant) {
        self.last_answered = self.last_answered.max(Some(asked));
    }

    /// Returns whether some server promptly answered a check sent since a time.
    #[must_use]
    pub fn was_connected(&self, since: Instant) -> bool {
        self.last_answered.is_some_and(|asked| asked >= since)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.since(self.last) > Span(self.interval.0 + MAX_TICK_DELAY.0)
    }
}
