//! Which layers each backend server is to hold.
//!
//! The plan is a pure function of what the servers hold and have been ordered to hold. A planner
//! that knows nothing therefore goes on where the one before it stopped.

mod gaps;
mod holder;
mod layers;
mod repair;
mod replicas;

use std::collections::BTreeMap;

use crate::name::Zone;
use crate::pipeline::model::Model;

pub use holder::Handover;
pub use holder::Holder;
pub use holder::Order;
pub use holder::Phase;
pub use layers::capacity;

/// Returns the orders that bring the holders nearer to a good placement; none when it is good.
///
/// A group is an availability zone with memory for a copy of the model; zones without are put
/// together in one group.
///
/// While no request can pass through the whole model anywhere, waiting costs every caller: layers that a server holds
/// only once the requests on it have ended close no gap, and orders break off what passes. As soon as there is a
/// path, orders wait again, since each that does not breaks off the streams of its server.
#[must_use]
pub fn plan(model: &Model, holders: &[Holder]) -> Vec<Order> {
    if model.layers == 0 {
        return Vec::new();
    }
    let is_unserved = !repair::carries(model, holders);
    let holders: Vec<Holder> = holders
        .iter()
        .map(|h| as_believed(h, is_unserved))
        .collect();
    let mut orders = Vec::new();
    for group in groups(model, &holders) {
        if group.iter().all(|holder| holder.assigned.is_empty()) {
            orders.extend(replicas::place(model, &group));
        } else {
            orders.extend(repair::repair(model, &group));
        }
    }
    orders.retain(|order| is_safe(model, &holders, order));
    if is_unserved {
        for order in &mut orders {
            order.handover = Handover::Break;
        }
    }
    orders
}

/// Returns a holder with the layers that are to count as its own.
fn as_believed(holder: &Holder, is_unserved: bool) -> Holder {
    let mut holder = holder.clone();
    if is_unserved && holder.phase == Phase::Blocked {
        holder.assigned = holder.serving;
    }
    holder
}

/// Tells whether a server has the memory for what it is ordered to hold.
///
/// A server that is ordered to hold more crashes with all requests on it.
fn is_safe(model: &Model, holders: &[Holder], order: &Order) -> bool {
    let holder = holders.iter().find(|holder| holder.server == order.server);
    let fits = holder.map_or(0, |holder| {
        model.max_layers(holder.profile, holder::GAP_SHARE)
    });
    !order.layers.is_empty() && order.layers.end <= model.layers && order.layers.len() <= fits
}

fn groups(model: &Model, holders: &[Holder]) -> Vec<Vec<Holder>> {
    let mut zones: BTreeMap<Zone, Vec<Holder>> = BTreeMap::new();
    for holder in holders {
        let zone = zones.entry(holder.zone.clone()).or_default();
        zone.push(holder.clone());
    }
    let complete = |group: &[Holder]| -> bool {
        let fits = group
            .iter()
            .map(|h| model.max_layers(h.profile, holder::GAP_SHARE));
        fits.sum::<u32>() >= model.layers
    };
    let (whole, partial): (Vec<_>, Vec<_>) = zones.into_values().partition(|g| complete(g));
    let rest: Vec<Holder> = partial.into_iter().flatten().collect();
    let mut groups = whole;
    if complete(&rest) {
        groups.push(rest);
    }
    groups
}
