//! Whether this process keeps up with its own work, and reaches others.

use crate::time::Instant;
use crate::time::Span;

/// How late a beat may be. Usual ones are a few milliseconds late; a question to a server waits for a tenth of
/// a second, so half of that makes its silence worth nothing.
const LATE: Span = Span(50);

/// Beats at a steady pace, and remembers when one was late.
///
/// A process that stood still, or that is short of processor time, finds the answers of all servers overdue. It
/// would take live ones for dead, and run a request on more servers than its route allows. What it believes of
/// others by their silence counts only if it was on time itself meanwhile.
///
/// A process may be on time and its link full: all answers are late then as well. So silence counts only if some
/// server, whichever, answered promptly a question that was asked after the silence began.
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
/// assert!(local_health.was_delayed(Instant(0), Instant(500)), "the next beat is overdue");
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
    pace: Span,
    last: Instant,
    /// When a late beat came.
    late: Option<Instant>,
    /// When the last question was asked that some server answered promptly.
    answered: Option<Instant>,
}

impl LocalHealth {
    /// Returns a local_health that is to beat at a pace.
    #[must_use]
    pub fn new(pace: Span) -> Self {
        Self {
            pace,
            last: Instant::default(),
            late: None,
            answered: None,
        }
    }

    /// Takes a beat.
    pub fn tick(&mut self, now: Instant) {
        if self.is_overdue(now) {
            self.late = Some(now);
        }
        self.last = now;
    }

    /// Tells whether a beat was late since a time, or is overdue now.
    #[must_use]
    pub fn was_delayed(&self, since: Instant, now: Instant) -> bool {
        self.is_overdue(now) || self.late.is_some_and(|late| late >= since)
    }

    /// Takes that some server promptly answered a question asked at a time.
    pub fn record_answer(&mut self, asked: Instant) {
        self.answered = self.answered.max(Some(asked));
    }

    /// Tells whether some server promptly answered a question that was asked since a time.
    #[must_use]
    pub fn was_connected(&self, since: Instant) -> bool {
        self.answered.is_some_and(|asked| asked >= since)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.since(self.last) > Span(self.pace.0 + LATE.0)
    }
}
