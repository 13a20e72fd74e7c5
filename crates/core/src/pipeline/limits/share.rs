//! This entry's part of one limit, and the pace at which it may send.

use std::sync::Arc;

use crate::time::Instant;
use crate::time::Span;

/// Tolerance for sums of fractions and credits.
pub(super) const EPSILON: f64 = 1e-9;

/// A fraction of a limit that one entry lends to another.
#[derive(Clone, Debug)]
pub(super) struct Loan {
    /// The other entry.
    pub(super) with: Arc<str>,
    pub(super) fraction: f64,
    pub(super) until: Instant,
    /// The fraction that was last reported to the operator.
    pub(super) reported: f64,
}

/// The part of a limit that this entry may use.
///
/// Its credit of at most one request accrues at the current rate. It is lost while the entry has no
/// part of the limit, so that the number of entries that have one bounds what all may send at once.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// The fraction that the entry has without loans, and from when it may use it.
    pub(super) base: f64,
    pub(super) base_from: Instant,
    /// What this entry has lent. Several loans to one entry are grants of which it uses one.
    pub(super) lent: Vec<Loan>,
    /// What this entry has borrowed, at most one loan of each lender.
    pub(super) borrowed: Vec<Loan>,
    credit: f64,
    credited_at: Instant,
}

impl Share {
    /// Returns the share of a limit that has just become known and is not divided yet.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            base: 0.0,
            base_from: Instant(0),
            lent: Vec::new(),
            borrowed: Vec::new(),
            credit: 1.0,
            credited_at: now,
        }
    }

    /// Returns the fraction that this entry could use when the credit was last brought up to date.
    pub(super) fn latest_fraction(&self) -> f64 {
        self.fraction(self.credited_at)
    }

    /// Returns the fraction lent to all entries but one.
    pub(super) fn lent_to_others(&self, now: Instant, to: Option<&str>) -> f64 {
        let is_counted = |loan: &&Loan| loan.until > now && to.is_none_or(|to| *loan.with != *to);
        let counted = || self.lent.iter().filter(is_counted);
        // A borrower uses one of its loans, perhaps the largest.
        let is_largest = |index: usize, loan: &Loan| {
            !counted().enumerate().any(|(other, rival)| {
                let is_larger = (rival.fraction, other) > (loan.fraction, index);
                rival.with == loan.with && is_larger
            })
        };
        let largest = counted()
            .enumerate()
            .filter(|(index, loan)| is_largest(*index, loan));
        largest.map(|(_, loan)| loan.fraction).sum()
    }

    /// Returns the fraction of its own that this entry may use.
    pub(super) fn own(&self, now: Instant) -> f64 {
        if now < self.base_from {
            return 0.0;
        }
        let left = self.base - self.lent_to_others(now, None);
        if left > EPSILON { left } else { 0.0 }
    }

    /// Returns the fraction that this entry has borrowed.
    fn borrowed(&self, now: Instant) -> f64 {
        let valid = self.borrowed.iter().filter(|loan| loan.until > now);
        valid.map(|loan| loan.fraction).sum()
    }

    /// Returns the fraction that this entry may use.
    pub(super) fn fraction(&self, now: Instant) -> f64 {
        self.own(now) + self.borrowed(now)
    }

    /// Returns when the fraction next changes by itself.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let loans = self.lent.iter().chain(&self.borrowed);
        let changes = loans.map(|loan| loan.until).chain([self.base_from]);
        changes.filter(|at| *at > now).min()
    }

    /// Returns the credit after a span in which the fraction does not change.
    fn credit_after(&self, credit: f64, at: Instant, span: Span, rate: f64) -> f64 {
        let per_second = rate * self.fraction(at);
        if per_second <= 0.0 {
            return 0.0;
        }
        (credit + per_second * span.0 as f64 / 1e3).min(1.0)
    }

    fn credit(&self, now: Instant, rate: f64) -> f64 {
        let (mut credit, mut at) = (self.credit, self.credited_at);
        while at < now {
            let end = self.next_change(at).map_or(now, |change| change.min(now));
            credit = self.credit_after(credit, at, end.since(at), rate);
            at = end;
        }
        if self.fraction(now) > 0.0 {
            credit
        } else {
            0.0
        }
    }

    /// Brings the credit up to date for a rate that counted until now, and drops loans that have
    /// ended.
    pub(super) fn advance(&mut self, now: Instant, rate: f64) {
        if now <= self.credited_at {
            return;
        }
        self.credit = self.credit(now, rate);
        self.credited_at = now;
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }

    /// Sets the credit to one request, for a server that has no limit.
    pub(super) fn fill(&mut self, now: Instant) {
        self.credit = 1.0;
        self.credited_at = self.credited_at.max(now);
    }

    /// Drops the credit if the entry may use nothing.
    pub(super) fn drop_unusable_credit(&mut self) {
        if self.latest_fraction() <= 0.0 {
            self.credit = 0.0;
        }
    }

    /// Takes the credit for a request. One that is sent without credit delays the next one.
    pub(super) fn take(&mut self) {
        self.credit = (self.credit - 1.0).max(-1.0);
    }

    /// Returns whether the credit allows a request.
    pub(super) fn is_open(&self, now: Instant, rate: f64) -> bool {
        self.credit(now, rate) >= 1.0 - EPSILON
    }

    /// Returns when the credit allows a request, as far as loans are known; `None` if never.
    pub(super) fn opens_at(&self, now: Instant, rate: f64) -> Option<Instant> {
        let (mut credit, mut at) = (self.credit(now, rate), now);
        loop {
            let per_second = rate * self.fraction(at);
            let change = self.next_change(at);
            if per_second > 0.0 {
                let missing = (1.0 - EPSILON - credit).max(0.0);
                let opens_at = at.plus(Span((missing * 1e3 / per_second).ceil() as u64));
                if change.is_none_or(|change| opens_at < change) {
                    return Some(opens_at);
                }
            }
            let change = change?;
            credit = self.credit_after(credit, at, change.since(at), rate);
            at = change;
        }
    }
}
