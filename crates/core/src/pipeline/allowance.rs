//! One entry's share of the retries that a service allows.

use std::collections::VecDeque;

use crate::time::Instant;
use crate::time::Span;

/// How many arrivals beyond the first of each request a service takes, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals on top of that in one window, over all entries.
    pub slack: f64,
    /// The window.
    pub window: Span,
    /// How many entries are known, this one included.
    pub entries: u64,
}

/// Among how many entries the slack is divided at least.
///
/// Entries do not speak to one another about retries, so each keeps to a part that stays safe when
/// every entry uses its own up at once; small deployments have up to about eight entries with those
/// added during a day, and one that starts knows none of the others yet.
const LEAST_SHARERS: f64 = 10.0;
/// How many entries a known one stands for: some that were added are not known to all yet.
const ADDED: f64 = 1.2;

impl Terms {
    /// Returns this entry's part of the slack.
    fn share(&self) -> f64 {
        self.slack / (self.entries as f64 * ADDED).max(LEAST_SHARERS)
    }
}
/// Keeps back a part of the ratio: a window may cut off the requests that paid for a retry.
const RATIO_KEPT: f64 = 0.8;

/// What decides on one more extra arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// Extra arrivals in the window.
    pub spent: u64,
    /// Extra arrivals that the requests in the window pay for.
    pub paid: f64,
    /// This entry's part of the slack.
    pub share: f64,
}

impl Grounds {
    /// Tells whether one more extra arrival is within what is paid for and the share.
    #[must_use]
    pub fn allow(&self) -> bool {
        self.spent as f64 + 1.0 <= self.paid + self.share
    }
}

/// Counts requests and extra arrivals of one service in a sliding window.
///
/// Without it a failing service would get every request as often as its route allows, which keeps
/// it down. Entries share no messages for this: each knows how many there are, and the sum of their
/// shares is below the whole.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::allowance::Allowance;
/// # use jujube_core::pipeline::allowance::Terms;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let terms = Terms { ratio: 0.2, slack: 10.0, window: Span(10_000), entries: 4 };
/// let mut allowance = Allowance::default();
/// assert!(allowance.take(Instant(0), &terms));
/// assert!(!allowance.take(Instant(0), &terms), "the share of the slack is used up");
/// assert!(allowance.take(Instant(10_001), &terms));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    requests: VecDeque<Instant>,
    extra: VecDeque<Instant>,
}

impl Allowance {
    /// Books a request.
    pub fn request(&mut self, now: Instant, terms: &Terms) {
        forget(&mut self.requests, now, terms.window);
        self.requests.push_back(now);
    }

    /// Returns what decides on one more extra arrival.
    pub fn grounds(&mut self, now: Instant, terms: &Terms) -> Grounds {
        forget(&mut self.requests, now, terms.window);
        forget(&mut self.extra, now, terms.window);
        Grounds {
            spent: self.extra.len() as u64,
            paid: self.requests.len() as f64 * terms.ratio * RATIO_KEPT,
            share: terms.share(),
        }
    }

    /// Tells whether one more extra arrival is within the share.
    pub fn has_left(&mut self, now: Instant, terms: &Terms) -> bool {
        self.grounds(now, terms).allow()
    }

    /// Takes one extra arrival; `false` when the share is used up.
    pub fn take(&mut self, now: Instant, terms: &Terms) -> bool {
        let has_left = self.has_left(now, terms);
        if has_left {
            self.extra.push_back(now);
        }
        has_left
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Span) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
