//! What this entry knows about one limit.

use std::sync::Arc;

use super::Rate;
use super::demand::Demand;
use super::share::Share;
use crate::hash;
use crate::name::Zone;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;

/// The smallest share of an entry, in requests per second, unless a server takes less altogether.
/// Each entry may send one request at any time, so smaller shares of more entries would add up.
const MIN_SHARE: f64 = 1.0;
/// The least that entries together send to a server, in requests per second, whatever it names.
/// Only its responses tell that a limit has ended.
const MIN_RATE: f64 = 0.25;

/// What an entry's share of a limit is computed from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Basis {
    pub(super) rate: Rate,
    /// The server's zone; `None` while it is not registered.
    pub(super) zone: Option<Zone>,
    /// The version of the known entries.
    pub(super) entries: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) rate: Option<Rate>,
    /// When the response arrived that says so, here or at another entry.
    pub(super) at: Instant,
    /// What the shares were computed from.
    pub(super) divided: Option<Basis>,
    /// The entries with a fraction of their own, in an order that all compute alike.
    pub(super) users: Vec<Arc<str>>,
    /// The fraction of each of them.
    pub(super) user_fraction: f64,
    pub(super) share: Share,
    pub(super) demand: Demand,
    /// The number of entries that were asked for a first loan.
    pub(super) round: usize,
}

impl Known {
    pub(super) fn new(now: Instant, at: Instant, rate: Option<Rate>) -> Self {
        Self {
            rate,
            at,
            divided: None,
            users: Vec::new(),
            user_fraction: 0.0,
            share: Share::new(now),
            demand: Demand::new(now),
            round: 0,
        }
    }

    /// Returns the rate of which this entry uses a fraction, in requests per second.
    ///
    /// A higher limit counts once it is divided anew, since it may have more users.
    pub(super) fn pacing_rate(&self) -> f64 {
        let divided = self.divided.as_ref().map(|basis| basis.rate.0);
        let named = self.rate.map_or(f64::INFINITY, |rate| rate.0);
        let rate = divided.map_or(named, |divided| named.min(divided));
        rate.max(MIN_RATE)
    }

    /// Brings the credit up to date.
    pub(super) fn advance(&mut self, now: Instant) {
        if self.rate.is_none() || self.divided.is_none() {
            self.share.fill(now);
        } else {
            self.share.advance(now, self.pacing_rate());
        }
    }

    pub(super) fn is_user(&self, entry: &str) -> bool {
        self.users.iter().any(|user| **user == *entry)
    }

    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.rate.is_none() || self.share.is_open(now, self.pacing_rate())
    }

    /// Divides the limit among the first entries by the hash of the pair.
    ///
    /// Loans are fractions of an earlier division. They stay only if their lender has the same
    /// fraction in this one. Returns whether the fractions have changed.
    pub(super) fn divide(
        &mut self,
        own: &str,
        basis: Basis,
        mut entries: Vec<Arc<str>>,
        server: &Incarnation,
    ) -> bool {
        let rate = basis.rate.0.max(MIN_RATE);
        let count = ((rate / MIN_SHARE) as usize).clamp(1, entries.len().max(1));
        entries.sort_by_cached_key(|entry| hash::of((server, entry)));
        entries.truncate(count);
        self.divided = Some(basis);
        self.users = entries;
        let fraction = 1.0 / count as f64;
        let is_same = fraction == self.user_fraction;
        self.user_fraction = fraction;
        let users = &self.users;
        let is_kept = |lender: &Arc<str>| is_same && users.contains(lender);
        self.share.borrowed.retain(|loan| is_kept(&loan.with));
        self.share.base = if self.is_user(own) { fraction } else { 0.0 };
        self.share.drop_unusable_credit();
        !is_same
    }
}
