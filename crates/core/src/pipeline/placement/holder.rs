//! Backend servers and the orders that a plan gives them.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::name::Zone;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;
use crate::pipeline::server::Incarnation;

/// The progress of a server's last order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// It holds the layers that it was ordered to hold.
    #[default]
    Settled,
    /// It loads other layers. A new order would waste the load.
    Loading,
    /// It waits for requests on the layers that it releases, and refuses other orders until they
    /// end.
    Blocked,
    /// It is empty and refuses orders, so it loads other layers than planned, on the order of a planner
    /// that is gone.
    Busy,
    /// Its registration lapsed, but it answers, so it is likely to register again. It gets no new
    /// requests and no orders meanwhile.
    Missing,
    /// It is missing, and registrations lapse or come back at short intervals. An order given now
    /// might take the last holder of layers whose other holders lapse next.
    Lapsing,
    /// It joined empty a moment ago. In a rollout the server that it replaces is about to drain,
    /// and an order before that would cause a second load.
    Joining,
}

/// A backend server that holds layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The server.
    pub server: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// The profile of its accelerator.
    pub profile: Profile,
    /// The layers that it holds, or was last ordered to hold.
    pub assigned: Range,
    /// The layers that it serves now, which differ from the assigned ones until its order
    /// completes.
    pub serving: Range,
    /// Number of requests in flight.
    pub requests: u64,
    /// The progress of its last order. A server that joined counts as settled while a layer has no
    /// holder.
    pub phase: Phase,
}

impl Holder {
    /// Creates a settled holder without requests.
    #[must_use]
    pub fn new(server: Incarnation, zone: Zone, profile: Profile, assigned: Range) -> Self {
        Self {
            server,
            zone,
            profile,
            assigned,
            serving: assigned,
            requests: 0,
            phase: Phase::Settled,
        }
    }

    /// Returns whether it loads layers.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        match self.phase {
            Phase::Loading => self.layers_to_load() > 0,
            Phase::Busy => true,
            _ => false,
        }
    }

    /// Returns whether it is empty and is to get layers now. While every layer has a holder, a server
    /// that has just joined waits.
    pub(super) fn awaits_layers(&self, is_complete: bool) -> bool {
        let may_wait = is_complete && self.phase == Phase::Joining;
        self.assigned.is_empty() && !may_wait && !self.refuses_orders() && !self.is_missing()
    }

    /// Returns whether it refuses orders.
    pub(super) fn refuses_orders(&self) -> bool {
        matches!(self.phase, Phase::Blocked | Phase::Busy)
    }

    /// Returns whether its registration lapsed.
    pub(super) fn is_missing(&self) -> bool {
        matches!(self.phase, Phase::Missing | Phase::Lapsing)
    }

    /// Returns the number of layers that its order has it load.
    #[must_use]
    pub fn layers_to_load(&self) -> u32 {
        self.assigned.len() - self.kept().len()
    }

    /// Returns the layers that it serves now and keeps.
    pub(super) fn kept(&self) -> Range {
        self.serving.intersection(self.assigned)
    }
}

/// What happens to requests on the layers that a server releases.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Handover {
    /// The server waits for them to end before it loads.
    #[default]
    Drain,
    /// They are interrupted, and the server loads at once.
    Break,
}

/// An order to hold layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The server.
    pub server: Incarnation,
    /// The layers to hold.
    pub layers: Range,
    /// What happens to requests on released layers.
    pub handover: Handover,
}

impl Order {
    /// Creates an order that waits for requests to end.
    #[must_use]
    pub fn new(server: Incarnation, layers: Range) -> Self {
        Self {
            server,
            layers,
            handover: Handover::Drain,
        }
    }

    /// Returns the handover if the order is sent now.
    ///
    /// An order planned without a path may be sent again, after a refusal, when there is one.
    #[must_use]
    pub fn effective_handover(&self, is_unserved: bool) -> Handover {
        match is_unserved {
            true => self.handover,
            false => Handover::Drain,
        }
    }
}

/// Maximum share of a server's memory for weights.
pub(super) const MAX_WEIGHT_SHARE: f64 = 0.97;

/// Returns the number of layers that fit beside KV memory for `kv_tokens` tokens.
pub(super) fn layers_beside(model: &Model, profile: Profile, kv_tokens: f64) -> u32 {
    const BYTES_PER_MB: f64 = 1e6;
    let kv_mb =
        kv_tokens * model.kv_bytes_per_token / f64::from(model.layers.max(1)) / BYTES_PER_MB;
    let layers = profile.memory_mb / (model.layer_mb + kv_mb).max(1.0);
    (layers as u32).min(model.max_layers(profile, MAX_WEIGHT_SHARE))
}

/// Returns the holders as they are after the orders complete.
pub(super) fn apply(group: &[Holder], orders: &[Order]) -> Vec<Holder> {
    let ordered: BTreeMap<&Incarnation, Range> = orders
        .iter()
        .map(|order| (&order.server, order.layers))
        .collect();
    let mut group = group.to_vec();
    for holder in &mut group {
        let layers = ordered.get(&holder.server).copied();
        holder.assigned = layers.unwrap_or(holder.assigned);
    }
    group
}
