//! Rows: servers that together hold one copy of the model.

use super::holder::Holder;
use super::holder::Order;
use super::holder::apply;
use super::holder::beside;
use super::layers::capacity;
use super::repair::round_out;
use crate::layer::Range;
use crate::pipeline::model::Model;

/// The room for requests, in tokens, that parts of full rows keep beside their layers.
///
/// A row carries as many requests as its fullest part: at 90,000 tokens about 90 of the users' usual
/// 1,000 tokens. With more room there are fewer rows, so each death stops more of them, and each
/// works on larger batches: at 90 requests a token takes 2.5 times as long as at one.
pub(super) const FAST_ROOM: f64 = 90_000.0;
/// The least room that a part of a further row keeps. With less it carries so few requests that the
/// memory serves better as room beside the rows before.
pub(super) const LEAST_ROOM: f64 = 30_000.0;
/// Places a group from scratch: rows, each a complete copy of the model, the fastest
/// accelerators first.
///
/// A request holds memory for as long as it runs, so a row of fast accelerators carries several
/// times the requests of a slow one with the same memory. Further rows on what is left stand in when
/// a part dies, and take what the first cannot. Servers that make no complete row any more hold the
/// layers with the fewest holders.
pub(super) fn place(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut orders = scratch(model, group);
    let placed = apply(group, &orders);
    if capacity(model, &placed) > 0.0 {
        orders.extend(round_out(model, &placed));
    }
    orders
}

/// Makes the rows of a group.
pub(super) fn scratch(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut left = group.to_vec();
    left.sort_by(|a, b| {
        let by_pace = a.profile.step_factor.total_cmp(&b.profile.step_factor);
        by_pace.then_with(|| a.server.cmp(&b.server))
    });
    let mut orders: Vec<Order> = Vec::new();
    while let Some(replica) =
        fastest_replica(model, &left).or_else(|| remaining_replica(model, &left, &orders))
    {
        left.retain(|holder| replica.iter().all(|order| order.server != holder.server));
        orders.extend(replica);
    }
    orders
}

/// Makes a row of the fewest servers, from the fastest on, that hold all layers beside their room.
pub(super) fn fastest_replica(model: &Model, holders: &[Holder]) -> Option<Vec<Order>> {
    let fewest = (1..=holders.len()).find(|count| holds(model, &holders[..*count], FAST_ROOM))?;
    widest_replica(model, &holders[..fewest])
}

/// Makes a row of all servers that are left, if it has room enough or there is no other row.
pub(super) fn remaining_replica(
    model: &Model,
    holders: &[Holder],
    others: &[Order],
) -> Option<Vec<Order>> {
    if !others.is_empty() && !holds(model, holders, LEAST_ROOM) {
        return None;
    }
    widest_replica(model, holders)
}

/// Tells whether servers hold all layers with room for `room` tokens at each.
pub(super) fn holds(model: &Model, holders: &[Holder], room: f64) -> bool {
    let layers = holders.iter().map(|h| beside(model, h.profile, room));
    layers.sum::<u32>() >= model.layers
}

/// Makes the row of servers that leaves the most room at its fullest part.
pub(super) fn widest_replica(model: &Model, holders: &[Holder]) -> Option<Vec<Order>> {
    const HALVINGS: usize = 24;
    if !holds(model, holders, 0.0) {
        return None;
    }
    let mut fits = 0.0;
    let mut too_much = 1e9;
    for _ in 0..HALVINGS {
        let room = (fits + too_much) / 2.0;
        if holds(model, holders, room) {
            fits = room;
        } else {
            too_much = room;
        }
    }
    replica(model, holders, fits)
}

/// Makes one row of the first servers, each with room for `room` tokens; `None` when they do not
/// hold all layers.
pub(super) fn replica(model: &Model, holders: &[Holder], room: f64) -> Option<Vec<Order>> {
    let mut start = 0;
    let mut orders = Vec::new();
    for holder in holders {
        let count = beside(model, holder.profile, room).min(model.layers - start);
        if count == 0 {
            continue;
        }
        let layers = Range::new(start, start + count);
        orders.push(Order::new(holder.server.clone(), layers));
        start += count;
        if start == model.layers {
            return Some(orders);
        }
    }
    None
}
