//! Placement of layers on backend servers.
//!
//! The plan is a pure function of the layers that servers hold and have been ordered to hold, so a
//! new planner continues where the previous one stopped.

mod gaps;
mod holder;
mod layers;
mod missing;
mod repair;
mod replicas;
mod schedule;

use std::collections::BTreeMap;

use crate::name::Zone;
use crate::pipeline::model::Model;
use crate::pipeline::server::Incarnation;

pub use holder::Handover;
pub use holder::Holder;
pub use holder::Order;
pub use holder::Phase;
pub use layers::capacity;
pub use repair::has_path;
pub use schedule::schedule;

/// Returns the orders that improve the placement; none if it is good, or if the model has too many
/// layers to be placed.
///
/// Each availability zone with enough memory for a replica of the model is planned on its own. The
/// other zones form one group.
///
/// While no complete path exists anywhere, orders interrupt running requests instead of waiting for
/// them, and layers that a blocked server would hold later close no gap. Once a path exists, orders
/// wait again, because each that does not interrupts the streams of its server.
#[must_use]
pub fn plan(model: &Model, holders: &[Holder]) -> Vec<Order> {
    if !model.is_placeable() {
        return Vec::new();
    }
    let is_unserved = !has_path(model, holders);
    let holders: Vec<Holder> = holders.iter().map(|h| effective(h, is_unserved)).collect();
    let mut orders = Vec::new();
    for group in groups(model, &holders) {
        orders.extend(plan_group(model, &group));
    }
    let urgent = missing::replace(model, &holders);
    orders.retain(|order| urgent.iter().all(|other| other.server != order.server));
    orders.extend(urgent);
    let by_server: BTreeMap<&Incarnation, &Holder> = holders
        .iter()
        .map(|holder| (&holder.server, holder))
        .collect();
    let is_lapsing = holders.iter().any(|holder| holder.phase == Phase::Lapsing);
    orders.retain(|order| {
        let holder = by_server.get(&order.server);
        holder.is_some_and(|holder| {
            fits_memory(model, holder, order) && (!is_lapsing || holder.assigned.is_empty())
        })
    });
    if is_unserved {
        for order in &mut orders {
            order.handover = Handover::Break;
        }
    }
    orders
}

fn plan_group(model: &Model, group: &[Holder]) -> Vec<Order> {
    let placed = replicas::place_rest(model, group);
    placed.unwrap_or_else(|| repair::repair(model, group))
}

/// Returns the KV capacity for requests that arrive now, in tokens: over the availability zones with
/// a complete path or, if none has one, over paths across zones.
///
/// Layers that a server was ordered to release accept no requests, although its registration shows
/// them until its requests have ended.
#[must_use]
pub fn served_tokens(model: &Model, holders: &[Holder]) -> f64 {
    let zones = by_zone(holders);
    let within = zones
        .values()
        .map(|zone| layers::served_capacity(model, zone));
    let within: f64 = within.sum();
    if within > 0.0 {
        within
    } else {
        layers::served_capacity(model, holders)
    }
}

/// Returns a holder with the layers that count as assigned to it.
fn effective(holder: &Holder, is_unserved: bool) -> Holder {
    let mut holder = holder.clone();
    if is_unserved && holder.refuses_orders() {
        holder.assigned = holder.kept();
    }
    holder
}

/// Returns whether an order fits the server's memory. A server ordered to hold more would crash
/// with all its requests.
fn fits_memory(model: &Model, holder: &Holder, order: &Order) -> bool {
    let max_layers = model.max_layers(holder.profile, holder::MAX_WEIGHT_SHARE);
    !order.layers.is_empty() && order.layers.end <= model.layers && order.layers.len() <= max_layers
}

fn by_zone(holders: &[Holder]) -> BTreeMap<Zone, Vec<Holder>> {
    let mut zones: BTreeMap<Zone, Vec<Holder>> = BTreeMap::new();
    for holder in holders {
        let zone = zones.entry(holder.zone.clone()).or_default();
        zone.push(holder.clone());
    }
    zones
}

fn groups(model: &Model, holders: &[Holder]) -> Vec<Vec<Holder>> {
    let zones = by_zone(holders);
    let is_sufficient = |group: &[Holder]| -> bool {
        let max_layers = group
            .iter()
            .map(|h| model.max_layers(h.profile, holder::MAX_WEIGHT_SHARE));
        max_layers.sum::<u32>() >= model.layers
    };
    let (mut groups, partial): (Vec<_>, Vec<_>) =
        zones.into_values().partition(|g| is_sufficient(g));
    let rest: Vec<Holder> = partial.into_iter().flatten().collect();
    if is_sufficient(&rest) {
        groups.push(rest);
    }
    groups
}
