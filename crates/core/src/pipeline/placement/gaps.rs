//! Closing gaps with the servers that can do so soonest and with the least disruption.

use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::layers_beside;
use crate::layer;
use crate::layer::Range;
use crate::pipeline::model::Model;

/// Maximum number of servers that close the gaps of a group. About as many of the smallest
/// accelerators hold the layers of the largest one.
pub(super) const MAX_CLOSING: usize = 6;
/// Cost of adding layers to those that a server holds, in delayed requests.
const ADD_COST: f64 = 1.0;
/// Cost of releasing layers besides the requests in flight on them, in delayed requests.
const RELEASE_COST: f64 = 3.0;

/// A way to close a gap or a part of it.
struct Choice {
    index: usize,
    layers: Range,
    /// Delayed requests per layer closed.
    cost: f64,
    closes: u32,
}

/// Closes the gaps of a group as far as possible without opening others.
///
/// A server that releases layers serves nothing until its requests end and the new layers are
/// loaded. Servers that keep their layers therefore come first, then those whose layers others
/// serve, by the number of their requests. The last holder of a layer does not move.
///
/// Each server keeps KV capacity for `kv_tokens` tokens.
pub(super) fn close(model: &Model, group: &mut [Holder], kv_tokens: f64) -> Vec<Order> {
    let mut orders: Vec<Order> = Vec::new();
    for _ in 0..MAX_CLOSING {
        let gaps = layer::gaps(model.layers, group.iter().map(|holder| holder.assigned));
        if gaps.is_empty() {
            break;
        }
        let holders = holders_of_layers(model, group);
        let is_free = |index: &usize| {
            let holder = &group[*index];
            let is_ordered = orders.iter().any(|order| order.server == holder.server);
            let is_idle = matches!(holder.phase, Phase::Settled | Phase::Joining);
            is_idle && !is_ordered && !holder.assigned.is_empty()
        };
        let free = (0..group.len()).filter(is_free);
        let choices = free.flat_map(|index| {
            let ways = gaps.iter().map(move |gap| (index, *gap));
            let holders = &holders;
            ways.flat_map(|(index, gap)| {
                choices(model, &group[index], index, holders, gap, kv_tokens)
            })
        });
        let best = choices.min_by(|a, b| {
            let by_cost = a.cost.total_cmp(&b.cost);
            by_cost.then_with(|| b.closes.cmp(&a.closes))
        });
        let Some(best) = best else {
            break;
        };
        let holder = &mut group[best.index];
        holder.assigned = best.layers;
        orders.push(Order::new(holder.server.clone(), best.layers));
    }
    orders
}

/// Returns the ways in which a server can close a gap or a part of it.
fn choices(
    model: &Model,
    holder: &Holder,
    index: usize,
    holders: &[u32],
    gap: Range,
    kv_tokens: f64,
) -> Vec<Choice> {
    let mut choices = Vec::new();
    let mut offer = |layers: Range, closes: u32, delayed: f64| {
        if closes > 0 {
            choices.push(Choice {
                index,
                layers,
                cost: delayed / f64::from(closes),
                closes,
            });
        }
    };
    let added = max_layers(model, holder, kv_tokens).saturating_sub(holder.assigned.len());
    let added = added.min(gap.len());
    if holder.assigned.end == gap.start {
        let layers = Range::new(holder.assigned.start, gap.start + added);
        offer(layers, added, ADD_COST);
    }
    if holder.assigned.start == gap.end {
        let layers = Range::new(gap.end - added, holder.assigned.end);
        offer(layers, added, ADD_COST);
    }
    if is_redundant(holder, holders) {
        let count = layers_beside(model, holder.profile, kv_tokens).min(gap.len());
        let delayed = RELEASE_COST + holder.requests as f64;
        offer(Range::new(gap.start, gap.start + count), count, delayed);
        offer(Range::new(gap.end - count, gap.end), count, delayed);
    }
    choices
}

/// Returns the maximum number of layers that a server can hold beside its requests in flight.
fn max_layers(model: &Model, holder: &Holder, kv_tokens: f64) -> u32 {
    let per_request = model.mean_prompt_tokens + model.mean_answer_tokens;
    let used = holder.requests as f64 * per_request;
    layers_beside(model, holder.profile, used.max(kv_tokens))
}

/// Returns the number of servers that serve each layer and keep it.
fn holders_of_layers(model: &Model, group: &[Holder]) -> Vec<u32> {
    let mut holders = vec![0; model.layers as usize];
    for range in group.iter().map(Holder::kept) {
        let end = range.end.min(model.layers) as usize;
        let kept = holders.get_mut(range.start as usize..end);
        kept.into_iter().flatten().for_each(|count| *count += 1);
    }
    holders
}

/// Returns whether others serve every layer that a server serves.
fn is_redundant(holder: &Holder, holders: &[u32]) -> bool {
    let (own, kept) = (holder.serving, holder.kept());
    let mut layers = own.start..own.end.min(holders.len() as u32);
    layers.all(|layer| {
        let is_kept = kept.start <= layer && layer < kept.end;
        holders[layer as usize] > u32::from(is_kept)
    })
}
