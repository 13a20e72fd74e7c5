//! The part of a service's retry budget that one entry may spend.

use std::collections::VecDeque;

use crate::time::Instant;
use crate::time::Span;

/// Limits the extra arrivals that a service accepts from all entries together. Every arrival of a
/// request after its first one is extra.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals allowed in each window on top of the ratio, over all entries.
    pub slack: f64,
    /// The length of the window.
    pub window: Span,
}

/// The part of the ratio that requests earn before a window begins; requests within the window earn
/// as much again.
///
/// A service compares the extra arrivals of a window with the requests of that window or of the
/// previous one, whichever are more. Half of each never exceeds the larger one. Using both covers a
/// process that has just started, which has no previous window, and the start of an outage, when
/// the current window has few requests.
const EARNED_BEFORE: f64 = 0.5;
/// The part of the requests that earns retries. About 2 % are not the callers' own, such as checks
/// of a new configuration, and a service may not count them.
const COUNTED_SHARE: f64 = 0.95;
/// The longest delay between recording an extra arrival and its arrival: 0.5 s until it is sent,
/// 0.4 s to connect, and 1 s to retransmit a lost packet.
const MAX_ARRIVAL_DELAY: Span = Span(2_000);
/// The longest time by which a request may have been sent before it was recorded: one
/// retransmission.
const MAX_SEND_LEAD: Span = Span(1_000);

impl Policy {
    /// Returns how long an extra arrival has to be remembered: any window in which it arrives ends
    /// within this time.
    #[must_use]
    pub fn reach(&self) -> Span {
        Span(self.window.0 + MAX_ARRIVAL_DELAY.0)
    }

    /// Returns how long a request counts.
    fn request_age(&self) -> Span {
        Span(self.reach().0 + self.earning_span().0)
    }

    /// Returns how long before the first of some extra arrivals a request still earns retries for
    /// them.
    fn earning_span(&self) -> Span {
        Span(
            self.window
                .0
                .saturating_sub(MAX_ARRIVAL_DELAY.0 + MAX_SEND_LEAD.0),
        )
    }
}

/// The balance of the interval that has the fewest retries left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Extra arrivals in the interval.
    pub spent: u64,
    /// Extra arrivals that requests have earned.
    pub paid: f64,
    /// This entry's share of the slack.
    pub share: f64,
}

impl Balance {
    /// Returns whether one more extra arrival is within the budget.
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
/// Prevents retries from keeping a failing service overloaded. Each entry stays within its own part
/// in every window, so the sum over all entries, including those that have exited, stays within the
/// policy without coordination. [`super::reserve::Reserve`] distributes the slack.
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
/// assert!(!budget.take(Instant(0), &policy, share), "the share is spent");
/// assert!(budget.take(Instant(12_001), &policy, share));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    extra: VecDeque<Instant>,
}

impl Budget {
    /// Records a request.
    pub fn request(&mut self, now: Instant, policy: &Policy) {
        drop_older(&mut self.requests, now, policy.request_age());
        self.requests.push_back(now);
    }

    /// Returns the balance for an entry with this share of the slack.
    ///
    /// Checks every interval that ends now, not only the longest one, because a service may start
    /// its window at any time.
    pub fn balance(&mut self, now: Instant, policy: &Policy, share: f64) -> Balance {
        drop_older(&mut self.extra, now, policy.reach());
        let balance = |start: Instant, spent: usize| {
            let from = Instant(start.0.saturating_sub(policy.earning_span().0));
            let before = self.requests.partition_point(|time| *time < from);
            let requests = (self.requests.len() - before) as f64;
            Balance {
                spent: spent as u64,
                paid: requests * policy.ratio * EARNED_BEFORE * COUNTED_SHARE,
                share,
            }
        };
        let newest_first = self.extra.iter().rev().enumerate();
        let spans = newest_first.map(|(newer, start)| balance(*start, newer + 1));
        spans.fold(balance(now, 0), |least, span| {
            if span.left() < least.left() {
                span
            } else {
                least
            }
        })
    }

    /// Spends one extra arrival; returns `false` when nothing is left.
    pub fn take(&mut self, now: Instant, policy: &Policy, share: f64) -> bool {
        let is_allowed = self.balance(now, policy, share).allow();
        if is_allowed {
            self.book(now);
        }
        is_allowed
    }

    /// Returns whether no request or extra arrival counts any more, so that a new budget would be the
    /// same.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::budget::Budget;
    /// # use jujube_core::pipeline::budget::Policy;
    /// # use jujube_core::time::Instant;
    /// # use jujube_core::time::Span;
    /// let policy = Policy { ratio: 0.2, slack: 4.0, window: Span(10_000) };
    /// let mut budget = Budget::default();
    /// budget.request(Instant(0), &policy);
    /// assert!(!budget.is_unused(Instant(19_000), &policy));
    /// assert!(budget.is_unused(Instant(19_001), &policy));
    /// ```
    #[must_use]
    pub fn is_unused(&self, now: Instant, policy: &Policy) -> bool {
        let is_over = |times: &VecDeque<Instant>, max_age| {
            let newest = times.back();
            newest.is_none_or(|time| now.since(*time) > max_age)
        };
        is_over(&self.requests, policy.request_age()) && is_over(&self.extra, policy.reach())
    }

    /// Records an extra arrival that [`Balance::allow`] permitted.
    pub fn book(&mut self, now: Instant) {
        self.extra.push_back(now);
    }

    /// Returns an extra arrival that was taken at a given time and not sent.
    pub fn give_back(&mut self, taken: Instant) {
        if let Some(index) = self.extra.iter().rposition(|time| *time == taken) {
            self.extra.remove(index);
        }
    }
}

fn drop_older(times: &mut VecDeque<Instant>, now: Instant, max_age: Span) {
    while times.front().is_some_and(|time| now.since(*time) > max_age) {
        times.pop_front();
    }
}
