//! Detects backend servers that fail more requests than others, although they report to be
//! healthy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// The time in which the weight of an outcome halves: long enough for some requests at each server,
/// short enough to retry a recovered server after a few seconds.
const HALF_LIFE: Span = Span(3_000);
/// The minimum weight of failures for a server to be avoided; fewer say nothing about it.
const MIN_FAILURES: f64 = 2.5;
/// The minimum share of failed requests for a server to be avoided. About 5 % of requests fail on
/// any server, and 40 % on a faulty one.
const MIN_FAILED_SHARE: f64 = 0.25;

/// The outcomes of requests at one server, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// The weight of the successes.
    pub succeeded: f64,
    /// The weight of the failures.
    pub failed: f64,
}

#[derive(Clone, Copy, Debug)]
struct DecayingTally {
    tally: Tally,
    at: Instant,
}

impl DecayingTally {
    fn at(&self, now: Instant) -> Tally {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        let weight = 0.5_f64.powf(age);
        Tally {
            succeeded: self.tally.succeeded * weight,
            failed: self.tally.failed * weight,
        }
    }
}

/// The servers that fail too often.
///
/// A server may fail part of its requests while it passes every health check. One entry sends each
/// server too few requests to notice soon, so entries share their outcomes. Such a server is
/// avoided rather than excluded: it is used if there is no other.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::outlier::Outliers;
/// # use jujube_core::time::Instant;
/// let mut outliers = Outliers::default();
/// for _ in 0..3 {
///     outliers.failed(Instant(0), &"a".into());
/// }
/// outliers.evaluate(Instant(0));
/// assert!(outliers.contains(&"a".into()));
/// outliers.evaluate(Instant(3_000));
/// assert!(!outliers.contains(&"a".into()), "retried after a while");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    own: BTreeMap<Incarnation, DecayingTally>,
    /// The sum of the other entries' outcomes.
    others: BTreeMap<Incarnation, Tally>,
    avoided: BTreeSet<Incarnation>,
}

impl Outliers {
    /// Records a request that succeeded.
    pub fn served(&mut self, now: Instant, server: &Incarnation) {
        self.add(
            now,
            server,
            Tally {
                succeeded: 1.0,
                failed: 0.0,
            },
        );
    }

    /// Records a request that failed.
    pub fn failed(&mut self, now: Instant, server: &Incarnation) {
        self.add(
            now,
            server,
            Tally {
                succeeded: 0.0,
                failed: 1.0,
            },
        );
    }

    fn add(&mut self, now: Instant, server: &Incarnation, outcome: Tally) {
        let before = self.own.get(server).map(|decaying| decaying.at(now));
        let before = before.unwrap_or_default();
        let tally = Tally {
            succeeded: before.succeeded + outcome.succeeded,
            failed: before.failed + outcome.failed,
        };
        self.own
            .insert(server.clone(), DecayingTally { tally, at: now });
    }

    /// Sets the sum of the other entries' outcomes.
    pub fn set_others(&mut self, tallies: BTreeMap<Incarnation, Tally>) {
        self.others = tallies;
    }

    /// Returns the outcomes to report to other entries. Includes servers without failures;
    /// otherwise a single entry with a failure would outweigh all others.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Tally)> {
        const MIN_REPORTED_WEIGHT: f64 = 0.2;
        let decayed = self
            .own
            .iter()
            .map(move |(name, decaying)| (name, decaying.at(now)));
        decayed.filter(|(_, tally)| tally.succeeded + tally.failed >= MIN_REPORTED_WEIGHT)
    }

    /// Evaluates all servers; returns those that are newly avoided.
    pub fn evaluate(&mut self, now: Instant) -> Vec<Incarnation> {
        let own = self
            .own
            .iter()
            .map(|(name, decaying)| (name, decaying.at(now)));
        let mut sums: BTreeMap<&Incarnation, Tally> = own.collect();
        for (server, tally) in &self.others {
            let sum = sums.entry(server).or_default();
            sum.succeeded += tally.succeeded;
            sum.failed += tally.failed;
        }
        let is_bad = |tally: &Tally| {
            tally.failed >= MIN_FAILURES
                && tally.failed >= MIN_FAILED_SHARE * (tally.succeeded + tally.failed)
        };
        let bad = sums.into_iter().filter(|(_, tally)| is_bad(tally));
        let avoided: BTreeSet<Incarnation> = bad.map(|(server, _)| server.clone()).collect();
        let added = avoided.difference(&self.avoided).cloned().collect();
        self.avoided = avoided;
        added
    }

    /// Returns whether a server is to be avoided.
    #[must_use]
    pub fn contains(&self, server: &Incarnation) -> bool {
        self.avoided.contains(server)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.own.retain(|server, _| keep(server));
    }
}
