//! When requests arrive, from a seed.

use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How requests arrive.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pattern {
    /// At a steady mean rate, with exponential gaps; as Okonkwo's buyers.
    #[default]
    Steady,
    /// In bursts: a quarter of each ten seconds takes most of the load; as Hoshizaki's surveyors
    /// before crews enter a site.
    Bursts,
}

impl FromStr for Pattern {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "steady" => Ok(Self::Steady),
            "bursts" => Ok(Self::Bursts),
            _ => Err("`steady` or `bursts`"),
        }
    }
}

const PERIOD_SECONDS: f64 = 10.0;
const BURST_SHARE: f64 = 0.25;
const BURST_FACTOR: f64 = 3.0;

/// Returns the arrival times of one run, in order.
///
/// # Examples
///
/// ```
/// # use std::time::Duration;
/// # use jujube_load::arrivals::Pattern;
/// # use jujube_load::arrivals::times;
/// let times = times(Pattern::Steady, 100.0, Duration::from_secs(10), 1);
/// assert!((900..1100).contains(&times.len()));
/// ```
#[must_use]
pub fn times(pattern: Pattern, per_second: f64, length: Duration, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut times = Vec::new();
    let mut now = 0.0;
    loop {
        let rate = per_second * factor(pattern, now);
        let drawn: f64 = random.random_range(f64::EPSILON..1.0);
        now -= drawn.ln() / rate.max(f64::EPSILON);
        if now >= length.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(now));
    }
}

/// Returns the rate at a time over the mean rate.
fn factor(pattern: Pattern, now: f64) -> f64 {
    match pattern {
        Pattern::Steady => 1.0,
        Pattern::Bursts if now % PERIOD_SECONDS < PERIOD_SECONDS * BURST_SHARE => BURST_FACTOR,
        Pattern::Bursts => (1.0 - BURST_FACTOR * BURST_SHARE) / (1.0 - BURST_SHARE),
    }
}
