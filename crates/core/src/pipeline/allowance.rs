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
}

/// Among how many entries the slack is divided.
///
/// Entries do not speak to one another about retries, so each keeps to a part that stays safe when
/// every entry uses its own up at once; deployments have up to about eight entries with those added
/// during a day.
const SHARERS: f64 = 10.0;
/// Keeps back a part of the ratio: a window may cut off the requests that paid for a retry.
const RATIO_KEPT: f64 = 0.7;

/// Counts requests and extra arrivals of one service in a sliding window.
///
/// Without it a failing service would get every request as often as its route allows, which keeps
/// it down. Entries share no messages for this: the sum of shares is below the whole.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::allowance::Allowance;
/// # use jujube_core::pipeline::allowance::Terms;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let terms = Terms { ratio: 0.2, slack: 10.0, window: Span(10_000) };
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

    /// Takes one extra arrival; `false` when the share is used up.
    pub fn take(&mut self, now: Instant, terms: &Terms) -> bool {
        forget(&mut self.requests, now, terms.window);
        forget(&mut self.extra, now, terms.window);
        let paid = self.requests.len() as f64 * terms.ratio * RATIO_KEPT;
        if self.extra.len() as f64 + 1.0 > paid + terms.slack / SHARERS {
            return false;
        }
        self.extra.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Span) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
