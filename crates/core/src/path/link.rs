//! Latency estimation for a link, with hysteresis.

use crate::time::Span;

/// The health of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Health {
    /// The latency is near its long-term average.
    #[default]
    Good,
    /// The latency is far above its long-term average.
    Degraded,
}

/// An estimate of latency from a short-term and a long-term moving average.
///
/// A link is degraded when the short-term average is many times the long-term one, and good again
/// when it is close to it. The hysteresis prevents routes from oscillating with measurement noise.
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
const MIN_SAMPLES: u64 = 10;
const DEGRADED_FACTOR: f64 = 8.0;
const GOOD_FACTOR: f64 = 2.0;
/// Below this, clock resolution and scheduling delays dominate.
const MIN_REFERENCE_MILLIS: f64 = 5.0;

impl Estimate {
    /// Adds a round-trip time.
    pub fn sample(&mut self, round_trip: Span) {
        let millis = round_trip.0 as f64;
        self.samples += 1;
        if self.samples == 1 {
            self.short = millis;
            self.long = millis;
            return;
        }
        self.short += SHORT_WEIGHT * (millis - self.short);
        // A slow link must not raise the average that it is compared with.
        if self.health == Health::Good {
            let weight = LONG_WEIGHT.max(1.0 / self.samples as f64);
            let clamped = millis.min(self.reference() * GOOD_FACTOR);
            self.long += weight * (clamped - self.long);
        }
        self.update_health();
    }

    fn reference(&self) -> f64 {
        self.long.max(MIN_REFERENCE_MILLIS)
    }

    fn update_health(&mut self) {
        if self.samples < MIN_SAMPLES {
            return;
        }
        if self.short > self.reference() * DEGRADED_FACTOR {
            self.health = Health::Degraded;
        } else if self.short < self.reference() * GOOD_FACTOR {
            self.health = Health::Good;
        }
    }

    /// Returns the health of the link.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns the ratio of the short-term to the long-term average, at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        (self.short / self.reference()).max(1.0)
    }
}
