//! What single requests that failed did at each server.

use std::collections::BTreeMap;

use crate::pipeline::digest::Digest;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;

use super::tally::DecayingTally;
use super::tally::Tally;

/// The most requests that are kept.
const MAX_REQUESTS: usize = 128;
/// The weight below which outcomes are forgotten.
const MIN_WEIGHT: f64 = 0.01;

/// The outcomes of one request by server.
type Outcomes = BTreeMap<Incarnation, DecayingTally>;

/// The requests that failed, and their outcomes by server.
#[derive(Clone, Debug, Default)]
pub(super) struct Requests(BTreeMap<Digest, Outcomes>);

impl Requests {
    /// Records a success, if the request has failed before.
    pub(super) fn served(&mut self, now: Instant, server: &Incarnation, request: Digest) {
        if let Some(outcomes) = self.0.get_mut(&request) {
            add(outcomes, now, server, Tally::SUCCESS);
        }
    }

    /// Records a failure; returns the failures that count of a request that is forgotten for it.
    pub(super) fn failed(
        &mut self,
        now: Instant,
        server: &Incarnation,
        request: Digest,
    ) -> Vec<(Incarnation, f64)> {
        let evicted = match self.0.contains_key(&request) {
            false if self.0.len() >= MAX_REQUESTS => self.take_oldest(),
            _ => None,
        };
        let outcomes = self.0.entry(request).or_default();
        add(outcomes, now, server, Tally::FAILURE);
        let evicted = evicted.unwrap_or_default();
        let counted = counted(now, &evicted).map(|(server, failed)| (server.clone(), failed));
        counted.collect()
    }

    fn take_oldest(&mut self) -> Option<Outcomes> {
        let last = |outcomes: &Outcomes| outcomes.values().map(DecayingTally::last).max();
        let oldest = self.0.iter().min_by_key(|(_, outcomes)| last(outcomes));
        let oldest = *oldest?.0;
        self.0.remove(&oldest)
    }

    /// Returns the weights of the failures that count against servers.
    pub(super) fn counted(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, f64)> {
        self.0
            .values()
            .flat_map(move |outcomes| counted(now, outcomes))
    }

    /// Forgets outcomes that are old.
    pub(super) fn forget_old(&mut self, now: Instant) {
        self.keep(|_, tally| tally.at(now).weight() >= MIN_WEIGHT);
    }

    /// Keeps only the outcomes at some servers.
    pub(super) fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.keep(|server, _| keep(server));
    }

    fn keep(&mut self, keep: impl Fn(&Incarnation, &DecayingTally) -> bool) {
        self.0.retain(|_, outcomes| {
            outcomes.retain(|server, tally| keep(server, tally));
            !outcomes.is_empty()
        });
    }
}

fn add(outcomes: &mut Outcomes, now: Instant, server: &Incarnation, outcome: Tally) {
    let tally = outcomes.entry(server.clone()).or_default();
    tally.add(now, outcome);
}

fn sum(now: Instant, outcomes: &Outcomes) -> Tally {
    let mut sum = Tally::default();
    for tally in outcomes.values() {
        sum.add(tally.at(now));
    }
    sum
}

/// Returns how much the failures of one request count against each server: as far as the request
/// succeeds at the others, and fully if none of them had it.
fn counted(now: Instant, outcomes: &Outcomes) -> impl Iterator<Item = (&Incarnation, f64)> {
    let all = sum(now, outcomes);
    let is_single = outcomes.len() == 1;
    outcomes.iter().map(move |(server, tally)| {
        let here = tally.at(now);
        let elsewhere = all.without(here);
        let share = match is_single || elsewhere.weight() == 0.0 {
            true => 1.0,
            false => elsewhere.succeeded / elsewhere.weight(),
        };
        (server, here.failed * share)
    })
}
