//! Backend servers as the plan sees them, and what it asks of them.

use crate::layer::Range;
use crate::name::Zone;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;
use crate::pipeline::server::Incarnation;

/// What a server is about.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// It holds what it was ordered to hold.
    #[default]
    Settled,
    /// It was ordered to hold other layers and loads them. Ordered elsewhere now, it would have
    /// loaded in vain for seconds.
    Loading,
    /// It was ordered to hold other layers and waits for requests that pass through those that it gives up.
    /// That takes as long as they run, and until then it refuses every other order.
    Blocked,
    /// It joined empty a moment ago. In a release the server that it replaces says only now that
    /// it drains; given other layers at once, it would have to load twice.
    Joining,
}

/// A backend server as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its name.
    pub server: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Its accelerator.
    pub profile: Profile,
    /// The layers that it holds, or that it was last ordered to hold.
    pub assigned: Range,
    /// The layers that requests can pass through now; others than it is ordered to hold until its order shows.
    pub serving: Range,
    /// The requests that pass through it now.
    pub requests: u64,
    /// What it is about; a server that joined counts as settled while a layer has no holder.
    pub phase: Phase,
}

impl Holder {
    /// Returns a settled server through which no request passes.
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
}

/// What becomes of requests that pass through layers which a server gives up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Handover {
    /// The server waits until they have passed, and loads then.
    #[default]
    Drain,
    /// They are broken off, and the server loads at once.
    Break,
}

/// An order to hold layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// To whom.
    pub server: Incarnation,
    /// What it is to hold.
    pub layers: Range,
    /// What becomes of the requests that pass.
    pub handover: Handover,
}

impl Order {
    /// Returns an order that waits for what passes.
    #[must_use]
    pub fn new(server: Incarnation, layers: Range) -> Self {
        Self {
            server,
            layers,
            handover: Handover::Drain,
        }
    }

    /// Returns what becomes of the requests that pass if the order is given now.
    ///
    /// Planned while there was no path, it may be given again, after a refusal, when there is one.
    #[must_use]
    pub fn effective_handover(&self, is_unserved: bool) -> Handover {
        match is_unserved {
            true => self.handover,
            false => Handover::Drain,
        }
    }
}

/// The most of one server's memory that weights take when it fills a gap that nobody else fills.
pub(super) const GAP_SHARE: f64 = 0.97;

/// Returns how many layers a server holds beside room for `room` tokens.
pub(super) fn beside(model: &Model, profile: Profile, room: f64) -> u32 {
    const BYTES_PER_MB: f64 = 1e6;
    let room_mb = room * model.kv_bytes_per_token / f64::from(model.layers.max(1)) / BYTES_PER_MB;
    let layers = profile.memory_mb / (model.layer_mb + room_mb).max(1.0);
    (layers as u32).min(model.max_layers(profile, GAP_SHARE))
}

/// Returns the holders as they are once orders are carried out.
pub(super) fn apply(group: &[Holder], orders: &[Order]) -> Vec<Holder> {
    let mut group = group.to_vec();
    for holder in &mut group {
        let order = orders.iter().find(|order| order.server == holder.server);
        holder.assigned = order.map_or(holder.assigned, |order| order.layers);
    }
    group
}
