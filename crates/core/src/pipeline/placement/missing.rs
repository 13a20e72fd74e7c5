//! Replacement of servers that lost their registrations and may be back soon.

use super::effective;
use super::groups;
use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::apply;
use super::layers::capacity;
use super::layers::served_capacity;
use super::plan_group;
use super::schedule::load_time;
use super::served_tokens;
use crate::pipeline::model::Model;

/// Servers that are missing and may be back soon are replaced if less than this share of the KV
/// capacity with them is left: the placement has room for more than twice the usual traffic.
const MIN_SERVED_SHARE: f64 = 0.1;

/// Returns orders that replace missing servers in one group, if too few requests are served without
/// them.
///
/// Takes the group that loads soonest, among those that make enough room if any does. In
/// the other groups each server stays where its layers are needed when the missing servers are
/// back.
pub(super) fn replace(model: &Model, holders: &[Holder]) -> Vec<Order> {
    let present = holders.iter().filter(|holder| !holder.is_missing());
    let present: Vec<Holder> = present.map(|holder| effective(holder, true)).collect();
    if present.len() == holders.len() {
        return Vec::new();
    }
    let required = MIN_SERVED_SHARE * tokens_with_missing(model, holders);
    if served_tokens(model, holders) >= required {
        return Vec::new();
    }
    let mut groups = groups(model, &present);
    groups.retain(|group| served_capacity(model, group) == 0.0);
    let is_under_way = |group: &Vec<Holder>| capacity(model, group) >= required;
    if groups.iter().any(is_under_way) {
        return Vec::new();
    }
    let plans = groups.iter().map(|group| {
        let orders = plan_group(model, group);
        let tokens = capacity(model, &apply(group, &orders));
        let loads = orders.iter().map(|order| order.layers.len());
        let time = load_time(loads, model.concurrent_loads as usize);
        (tokens < required, time, orders)
    });
    let plans = plans.filter(|(.., orders)| !orders.is_empty());
    let best = plans.min_by(|a, b| (a.0.cmp(&b.0)).then_with(|| a.1.total_cmp(&b.1)));
    best.map(|(.., orders)| orders).unwrap_or_default()
}

/// Returns the KV capacity when the missing servers are back, in tokens.
fn tokens_with_missing(model: &Model, holders: &[Holder]) -> f64 {
    let returned = holders.iter().cloned().map(|mut holder| {
        if holder.is_missing() {
            holder.serving = holder.assigned;
            holder.phase = Phase::Settled;
        }
        holder
    });
    served_tokens(model, &returned.collect::<Vec<_>>())
}
