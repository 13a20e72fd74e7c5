//! Replicas: groups of servers that together hold one copy of the model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::holder::Holder;
use super::holder::Order;
use super::holder::apply;
use super::holder::layers_beside;
use super::layers::capacity;
use super::repair::fill_and_improve;
use super::repair::is_complete;
use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;
use crate::pipeline::server::Incarnation;

/// KV capacity of each server of a replica, in tokens.
///
/// A replica runs as many requests as its fullest part: about 90 of the users' usual 1,000 tokens.
/// More capacity means fewer replicas, so each failure interrupts more requests, and larger, slower
/// batches: with 90 requests a token takes 2.5 times as long as with one.
pub(super) const REPLICA_KV_TOKENS: f64 = 90_000.0;
/// Minimum KV capacity of each server of a further replica, in tokens. With less, it runs so few
/// requests that the memory is of more use as KV capacity of the other replicas.
pub(super) const MIN_REPLICA_KV_TOKENS: f64 = 30_000.0;

/// The key of an accelerator's profile.
type Kind = [u64; 3];

/// Places an empty group in replicas, the fastest accelerators first.
///
/// Requests hold memory only while they run, so a replica of fast accelerators serves several times
/// the requests of a slow one with the same memory. Further replicas on the remaining servers take
/// the rest of the load and replace failed parts. Servers that do not complete a replica hold the
/// layers with the least capacity.
pub(super) fn place(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut orders = replicas(model, group);
    let placed = apply(group, &orders);
    if capacity(model, &placed) > 0.0 {
        let rest = fill_and_improve(model, &placed);
        let moved: BTreeSet<&Incarnation> = rest.iter().map(|order| &order.server).collect();
        orders.retain(|order| !moved.contains(&order.server));
        orders.extend(rest);
    }
    orders
}

/// Places the empty servers of a group whose other servers hold what [`place`] gives servers of their
/// kind; `None` if one holds anything else.
///
/// Loads start a few at a time, so a placement is planned again before it is complete, possibly by
/// another planner, and must lead to the same layers.
pub(super) fn place_rest(model: &Model, group: &[Holder]) -> Option<Vec<Order>> {
    if group.iter().any(Holder::is_missing) || group.iter().all(|h| !h.assigned.is_empty()) {
        return None;
    }
    let emptied = group.iter().map(|holder| {
        let (server, zone) = (holder.server.clone(), holder.zone.clone());
        Holder::new(server, zone, holder.profile, Range::default())
    });
    let profiles: BTreeMap<&Incarnation, Profile> = group
        .iter()
        .map(|holder| (&holder.server, holder.profile))
        .collect();
    let mut held: BTreeMap<(Kind, Range), usize> = BTreeMap::new();
    for holder in group.iter().filter(|holder| !holder.assigned.is_empty()) {
        let key = (holder.profile.key(), holder.assigned);
        *held.entry(key).or_default() += 1;
    }
    let mut left: BTreeMap<Kind, VecDeque<Range>> = BTreeMap::new();
    for order in place(model, &emptied.collect::<Vec<_>>()) {
        let kind = profiles.get(&order.server)?.key();
        match held.get_mut(&(kind, order.layers)) {
            Some(count) if *count > 0 => *count -= 1,
            _ => left.entry(kind).or_default().push_back(order.layers),
        }
    }
    if held.values().any(|count| *count > 0) {
        return None;
    }
    let is_served = is_complete(model, group);
    let mut orders = Vec::new();
    for holder in group.iter().filter(|h| h.awaits_layers(is_served)) {
        let left = left.get_mut(&holder.profile.key());
        if let Some(layers) = left.and_then(VecDeque::pop_front) {
            orders.push(Order::new(holder.server.clone(), layers));
        }
    }
    Some(orders)
}

/// Divides a group into replicas.
pub(super) fn replicas(model: &Model, group: &[Holder]) -> Vec<Order> {
    let mut left = group.to_vec();
    left.sort_by(|a, b| {
        let by_speed = a.profile.step_factor.total_cmp(&b.profile.step_factor);
        by_speed.then_with(|| a.server.cmp(&b.server))
    });
    let mut orders: Vec<Order> = Vec::new();
    while let Some(replica) =
        fastest_replica(model, &left).or_else(|| remaining_replica(model, &left, &orders))
    {
        let taken: BTreeSet<&Incarnation> = replica.iter().map(|order| &order.server).collect();
        left.retain(|holder| !taken.contains(&holder.server));
        orders.extend(replica);
    }
    orders
}

/// Makes a replica of the fewest servers, fastest first, that hold all layers with full KV
/// capacity.
fn fastest_replica(model: &Model, holders: &[Holder]) -> Option<Vec<Order>> {
    let fewest =
        (1..=holders.len()).find(|count| can_hold(model, &holders[..*count], REPLICA_KV_TOKENS))?;
    balanced_replica(model, &holders[..fewest])
}

/// Makes a replica of all remaining servers if it has enough KV capacity or is the only one.
fn remaining_replica(model: &Model, holders: &[Holder], others: &[Order]) -> Option<Vec<Order>> {
    if !others.is_empty() && !can_hold(model, holders, MIN_REPLICA_KV_TOKENS) {
        return None;
    }
    balanced_replica(model, holders)
}

/// Returns whether servers can hold all layers with KV capacity for `kv_tokens` tokens each.
fn can_hold(model: &Model, holders: &[Holder], kv_tokens: f64) -> bool {
    let layers = holders
        .iter()
        .map(|h| layers_beside(model, h.profile, kv_tokens));
    layers.sum::<u32>() >= model.layers
}

/// Makes the replica with the largest KV capacity at its most constrained server, by bisection.
fn balanced_replica(model: &Model, holders: &[Holder]) -> Option<Vec<Order>> {
    const ITERATIONS: usize = 24;
    if !can_hold(model, holders, 0.0) {
        return None;
    }
    let mut lower = 0.0;
    let mut upper = 1e9;
    for _ in 0..ITERATIONS {
        let kv_tokens = (lower + upper) / 2.0;
        if can_hold(model, holders, kv_tokens) {
            lower = kv_tokens;
        } else {
            upper = kv_tokens;
        }
    }
    replica(model, holders, lower)
}

/// Makes a replica of the first servers with KV capacity for `kv_tokens` tokens each. Returns
/// `None` if they do not hold all layers.
fn replica(model: &Model, holders: &[Holder], kv_tokens: f64) -> Option<Vec<Order>> {
    let mut start = 0;
    let mut orders = Vec::new();
    for holder in holders {
        let count = layers_beside(model, holder.profile, kv_tokens).min(model.layers - start);
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
