//! Outcomes of requests, weighted by age.

use crate::time::Instant;
use crate::time::Span;

/// The time in which the weight of an outcome halves: long enough for some requests at each server,
/// short enough to retry a recovered server after a few seconds.
const HALF_LIFE: Span = Span(3_000);

/// The outcomes of requests at one server, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// The weight of the successes.
    pub succeeded: f64,
    /// The weight of the failures.
    pub failed: f64,
}

impl Tally {
    /// One request that succeeded.
    pub(super) const SUCCESS: Self = Self {
        succeeded: 1.0,
        failed: 0.0,
    };
    /// One request that failed.
    pub(super) const FAILURE: Self = Self {
        succeeded: 0.0,
        failed: 1.0,
    };

    pub(super) fn add(&mut self, other: Self) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
    }

    /// Returns the rest of a sum without a part of it.
    pub(super) fn without(self, part: Self) -> Self {
        Self {
            succeeded: (self.succeeded - part.succeeded).max(0.0),
            failed: (self.failed - part.failed).max(0.0),
        }
    }

    pub(super) fn weight(self) -> f64 {
        self.succeeded + self.failed
    }
}

/// A tally whose weights halve with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingTally {
    tally: Tally,
    at: Instant,
}

impl DecayingTally {
    pub(super) fn at(&self, now: Instant) -> Tally {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        let weight = 0.5_f64.powf(age);
        Tally {
            succeeded: self.tally.succeeded * weight,
            failed: self.tally.failed * weight,
        }
    }

    pub(super) fn add(&mut self, now: Instant, outcome: Tally) {
        self.tally = self.at(now);
        self.tally.add(outcome);
        self.at = now;
    }

    /// Returns when the last outcome was added.
    pub(super) fn last(&self) -> Instant {
        self.at
    }
}
