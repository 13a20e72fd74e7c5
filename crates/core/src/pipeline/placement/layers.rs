//! KV capacity per layer, and the cost that the planner minimizes.

use super::holder::Holder;
use crate::pipeline::model::Model;

/// Capacity added to every layer when computing costs, in tokens. It keeps the cost of a layer
/// without a holder finite, and is small so that the first holder of a layer lowers the cost most.
const BASE_CAPACITY_TOKENS: f64 = 500.0;

/// Returns the cost of a group's placement.
pub(super) fn cost(model: &Model, group: &[Holder]) -> f64 {
    Layers::of(model, group).cost()
}

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
        let each = model.kv_capacity(holder.profile, holder.assigned.len())
            / f64::from(holder.assigned.len());
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
        let mut step_factor = 0.0;
        let mut scarcity = 0.0;
        for (capacity, weighted) in self.capacity.iter().zip(&self.weighted) {
            let capacity = capacity.max(0.0);
            step_factor += (weighted + BASE_CAPACITY_TOKENS * self.slowest)
                / (capacity + BASE_CAPACITY_TOKENS);
            scarcity += (capacity + BASE_CAPACITY_TOKENS).recip().powi(8);
        }
        step_factor * scarcity.powf(1.0 / 8.0)
    }
}

/// Returns the KV capacity of a group, in tokens: that of the layer with the least.
#[must_use]
pub fn capacity(model: &Model, group: &[Holder]) -> f64 {
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
