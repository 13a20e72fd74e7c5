//! Which entries are asked for loans of one limit, and for how much.

use std::sync::Arc;

use super::known::Known;
use super::loans::MIN_LOAN;
use super::share::EPSILON;
use crate::time::Instant;

/// The number of entries without a loan to this one that are asked in one round.
const NEW_LENDERS: usize = 4;
/// The most lenders of one limit. Of 40 equal users, 32 lent too little for one to reach three quarters
/// of the limit. Each is asked five times a second, at about 15 µs
/// of CPU time a message.
const MAX_LENDERS: usize = 64;

impl Known {
    /// Returns the fraction that this entry wants.
    pub(super) fn wanted(&self, now: Instant) -> f64 {
        let rate = self.pacing_rate();
        (self.demand.wanted(now) / rate).min(1.0)
    }

    /// Returns the fractions to ask of others.
    ///
    /// An entry that has lent does not borrow, so that each loan to an entry without a fraction of
    /// its own takes one from an entry that had one.
    pub(super) fn requests(&mut self, now: Instant, own: &str) -> Vec<(Arc<str>, f64)> {
        if self.rate.is_none() || self.users.is_empty() {
            return Vec::new();
        }
        let missing = self.wanted(now) - self.share.own(now);
        let is_lender = self.share.lent_to_others(now, None) > 0.0;
        if is_lender || missing < MIN_LOAN {
            return Vec::new();
        }
        let loans = self.lenders(now);
        let others = self.next_others(own, &loans);
        if self.is_user(own) {
            parts(missing, self.user_fraction, &loans, others)
        } else {
            wholes(missing, self.user_fraction, &loans, others)
        }
    }

    /// Returns the lenders and what they lend, the largest loans first.
    fn lenders(&self, now: Instant) -> Vec<(Arc<str>, f64)> {
        let valid = self.share.borrowed.iter().filter(|loan| loan.until > now);
        let mut loans: Vec<_> = valid
            .map(|loan| (loan.with.clone(), loan.fraction))
            .collect();
        loans.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        loans.truncate(MAX_LENDERS);
        loans
    }

    /// Returns the next few entries that may have a fraction to lend and lend nothing to this one.
    fn next_others(&mut self, own: &str, loans: &[(Arc<str>, f64)]) -> Vec<Arc<str>> {
        let is_lender = |user: &Arc<str>| loans.iter().any(|(lender, _)| lender == user);
        let others = self
            .users
            .iter()
            .filter(|user| ***user != *own && !is_lender(user));
        let others: Vec<&Arc<str>> = others.collect();
        let count = NEW_LENDERS
            .min(others.len())
            .min(MAX_LENDERS.saturating_sub(loans.len()));
        let next = (0..count).map(|turn| others[(self.round + turn) % others.len()].clone());
        let next = next.collect();
        self.round = self.round.wrapping_add(count);
        next
    }
}

/// Asks lenders for what they lend already, as far as it is wanted, and all that are asked for equal
/// parts of the rest.
fn parts(
    mut missing: f64,
    most: f64,
    loans: &[(Arc<str>, f64)],
    others: Vec<Arc<str>>,
) -> Vec<(Arc<str>, f64)> {
    let renewed = loans.iter().map(|(lender, fraction)| {
        let renewed = fraction.min(missing);
        missing -= renewed;
        (lender.clone(), renewed)
    });
    let mut asked: Vec<(Arc<str>, f64)> = renewed.collect();
    asked.extend(others.into_iter().map(|other| (other, 0.0)));
    let extra = missing / asked.len().max(1) as f64;
    for (_, fraction) in &mut asked {
        *fraction = (*fraction + extra).min(most);
    }
    asked.retain(|(_, fraction)| *fraction >= MIN_LOAN);
    asked
}

/// Asks as many entries as are needed for their whole fractions.
fn wholes(
    missing: f64,
    whole: f64,
    loans: &[(Arc<str>, f64)],
    others: Vec<Arc<str>>,
) -> Vec<(Arc<str>, f64)> {
    let count = (missing / whole - EPSILON).ceil().max(0.0) as usize;
    let lenders = loans.iter().map(|(lender, _)| lender.clone());
    let asked = lenders.chain(others).take(count);
    asked.map(|entry| (entry, whole)).collect()
}
