//! Mending a running group: layers for servers that join, moves after a loss.

use super::gaps::MOST_CLOSING;
use super::gaps::close;
use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::beside;
use super::layers::Layers;
use super::layers::capacity;
use super::layers::cost;
use super::replicas::FAST_ROOM;
use super::replicas::LEAST_ROOM;
use super::replicas::scratch;
use crate::layer;
use crate::layer::Range;
use crate::pipeline::model::Model;

/// A server of a running group moves to other layers when that takes away this share of the group's
/// resistance. Moving takes seconds in which it carries nothing, so a small gain does not pay.
const WORTH_MOVING: f64 = 0.2;
/// The same while a layer has no holder at all: then the group carries nothing anyway, and several
/// small moves together may be what closes the gap.
const WORTH_CLOSING: f64 = 0.01;
/// The most servers of one group that move at a time: those that move carry nothing meanwhile.
const MOST_MOVES: usize = 3;
/// The rooms, in tokens, among which the number of a server's layers is chosen.
const ROOMS: [f64; 3] = [150_000.0, FAST_ROOM, 60_000.0];
/// The same where these leave a layer without a holder.
const NARROW_ROOMS: [f64; 3] = [60_000.0, LEAST_ROOM, 12_000.0];

/// The rooms for empty servers and the room beside what others take, tried in turn until a gap is closed.
const CLOSING_ROOMS: [(&[f64], f64); 3] = [
    (&ROOMS, 60_000.0),
    (&NARROW_ROOMS, LEAST_ROOM),
    (&NARROW_ROOMS, 12_000.0),
];

/// Gives layers to the empty servers of a running group, closes gaps, and moves others where much is gained.
///
/// Each step is the one that lowers the group's resistance most, so the servers that still serve
/// stay where they are unless others hold their layers as well.
pub(super) fn repair(model: &Model, group: &[Holder]) -> Vec<Order> {
    for (rooms, room) in CLOSING_ROOMS {
        let mut mended = group.to_vec();
        let mut orders = fill(model, &mut mended, rooms);
        let is_closed = is_whole(model, &mended);
        orders.extend(close(model, &mut mended, room));
        if !is_whole(model, &mended) {
            continue;
        }
        // While a gap is open or being closed, a move for room takes away layers that a path needs.
        if is_closed && carries(model, group) {
            improve(model, &mut mended, &mut orders, rooms);
        }
        return orders;
    }
    rearrange(model, group)
}

/// Gives layers to the empty servers of a group whose others have theirs, and moves those where much is gained.
pub(super) fn round_out(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut group = group.to_vec();
    let mut orders = fill(model, &mut group, &ROOMS);
    improve(model, &mut group, &mut orders, &ROOMS);
    orders
}

fn is_whole(model: &Model, group: &[Holder]) -> bool {
    capacity(model, group) > 0.0
}

/// Tells whether requests can pass through the whole model now.
pub(super) fn carries(model: &Model, group: &[Holder]) -> bool {
    let carried = group.iter().map(|holder| holder.serving);
    layer::gaps(model.layers, carried).is_empty()
}

/// Moves any servers to close a gap that nobody can close without giving up layers that nobody else holds.
fn rearrange(model: &Model, group: &[Holder]) -> Vec<Order> {
    for rooms in [&ROOMS, &NARROW_ROOMS] {
        let mut mended = group.to_vec();
        let mut orders = fill(model, &mut mended, rooms);
        for _ in 0..MOST_CLOSING {
            if is_whole(model, &mended) {
                return orders;
            }
            if !step(model, &mut mended, &mut orders, rooms, WORTH_CLOSING) {
                break;
            }
        }
        if is_whole(model, &mended) {
            return orders;
        }
    }
    // No single moves close the gap, and nothing is served here anyway: place all anew.
    let free = group.iter().filter(|h| h.phase != Phase::Blocked);
    let mut orders = scratch(model, &free.cloned().collect::<Vec<_>>());
    let held = |order: &Order| {
        group
            .iter()
            .find(|h| h.server == order.server)
            .map(|h| h.assigned)
    };
    orders.retain(|order| held(order) != Some(order.layers));
    orders
}

/// Gives layers to empty servers.
fn fill(model: &Model, group: &mut [Holder], rooms: &[f64]) -> Vec<Order> {
    let mut orders = Vec::new();
    let is_served = is_whole(model, group);
    for index in 0..group.len() {
        let may_wait = is_served && group[index].phase == Phase::Joining;
        let refuses = group[index].phase == Phase::Blocked;
        if group[index].assigned.is_empty() && !may_wait && !refuses {
            let best = best_range(model, group, index, rooms);
            take(group, &mut orders, index, best);
        }
    }
    orders
}

/// Moves servers of a whole group where much is gained.
fn improve(model: &Model, group: &mut [Holder], orders: &mut Vec<Order>, rooms: &[f64]) {
    for _ in 0..MOST_MOVES {
        if !step(model, group, orders, rooms, WORTH_MOVING) {
            return;
        }
    }
}

/// Makes the move that gains most; `false` when none gains a share of the group's resistance.
fn step(
    model: &Model,
    group: &mut [Holder],
    orders: &mut Vec<Order>,
    rooms: &[f64],
    share: f64,
) -> bool {
    let is_closed = is_whole(model, group);
    let before = cost(model, group);
    let may_move = |index: &usize| match group[*index].phase {
        Phase::Settled => true,
        Phase::Blocked => false,
        Phase::Joining | Phase::Loading => !is_closed,
    };
    let moves = (0..group.len()).filter(may_move).filter_map(|index| {
        let (layers, after) = best_range(model, group, index, rooms)?;
        Some((index, layers, after))
    });
    let best = moves.min_by(|a, b| a.2.total_cmp(&b.2));
    let worth = best.filter(|(_, _, after)| *after < before * (1.0 - share));
    let Some((index, layers, after)) = worth else {
        return false;
    };
    take(group, orders, index, Some((layers, after)));
    true
}

fn take(group: &mut [Holder], orders: &mut Vec<Order>, index: usize, choice: Option<(Range, f64)>) {
    let Some((layers, _)) = choice else {
        return;
    };
    group[index].assigned = layers;
    let server = group[index].server.clone();
    orders.retain(|order| order.server != server);
    orders.push(Order::new(server, layers));
}

/// Returns the range by which one server lowers the group's resistance most, and what is left of it.
fn best_range(
    model: &Model,
    group: &[Holder],
    index: usize,
    rooms: &[f64],
) -> Option<(Range, f64)> {
    let holder = &group[index];
    let mut others = Layers::of(model, group);
    others.add(model, holder, -1.0);
    let counts = rooms
        .iter()
        .map(|room| beside(model, holder.profile, *room));
    let mut counts: Vec<u32> = counts.collect();
    counts.retain(|count| *count > 0);
    counts.dedup();
    let mut best: Option<(Range, f64)> = None;
    for count in counts {
        for start in 0..=model.layers - count.min(model.layers) {
            let mut moved = holder.clone();
            moved.assigned = Range::new(start, start + count);
            let mut layers = others.clone();
            layers.add(model, &moved, 1.0);
            let left = layers.cost();
            if best.is_none_or(|(_, least)| left < least) {
                best = Some((moved.assigned, left));
            }
        }
    }
    best
}
