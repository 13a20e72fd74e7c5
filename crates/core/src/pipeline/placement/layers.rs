//! What the holders of each layer have between them.

use super::holder::Holder;
use crate::pipeline::model::Model;

/// What a layer without any holder counts as, in tokens: little, so that the first holder of each
/// such layer is worth more than anything else.
pub(super) const NOTHING: f64 = 500.0;
pub(super) fn cost(model: &Model, group: &[Holder]) -> f64 {
    Layers::of(model, group).cost()
}

/// What the holders of each layer have between them.
#[derive(Clone, Debug)]
pub(super) struct Layers {
    /// Room, in tokens.
    room: Vec<f64>,
    /// Room times the pace of its holder.
    paced: Vec<f64>,
    /// The pace that a layer without a holder counts with: the slowest of all.
    slowest: f64,
}

impl Layers {
    pub(super) fn of(model: &Model, group: &[Holder]) -> Self {
        let count = model.layers as usize;
        let paces = model.profiles.values().map(|profile| profile.step_factor);
        let mut layers = Self {
            room: vec![0.0; count],
            paced: vec![0.0; count],
            slowest: paces.fold(1.0, f64::max),
        };
        for holder in group {
            layers.add(model, holder, 1.0);
        }
        layers
    }

    pub(super) fn add(&mut self, model: &Model, holder: &Holder, sign: f64) {
        if holder.assigned.is_empty() {
            return;
        }
        let each = model.kv_capacity(holder.profile, holder.assigned.len())
            / f64::from(holder.assigned.len());
        let end = holder.assigned.end.min(self.room.len() as u32);
        for layer in holder.assigned.start as usize..end as usize {
            self.room[layer] += sign * each;
            self.paced[layer] += sign * each * holder.profile.step_factor;
        }
    }

    /// Returns how hard it is for requests to pass: how long one takes, over how many there is room
    /// for at a time.
    ///
    /// The room that counts is that of the fullest layers; the power lets the others count a little,
    /// so that each of several moves that together close a gap shows as a gain.
    pub(super) fn cost(&self) -> f64 {
        let mut step_factor = 0.0;
        let mut tightness = 0.0;
        for (room, paced) in self.room.iter().zip(&self.paced) {
            let room = room.max(0.0);
            step_factor += (paced + NOTHING * self.slowest) / (room + NOTHING);
            tightness += (room + NOTHING).recip().powi(8);
        }
        step_factor * tightness.powf(1.0 / 8.0)
    }
}

/// Returns the tokens that a group carries: those of its fullest layer over all holders of it.
#[must_use]
pub fn capacity(model: &Model, group: &[Holder]) -> f64 {
    let layers = Layers::of(model, group);
    layers.room.into_iter().fold(f64::INFINITY, f64::min)
}
