//! Repair of a running group: layers for joining servers, and moves after a loss.

use std::collections::BTreeSet;

use super::gaps::MAX_CLOSING;
use super::gaps::close;
use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::layers_beside;
use super::layers::Layers;
use super::replicas::MIN_REPLICA_KV_TOKENS;
use super::replicas::REPLICA_KV_TOKENS;
use super::replicas::replicas;
use crate::layer;
use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;

/// Minimum relative cost reduction for a move. A moving server serves nothing for seconds.
const MIN_GAIN: f64 = 0.2;
/// Minimum relative cost reduction for a move while a layer has no holder. The group serves nothing
/// then, and several small moves together may close the gap.
const MIN_GAIN_WITH_GAP: f64 = 0.01;
/// Maximum number of servers of a group that move at the same time, since they serve nothing
/// meanwhile.
const MAX_MOVES: usize = 3;
/// KV capacities to leave beside a server's layers, in tokens, each of which gives a number of
/// layers.
const KV_TOKENS: [f64; 3] = [150_000.0, REPLICA_KV_TOKENS, 60_000.0];
/// KV capacities to try when [`KV_TOKENS`] leave a layer without a holder.
const REDUCED_KV_TOKENS: [f64; 3] = [60_000.0, MIN_REPLICA_KV_TOKENS, 12_000.0];

/// KV capacities for empty servers and for servers that close a gap, tried in turn until all gaps
/// are closed.
const GAP_KV_TOKENS: [(&[f64], f64); 3] = [
    (&KV_TOKENS, 60_000.0),
    (&REDUCED_KV_TOKENS, MIN_REPLICA_KV_TOKENS),
    (&REDUCED_KV_TOKENS, 12_000.0),
];

/// Assigns layers to the empty servers of a running group, closes gaps, and moves servers if the
/// gain is large enough.
///
/// Each step is the one with the largest cost reduction, so a serving server stays unless others
/// hold its layers as well.
pub(super) fn repair(model: &Model, group: &[Holder]) -> Vec<Order> {
    for (options, kv_tokens) in GAP_KV_TOKENS {
        let mut repaired = group.to_vec();
        let mut orders = fill(model, &mut repaired, options);
        let is_closed = is_complete(model, &repaired);
        orders.extend(close(model, &mut repaired, kv_tokens));
        if !is_complete(model, &repaired) {
            continue;
        }
        // While a gap is open or being closed, a move for capacity would remove layers that a path
        // needs.
        if is_closed && has_path(model, group) && !group.iter().any(Holder::is_missing) {
            improve(model, &mut repaired, &mut orders, options);
        }
        return orders;
    }
    rearrange(model, group)
}

/// Assigns layers to the empty servers of a group without gaps, and moves servers if the gain is
/// large enough.
pub(super) fn fill_and_improve(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut group = group.to_vec();
    let mut orders = fill(model, &mut group, &KV_TOKENS);
    improve(model, &mut group, &mut orders, &KV_TOKENS);
    orders
}

/// Returns whether every layer is assigned, be it to a server that is missing.
pub(super) fn is_complete(model: &Model, group: &[Holder]) -> bool {
    let assigned = group.iter().map(|holder| holder.assigned);
    layer::gaps(model.layers, assigned).is_empty()
}

/// Returns whether every layer is served now.
///
/// Layers that a server was ordered to release accept no requests, although its registration shows
/// them until its requests have ended.
#[must_use]
pub fn has_path(model: &Model, group: &[Holder]) -> bool {
    let serving = group.iter().map(Holder::kept);
    layer::gaps(model.layers, serving).is_empty()
}

/// Closes gaps by moving servers away from layers that no other server holds.
fn rearrange(model: &Model, group: &[Holder]) -> Vec<Order> {
    for options in [&KV_TOKENS, &REDUCED_KV_TOKENS] {
        let mut repaired = group.to_vec();
        let mut orders = fill(model, &mut repaired, options);
        for _ in 0..MAX_CLOSING {
            if is_complete(model, &repaired) {
                return orders;
            }
            if !improve_once(
                model,
                &mut repaired,
                &mut orders,
                options,
                MIN_GAIN_WITH_GAP,
            ) {
                break;
            }
        }
        if is_complete(model, &repaired) {
            return orders;
        }
    }
    // No sequence of single moves closes the gap, and the group serves nothing: place it from
    // scratch.
    let free = group
        .iter()
        .filter(|h| matches!(h.phase, Phase::Settled | Phase::Joining));
    let mut orders = replicas(model, &free.cloned().collect::<Vec<_>>());
    let assigned = |order: &Order| {
        group
            .iter()
            .find(|h| h.server == order.server)
            .map(|h| h.assigned)
    };
    orders.retain(|order| assigned(order) != Some(order.layers));
    orders
}

/// Assigns layers to empty servers.
fn fill(model: &Model, group: &mut [Holder], options: &[f64]) -> Vec<Order> {
    let mut orders = Vec::new();
    let is_served = is_complete(model, group);
    for index in 0..group.len() {
        let holder = &group[index];
        if !holder.awaits_layers(is_served) {
            continue;
        }
        let layers = Layers::of(model, group);
        if let Some((range, _)) = best_range(model, &layers, holder.profile, options) {
            orders.push(Order::new(holder.server.clone(), range));
            group[index].assigned = range;
        }
    }
    orders
}

/// Moves servers of a group without gaps if the gain is large enough.
fn improve(model: &Model, group: &mut [Holder], orders: &mut Vec<Order>, options: &[f64]) {
    for _ in 0..MAX_MOVES {
        if !improve_once(model, group, orders, options, MIN_GAIN) {
            return;
        }
    }
}

/// Makes the move with the largest gain. Returns `false` if none reduces the cost by the share
/// `min_gain`.
fn improve_once(
    model: &Model,
    group: &mut [Holder],
    orders: &mut Vec<Order>,
    options: &[f64],
    min_gain: f64,
) -> bool {
    let is_closed = is_complete(model, group);
    let layers = Layers::of(model, group);
    let before = layers.cost();
    let may_move = |index: &usize| match group[*index].phase {
        Phase::Settled => true,
        Phase::Joining => !is_closed,
        // It would refuse the order.
        Phase::Loading | Phase::Blocked | Phase::Busy | Phase::Missing | Phase::Lapsing => false,
    };
    // Servers of one kind with the same layers make the same moves; a large group has few kinds.
    let mut kinds = BTreeSet::new();
    let is_first_of_kind = |index: &usize| {
        let holder = &group[*index];
        kinds.insert((holder.assigned, holder.profile.key()))
    };
    let movable = (0..group.len()).filter(may_move);
    let moves = movable.filter(is_first_of_kind).filter_map(|index| {
        let holder = &group[index];
        let mut others = layers.clone();
        others.add(model, holder, -1.0);
        let (range, after) = best_range(model, &others, holder.profile, options)?;
        Some((index, range, after))
    });
    let best = moves.min_by(|a, b| a.2.total_cmp(&b.2));
    let gain = best.filter(|(_, _, after)| *after < before * (1.0 - min_gain));
    let Some((index, range, _)) = gain else {
        return false;
    };
    let holder = &mut group[index];
    holder.assigned = range;
    orders.retain(|order| order.server != holder.server);
    orders.push(Order::new(holder.server.clone(), range));
    true
}

/// Returns the range with the lowest cost for a server beside `others`, and that cost.
fn best_range(
    model: &Model,
    others: &Layers,
    profile: Profile,
    options: &[f64],
) -> Option<(Range, f64)> {
    let counts = options
        .iter()
        .map(|kv_tokens| layers_beside(model, profile, *kv_tokens));
    let mut counts: Vec<u32> = counts.collect();
    counts.retain(|count| *count > 0);
    counts.dedup();
    let ranges = counts
        .into_iter()
        .filter_map(|count| others.best_range(model, profile, count));
    ranges.min_by(|a, b| a.1.total_cmp(&b.1))
}
