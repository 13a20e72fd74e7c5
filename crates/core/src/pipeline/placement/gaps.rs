//! Closing a gap by the servers that can do so soonest and lose least.

use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::beside;
use crate::layer;
use crate::layer::Range;
use crate::pipeline::model::Model;

/// The most servers that close the gaps of one group; the widest gap, of the largest accelerator's layers, takes
/// about that many of the smallest.
pub(super) const MOST_CLOSING: usize = 6;
/// What it costs to add to the layers that a server holds, in requests that are held up.
const ADDING: f64 = 1.0;
/// What it costs to give up layers beside the requests that pass through them.
const MOVING: f64 = 3.0;

/// One way to close a part of a gap.
struct Choice {
    index: usize,
    layers: Range,
    /// What it costs for each layer that it closes, in requests that are held up.
    cost: f64,
    closes: u32,
}

/// Closes the gaps of a group as far as servers can that others stand in for.
///
/// A server that gives up layers carries none of them from that moment on, and has the new ones only when the
/// requests that pass have passed: seconds, in which it carries nothing. So those come first that keep what they
/// hold, then those whose layers others carry, the fewest requests first. A layer's last holder is not taken.
///
/// Each keeps `room` tokens of room beside its layers.
pub(super) fn close(model: &Model, group: &mut [Holder], room: f64) -> Vec<Order> {
    let mut orders: Vec<Order> = Vec::new();
    for _ in 0..MOST_CLOSING {
        let gaps = layer::gaps(model.layers, group.iter().map(|holder| holder.assigned));
        let is_free = |index: &usize| {
            let holder = &group[*index];
            let is_ordered = orders.iter().any(|order| order.server == holder.server);
            let is_idle = matches!(holder.phase, Phase::Settled | Phase::Joining);
            is_idle && !is_ordered && !holder.assigned.is_empty()
        };
        let free = (0..group.len()).filter(is_free);
        let choices = free.flat_map(|index| {
            let ways = gaps.iter().map(move |gap| (index, *gap));
            ways.flat_map(|(index, gap)| choices(model, group, index, gap, room))
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

/// Returns the ways in which one server can close one gap, or a part of it.
fn choices(model: &Model, group: &[Holder], index: usize, gap: Range, room: f64) -> Vec<Choice> {
    let holder = &group[index];
    let mut choices = Vec::new();
    let mut offer = |layers: Range, closes: u32, harm: f64| {
        if closes > 0 {
            choices.push(Choice {
                index,
                layers,
                cost: harm / f64::from(closes),
                closes,
            });
        }
    };
    let added = most(model, holder, room).saturating_sub(holder.assigned.len());
    let added = added.min(gap.len());
    if holder.assigned.end == gap.start {
        let layers = Range::new(holder.assigned.start, gap.start + added);
        offer(layers, added, ADDING);
    }
    if holder.assigned.start == gap.end {
        let layers = Range::new(gap.end - added, holder.assigned.end);
        offer(layers, added, ADDING);
    }
    if is_spare(model, group, index) {
        let count = beside(model, holder.profile, room).min(gap.len());
        let harm = MOVING + holder.requests as f64;
        offer(Range::new(gap.start, gap.start + count), count, harm);
        offer(Range::new(gap.end - count, gap.end), count, harm);
    }
    choices
}

/// Returns the most layers that a server holds beside room for the requests that pass through it.
fn most(model: &Model, holder: &Holder, room: f64) -> u32 {
    let usual = model.mean_prompt_tokens + model.mean_answer_tokens;
    let used = holder.requests as f64 * usual;
    beside(model, holder.profile, used.max(room))
}

/// Tells whether others carry every layer that a server carries.
fn is_spare(model: &Model, group: &[Holder], index: usize) -> bool {
    let others = group
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index);
    let carried = others.map(|(_, holder)| kept(holder));
    let own = group[index].serving;
    layer::gaps(model.layers, carried)
        .iter()
        .all(|gap| gap.end <= own.start || own.end <= gap.start)
}

/// Returns the layers that a server carries now and goes on to carry.
fn kept(holder: &Holder) -> Range {
    let start = holder.serving.start.max(holder.assigned.start);
    let end = holder.serving.end.min(holder.assigned.end);
    Range::new(start, end)
}
