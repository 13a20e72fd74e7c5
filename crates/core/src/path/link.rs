//! What is measured of one link, with hysteresis.

use crate::time::Span;

/// Whether a link is used at its full weight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Health {
    /// As configured.
    #[default]
    Good,
    /// Much slower than it was.
    Degraded,
}

/// A smoothed latency that compares itself with its own past.
///
/// Routing by the latest sample would move traffic back and forth with the noise, unattended, all
/// night. A link is degraded only when the short average is many times the long one, and good again
/// only when it has come back near it.
///
/// # Examples
///
/// ```
/// # use jujube_core::path::Estimate;
/// # use jujube_core::path::Health;
/// # use jujube_core::time::Span;
/// let mut link = Estimate::default();
/// for _ in 0..50 {
///     link.sample(Span(2));
/// }
/// assert_eq!(link.health(), Health::Good);
/// for _ in 0..8 {
///     link.sample(Span(200));
/// }
/// assert_eq!(link.health(), Health::Degraded);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    short: f64,
    long: f64,
    samples: u64,
    health: Health,
}

const SHORT_WEIGHT: f64 = 0.3;
const LONG_WEIGHT: f64 = 0.01;
const WARM_UP: u64 = 10;
const DEGRADED_FACTOR: f64 = 8.0;
const GOOD_FACTOR: f64 = 2.0;
/// Below this the clock's grain and the scheduler hide any difference.
const FLOOR_MILLIS: f64 = 5.0;

impl Estimate {
    /// Takes a round trip.
    pub fn sample(&mut self, took: Span) {
        let took = took.0 as f64;
        self.samples += 1;
        if self.samples == 1 {
            self.short = took;
            self.long = took;
            return;
        }
        self.short += SHORT_WEIGHT * (took - self.short);
        // The past must not learn from the trouble that it is there to recognise.
        if self.health == Health::Good {
            let weight = LONG_WEIGHT.max(1.0 / self.samples as f64);
            let calm = took.min(self.reference() * GOOD_FACTOR);
            self.long += weight * (calm - self.long);
        }
        self.judge();
    }

    fn reference(&self) -> f64 {
        self.long.max(FLOOR_MILLIS)
    }

    fn judge(&mut self) {
        if self.samples < WARM_UP {
            return;
        }
        if self.short > self.reference() * DEGRADED_FACTOR {
            self.health = Health::Degraded;
        } else if self.short < self.reference() * GOOD_FACTOR {
            self.health = Health::Good;
        }
    }

    /// Returns whether the link is degraded.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns how many times slower than before the link is; at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        (self.short / self.reference()).max(1.0)
    }
}
