//! One suspected server.

use std::ops::RangeInclusive;

use crate::time::Instant;
use crate::time::Span;

/// The first delay before a suspect is checked again.
///
/// Short, so that a server that reset a single connection stays in use; a crashed server registers
/// under another name.
const FIRST_DELAY: Span = Span(200);
/// The longest silence of a sound server, which may be suspended for a second or so and go on.
const MAX_PAUSE: Span = Span(1_500);
/// The shortest and the longest time that a suspected server gets to answer a check.
const PATIENCE: RangeInclusive<Span> = Span(1_000)..=Span(10_000);
/// The shortest time between two requests that are sent to the same suspected server.
const SERVER_TRIAL_INTERVAL: Span = Span(5_000);
/// The maximum age of a check at the time its server becomes suspected: the timeout of a response
/// is 0.1 s, that of a connection less than 0.5 s.
const MAX_CHECK_AGE: Span = Span(500);

/// What is known of a suspected server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    pub(super) since: Instant,
    pub(super) check_at: Instant,
    pub(super) delay: Span,
    /// Its address refuses connections.
    pub(super) is_refusing: bool,
    /// When it last left a check unanswered.
    pub(super) last_failed: Instant,
    /// When a request was last sent to it although it is suspected.
    pub(super) tried: Option<Instant>,
}

impl Suspect {
    /// Returns a server that was found unresponsive.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            check_at: now.plus(FIRST_DELAY),
            delay: FIRST_DELAY,
            is_refusing: false,
            last_failed: now,
            tried: None,
        }
    }

    /// Returns how long it may take to answer a check.
    pub(super) fn patience(&self, now: Instant) -> Span {
        let elapsed = now.since(self.since);
        elapsed.clamp(*PATIENCE.start(), *PATIENCE.end())
    }

    /// Returns the earliest time at which the check may have been sent that made it a suspect.
    pub(super) fn checked_at(&self) -> Instant {
        Instant(self.since.0.saturating_sub(MAX_CHECK_AGE.0))
    }

    /// Returns the earliest time of a check that no sound server leaves unanswered.
    pub(super) fn decisive_at(&self) -> Instant {
        self.since.plus(MAX_PAUSE)
    }

    /// Returns whether a request may be sent to it although it is suspected.
    pub(super) fn may_be_tried(&self, now: Instant) -> bool {
        let is_due = is_past(now, self.tried, SERVER_TRIAL_INTERVAL);
        is_due && !self.is_refusing && now >= self.decisive_at()
    }

    /// Returns whether it left such a check unanswered.
    pub(super) fn is_beyond_pause(&self) -> bool {
        self.last_failed >= self.decisive_at()
    }
}

/// Returns whether a span has passed since an event, if there was one.
pub(super) fn is_past(now: Instant, event: Option<Instant>, span: Span) -> bool {
    event.is_none_or(|at| now.since(at) >= span)
}
