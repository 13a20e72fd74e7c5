//! How many servers may load weights at the same time.

use std::collections::VecDeque;

use crate::pipeline::assignment::Load;
use crate::pipeline::model::Model;
use crate::time::Instant;
use crate::time::Span;

/// How many loads in a row must have been faster than configured. One may seem so by mistake.
const MIN_OBSERVATIONS: usize = 3;
/// How long an observation counts. Storage that was fast a while ago may not be any more.
const OBSERVATION_TTL: Span = Span(3_000);

/// The bandwidth of the storage that weights are loaded from, in loads at full speed.
///
/// The model's configuration names a number of loads that run at full speed. Where loads end much
/// sooner than that allows, the storage has room for more, and servers need not wait for each other.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::assignment::Load;
/// # use jujube_core::pipeline::bandwidth::Bandwidth;
/// # use jujube_core::pipeline::model::Model;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let model = Model { layers: 80, load_seconds: 8.0, concurrent_loads: 5, ..Model::default() };
/// let mut bandwidth = Bandwidth::default();
/// assert_eq!(bandwidth.concurrent_loads(Instant(0), &model), 5);
/// // Ten layers should take a second.
/// let load = Load { layers: 10, took: Span(100) };
/// for _ in 0..3 {
///     bandwidth.record(Instant(100), &model, load, 5);
/// }
/// assert_eq!(bandwidth.concurrent_loads(Instant(100), &model), 50);
/// assert_eq!(bandwidth.concurrent_loads(Instant(9_000), &model), 5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Bandwidth {
    /// The latest loads, oldest first.
    observed: VecDeque<Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    /// The number of loads that the storage would have served at full speed.
    loads: f64,
}

impl Bandwidth {
    /// Records a load that ended while `loads` servers loaded.
    pub fn record(&mut self, now: Instant, model: &Model, load: Load, loads: usize) {
        if load.layers == 0 {
            return;
        }
        let speedup = model.load_ms(load.layers) / (load.took.0 as f64).max(1.0);
        self.observed.push_back(Observation {
            at: now,
            loads: loads as f64 * speedup,
        });
        if self.observed.len() > MIN_OBSERVATIONS {
            self.observed.pop_front();
        }
    }

    /// Returns how many servers may load at the same time, each in no more than the configured time.
    #[must_use]
    pub fn concurrent_loads(&self, now: Instant, model: &Model) -> usize {
        let configured = match model.concurrent_loads {
            0 => usize::MAX,
            loads => loads as usize,
        };
        let is_recent = |observed: &&Observation| now.since(observed.at) < OBSERVATION_TTL;
        let recent = self.observed.iter().filter(is_recent);
        if recent.clone().count() < MIN_OBSERVATIONS {
            return configured;
        }
        let least = recent.fold(f64::INFINITY, |least, observed| least.min(observed.loads));
        configured.max(least as usize)
    }
}
