//! KV capacity per layer, and the cost that the planner minimizes.

use super::holder::Holder;
use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;

/// Capacity added to every layer when computing costs, in tokens. It keeps the cost of a layer
/// without a holder finite, and is small so that the first holder of a layer lowers the cost most.
const BASE_CAPACITY_TOKENS: f64 = 500.0;
/// The power of the mean over layers.
const SCARCITY_POWER: i32 = 8;

/// Totals over the holders of each layer.
#[derive(Clone, Debug)]
pub(super) struct Layers {
    /// KV capacity, in tokens.
    capacity: Vec<f64>,
    /// KV capacity weighted by the step factors of the holders.
    weighted: Vec<f64>,
    /// Step factor of the slowest accelerator, assumed for layers without a holder.
    slowest: f64,
}

impl Layers {
    pub(super) fn of(model: &Model, group: &[Holder]) -> Self {
        let count = model.layers as usize;
        let step_factors = model.profiles.values().map(|profile| profile.step_factor);
        let mut layers = Self {
            capacity: vec![0.0; count],
            weighted: vec![0.0; count],
            slowest: step_factors.fold(1.0, f64::max),
        };
        for holder in group {
            layers.add(model, holder, 1.0);
        }
        layers
    }

    pub(super) fn add(&mut self, model: &Model, holder: &Holder, sign: f64) {
        if holder.assigned.is_empty() || holder.is_missing() {
            return;
        }
        let each = capacity_of_each(model, holder.profile, holder.assigned.len());
        let end = holder.assigned.end.min(self.capacity.len() as u32);
        for layer in holder.assigned.start as usize..end as usize {
            self.capacity[layer] += sign * each;
            self.weighted[layer] += sign * each * holder.profile.step_factor;
        }
    }

    /// Returns the time of a request divided by the number of concurrent requests, up to a
    /// constant.
    ///
    /// The layers with the least capacity limit the concurrency. A power mean instead of the
    /// minimum gives the other layers some weight, so that each of several moves that together
    /// close a gap lowers the cost.
    pub(super) fn cost(&self) -> f64 {
        let layers = self.totals(Addition::default());
        layers.fold(Total::default(), Total::plus).cost()
    }

    /// Returns the range of `count` layers with the lowest cost for one more server, and that cost.
    ///
    /// What a layer costs with the server and without it is computed once for all ranges.
    pub(super) fn best_range(
        &self,
        model: &Model,
        profile: Profile,
        count: u32,
    ) -> Option<(Range, f64)> {
        let added = Addition {
            capacity: capacity_of_each(model, profile, count),
            step_factor: profile.step_factor,
        };
        let size = self.capacity.len();
        let without: Vec<Total> = self.totals(Addition::default()).collect();
        let with: Vec<Total> = self.totals(added).collect();
        let mut before = Total::default();
        let mut best: Option<(Range, f64)> = None;
        for start in 0..=size.saturating_sub(count as usize) {
            let end = (start + count as usize).min(size);
            let rest = with[start..end].iter().chain(&without[end..]);
            let cost = rest.fold(before, |sum, layer| sum.plus(*layer)).cost();
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((Range::new(start as u32, start as u32 + count), cost));
            }
            before = without
                .get(start)
                .map_or(before, |layer| before.plus(*layer));
        }
        best
    }

    /// Returns the parts of the cost of each layer, if a server added to all of them.
    fn totals(&self, added: Addition) -> impl Iterator<Item = Total> {
        (0..self.capacity.len()).map(move |layer| self.of_layer(layer, added))
    }

    fn of_layer(&self, layer: usize, added: Addition) -> Total {
        let capacity = (self.capacity[layer] + added.capacity).max(0.0) + BASE_CAPACITY_TOKENS;
        let weighted = self.weighted[layer] + added.capacity * added.step_factor;
        Total {
            step_factor: (weighted + BASE_CAPACITY_TOKENS * self.slowest) / capacity,
            scarcity: capacity.recip().powi(SCARCITY_POWER),
        }
    }
}

/// What one more server adds to each layer that it holds.
#[derive(Clone, Copy, Debug, Default)]
struct Addition {
    /// KV capacity, in tokens.
    capacity: f64,
    step_factor: f64,
}

/// The parts of the cost, summed over layers.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    step_factor: f64,
    scarcity: f64,
}

impl Total {
    fn plus(self, other: Self) -> Self {
        Self {
            step_factor: self.step_factor + other.step_factor,
            scarcity: self.scarcity + other.scarcity,
        }
    }

    fn cost(self) -> f64 {
        self.step_factor * self.scarcity.powf(f64::from(SCARCITY_POWER).recip())
    }
}

/// Returns the KV capacity of each of `count` layers on a server, in tokens.
fn capacity_of_each(model: &Model, profile: Profile, count: u32) -> f64 {
    model.kv_capacity(profile, count) / f64::from(count.max(1))
}

/// Returns the KV capacity of a group, in tokens: that of the layer with the least.
#[must_use]
pub fn capacity(model: &Model, group: &[Holder]) -> f64 {
    if !model.is_placeable() {
        return 0.0;
    }
    let layers = Layers::of(model, group);
    layers.capacity.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns the KV capacity of a group for requests that arrive now, in tokens.
pub(super) fn served_capacity(model: &Model, group: &[Holder]) -> f64 {
    let serving = group.iter().map(|holder| Holder {
        assigned: holder.kept(),
        ..holder.clone()
    });
    capacity(model, &serving.collect::<Vec<_>>())
}
