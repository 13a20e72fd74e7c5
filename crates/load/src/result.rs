//! What an experiment gave.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Quantiles that are kept.
const QUANTILES: [f64; 7] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// A distribution in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Distribution {
    /// Samples.
    pub count: u64,
    /// Quantile and milliseconds.
    pub quantiles: Vec<(f64, f64)>,
}

/// A result.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment's name.
    pub name: String,
    /// Seconds from the first arrival to the last answer.
    pub seconds: f64,
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Failures by status or kind.
    pub failures: BTreeMap<String, u64>,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Tokens of whole answers a second.
    pub tokens_per_second: f64,
    /// From the planned arrival to the first token.
    pub first_token: Distribution,
    /// Between tokens of one answer.
    pub between_tokens: Distribution,
}

/// A histogram of microseconds, three digits, that grows as it must.
#[derive(Clone, Debug)]
pub struct Recorder(Histogram<u64>);

impl Default for Recorder {
    fn default() -> Self {
        const DIGITS: u8 = 3;
        #[expect(clippy::expect_used, reason = "only digits above 5 are refused")]
        let histogram = Histogram::new(DIGITS).expect("3 digits are allowed");
        Self(histogram)
    }
}

impl Recorder {
    /// Books a sample.
    pub fn record(&mut self, sample: std::time::Duration) {
        let micros = (sample.as_micros() as u64).max(1);
        let _always_fits_when_resizing = self.0.record(micros);
    }

    /// Adds another recorder's samples.
    pub fn add(&mut self, other: &Self) {
        let _always_fits_when_resizing = self.0.add(&other.0);
    }

    /// Returns a quantile in milliseconds.
    #[must_use]
    pub fn millis(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the distribution.
    #[must_use]
    pub fn distribution(&self) -> Distribution {
        Distribution {
            count: self.0.len(),
            quantiles: QUANTILES.iter().map(|q| (*q, self.millis(*q))).collect(),
        }
    }
}
