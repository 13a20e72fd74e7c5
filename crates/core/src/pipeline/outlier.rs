//! Backend servers that fail more of their requests than others, although they say that they are well.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// In what time the weight of an outcome halves: long enough for some requests at each server, short
/// enough that one which works again is tried again after a few seconds.
const HALF_LIFE: Span = Span(3_000);
/// The least weight of failures at which a server is judged; fewer say nothing.
const LEAST_FAILURES: f64 = 2.5;
/// The share of failures from which a server is avoided. Over the users' services some five requests in
/// a hundred fail wherever they run; servers that fail by themselves fail four in ten.
const SHARE: f64 = 0.25;

/// How requests at one server ended, with older ones weighing less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// The weight of those that ended well.
    pub succeeded: f64,
    /// The weight of those that failed.
    pub failed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Aging {
    tally: Tally,
    at: Instant,
}

impl Aging {
    fn at(&self, now: Instant) -> Tally {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        let weight = 0.5_f64.powf(age);
        Tally {
            succeeded: self.tally.succeeded * weight,
            failed: self.tally.failed * weight,
        }
    }
}

/// Who fails too often.
///
/// A server may fail a part of its requests while it answers every question well. One entry sends each
/// server too few requests to notice soon, so entries tell one another how theirs ended. Such a server
/// is avoided, not excluded: it is used where there is no other.
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
/// assert!(!outliers.contains(&"a".into()), "it is tried again");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    own: BTreeMap<Incarnation, Aging>,
    /// What the other entries met, added up.
    others: BTreeMap<Incarnation, Tally>,
    avoided: BTreeSet<Incarnation>,
}

impl Outliers {
    /// Books a request that ended well.
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

    /// Books a request that failed.
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

    fn add(&mut self, now: Instant, server: &Incarnation, more: Tally) {
        let before = self.own.get(server).map(|aging| aging.at(now));
        let before = before.unwrap_or_default();
        let tally = Tally {
            succeeded: before.succeeded + more.succeeded,
            failed: before.failed + more.failed,
        };
        self.own.insert(server.clone(), Aging { tally, at: now });
    }

    /// Takes how the requests of the other entries ended, added up.
    pub fn set_others(&mut self, tallies: BTreeMap<Incarnation, Tally>) {
        self.others = tallies;
    }

    /// Returns what to tell the others. Servers at which nothing failed are told as well: were they left
    /// out, the one entry that met a failure would speak for all.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Tally)> {
        const WORTH_TELLING: f64 = 0.2;
        let aged = self
            .own
            .iter()
            .map(move |(name, aging)| (name, aging.at(now)));
        aged.filter(|(_, tally)| tally.succeeded + tally.failed >= WORTH_TELLING)
    }

    /// Judges all servers by what is known now; returns who is newly avoided.
    pub fn evaluate(&mut self, now: Instant) -> Vec<Incarnation> {
        let own = self.own.iter().map(|(name, aging)| (name, aging.at(now)));
        let mut sums: BTreeMap<&Incarnation, Tally> = own.collect();
        for (server, tally) in &self.others {
            let sum = sums.entry(server).or_default();
            sum.succeeded += tally.succeeded;
            sum.failed += tally.failed;
        }
        let is_bad = |tally: &Tally| {
            tally.failed >= LEAST_FAILURES
                && tally.failed >= SHARE * (tally.succeeded + tally.failed)
        };
        let bad = sums.into_iter().filter(|(_, tally)| is_bad(tally));
        let avoided: BTreeSet<Incarnation> = bad.map(|(server, _)| server.clone()).collect();
        let fresh = avoided.difference(&self.avoided).cloned().collect();
        self.avoided = avoided;
        fresh
    }

    /// Tells whether a server is to be avoided.
    #[must_use]
    pub fn contains(&self, server: &Incarnation) -> bool {
        self.avoided.contains(server)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.own.retain(|server, _| keep(server));
    }
}
