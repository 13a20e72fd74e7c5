//! Detects backend servers that fail more requests than others, although they report to be
//! healthy.

mod requests;
mod tally;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::digest::Digest;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;

use requests::Requests;
use tally::DecayingTally;

pub use tally::Tally;

/// The minimum weight of failures for a server to be avoided; fewer say nothing about it.
const MIN_FAILURES: f64 = 2.5;
/// The minimum share of failed requests for a server to be avoided. About 5 % of requests fail on
/// any server, and 40 % on a faulty one.
const MIN_FAILED_SHARE: f64 = 0.25;

/// The servers that fail too often.
///
/// A server may fail part of its requests while it passes every health check. One entry sends each
/// server too few requests to notice soon, so entries share their outcomes. Such a server is
/// avoided rather than excluded: it is used if there is no other.
///
/// A failure counts against a server as far as the same request succeeds at others. Otherwise one caller
/// whose request fails everywhere would have all servers avoided, faulty ones and sound ones alike.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// # use jujube_core::pipeline::outlier::Outliers;
/// # use jujube_core::time::Instant;
/// let mut outliers = Outliers::default();
/// for request in 0..3 {
///     outliers.failed(Instant(0), &"a".into(), Digest(request));
///     outliers.failed(Instant(0), &"b".into(), Digest(7));
///     outliers.failed(Instant(0), &"c".into(), Digest(7));
/// }
/// outliers.evaluate(Instant(0));
/// assert!(outliers.contains(&"a".into()));
/// assert!(!outliers.contains(&"b".into()), "the request fails everywhere");
/// outliers.evaluate(Instant(3_000));
/// assert!(!outliers.contains(&"a".into()), "retried after a while");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    /// What counts without regard to the request.
    own: BTreeMap<Incarnation, DecayingTally>,
    /// Requests that failed.
    requests: Requests,
    /// The sum of the other entries' outcomes.
    others: BTreeMap<Incarnation, Tally>,
    avoided: BTreeSet<Incarnation>,
}

impl Outliers {
    /// Records a request that succeeded.
    pub fn served(&mut self, now: Instant, server: &Incarnation, request: Digest) {
        self.add(now, server, Tally::SUCCESS);
        self.requests.served(now, server, request);
    }

    /// Records a request that failed.
    pub fn failed(&mut self, now: Instant, server: &Incarnation, request: Digest) {
        for (server, failed) in self.requests.failed(now, server, request) {
            let outcome = Tally {
                succeeded: 0.0,
                failed,
            };
            self.add(now, &server, outcome);
        }
    }

    fn add(&mut self, now: Instant, server: &Incarnation, outcome: Tally) {
        let tally = self.own.entry(server.clone()).or_default();
        tally.add(now, outcome);
    }

    /// Returns the outcomes at each server as this entry saw them.
    fn sums(&self, now: Instant) -> BTreeMap<&Incarnation, Tally> {
        let own = self
            .own
            .iter()
            .map(|(server, decaying)| (server, decaying.at(now)));
        let mut sums: BTreeMap<&Incarnation, Tally> = own.collect();
        for (server, failed) in self.requests.counted(now) {
            sums.entry(server).or_default().failed += failed;
        }
        sums
    }

    /// Sets the sum of the other entries' outcomes.
    pub fn set_others(&mut self, tallies: BTreeMap<Incarnation, Tally>) {
        self.others = tallies;
    }

    /// Returns the outcomes to report to other entries. Includes servers without failures;
    /// otherwise a single entry with a failure would outweigh all others.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Tally)> {
        const MIN_REPORTED_WEIGHT: f64 = 0.2;
        let sums = self.sums(now).into_iter();
        sums.filter(|(_, tally)| tally.weight() >= MIN_REPORTED_WEIGHT)
    }

    /// Evaluates all servers; returns those that are newly avoided.
    pub fn evaluate(&mut self, now: Instant) -> Vec<Incarnation> {
        self.requests.forget_old(now);
        let mut sums = self.sums(now);
        for (server, tally) in &self.others {
            sums.entry(server).or_default().add(*tally);
        }
        let is_bad = |tally: &Tally| {
            tally.failed >= MIN_FAILURES && tally.failed >= MIN_FAILED_SHARE * tally.weight()
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
        self.requests.retain(keep);
    }
}
