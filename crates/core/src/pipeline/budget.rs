//! One entry's part of the retries that a service allows.

use std::collections::VecDeque;

use crate::time::Instant;
use crate::time::Span;

/// How many arrivals beyond the first of each request a service takes, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals on top of that in one window, over all entries.
    pub slack: f64,
    /// The window.
    pub window: Span,
}

/// The part of the ratio that requests pay for before a window begins, and as much again within it.
///
/// A service counts extra arrivals of a window against the requests of that window or of the one before,
/// whichever are more; half of each is never more than the larger one, whatever the load does. Either one
/// alone would do for a single process too, but a process that has just started has had no requests in the
/// window before, and an outage begins with few in its own.
const PAID: f64 = 0.5;
/// The part of the requests that counts: some two in a hundred are not the callers' own, such as checks of a
/// new configuration, and a service need not count them.
const COUNTED: f64 = 0.95;
/// How long after it was booked an extra arrival may come: half a second until it is sent, 0.4 s for a new
/// connection, and a packet that is lost is sent again after one second.
const ARRIVES: Span = Span(2_000);
/// How much earlier than it was booked a request may have been sent: the same lost packet.
const SENT: Span = Span(1_000);

impl Policy {
    /// Returns how long extra arrivals matter: any window in which one arrives ends within this time.
    #[must_use]
    pub fn reach(&self) -> Span {
        Span(self.window.0 + ARRIVES.0)
    }

    /// Returns how long before the start of a span of extra arrivals requests may pay for it.
    fn ahead(&self) -> Span {
        Span(self.window.0.saturating_sub(ARRIVES.0 + SENT.0))
    }
}

/// What decides on one more extra arrival: the span of time that has the least left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Extra arrivals in that span.
    pub spent: u64,
    /// Extra arrivals that requests pay for.
    pub paid: f64,
    /// This entry's part of the slack.
    pub share: f64,
}

impl Balance {
    /// Tells whether one more extra arrival is within what is paid for and the share.
    #[must_use]
    pub fn allow(&self) -> bool {
        self.left() >= 1.0
    }

    fn left(&self) -> f64 {
        self.paid + self.share - self.spent as f64
    }
}

/// Counts requests and extra arrivals of one service.
///
/// Without it a failing service would get every request as often as its route allows, which keeps
/// it down. What one entry allows itself holds for every window by itself, so that the sum over all entries
/// holds without a word between them, also over those that have ended; the parts of the slack are dealt by
/// [`super::reserve::Reserve`].
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::budget::Budget;
/// # use jujube_core::pipeline::budget::Policy;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let policy = Policy { ratio: 0.2, slack: 4.0, window: Span(10_000) };
/// let share = policy.slack / 4.0;
/// let mut budget = Budget::default();
/// assert!(budget.take(Instant(0), &policy, share));
/// assert!(!budget.take(Instant(0), &policy, share), "the share is used up");
/// assert!(budget.take(Instant(12_001), &policy, share));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    extra: VecDeque<Instant>,
}

impl Budget {
    /// Books a request.
    pub fn request(&mut self, now: Instant, policy: &Policy) {
        let kept = Span(policy.reach().0 + policy.ahead().0);
        forget(&mut self.requests, now, kept);
        self.requests.push_back(now);
    }

    /// Returns what decides on one more extra arrival for an entry with this share of the slack.
    ///
    /// Every span of time up to now is looked at, not only the longest: a service may count from any moment.
    pub fn balance(&mut self, now: Instant, policy: &Policy, share: f64) -> Balance {
        forget(&mut self.extra, now, policy.reach());
        let balance = |begins: Instant, spent: usize| {
            let from = Instant(begins.0.saturating_sub(policy.ahead().0));
            let before = self.requests.partition_point(|time| *time < from);
            let requests = (self.requests.len() - before) as f64;
            Balance {
                spent: spent as u64,
                paid: requests * policy.ratio * PAID * COUNTED,
                share,
            }
        };
        let newest_first = self.extra.iter().rev().enumerate();
        let spans = newest_first.map(|(newer, begins)| balance(*begins, newer + 1));
        spans.fold(balance(now, 0), |least, span| {
            if span.left() < least.left() {
                span
            } else {
                least
            }
        })
    }

    /// Takes one extra arrival; `false` when nothing is left.
    pub fn take(&mut self, now: Instant, policy: &Policy, share: f64) -> bool {
        let is_allowed = self.balance(now, policy, share).allow();
        if is_allowed {
            self.book(now);
        }
        is_allowed
    }

    /// Books an extra arrival that its balance allow.
    pub fn book(&mut self, now: Instant) {
        self.extra.push_back(now);
    }

    /// Gives back an extra arrival that was taken at a time and not sent.
    pub fn give_back(&mut self, taken: Instant) {
        if let Some(index) = self.extra.iter().rposition(|time| *time == taken) {
            self.extra.remove(index);
        }
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, kept: Span) {
    while times.front().is_some_and(|time| now.since(*time) > kept) {
        times.pop_front();
    }
}
