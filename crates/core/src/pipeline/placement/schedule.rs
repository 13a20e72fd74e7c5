//! The order in which servers load, as loads beyond some share the rate of the weights' storage.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::groups;
use super::holder::Holder;
use super::holder::Order;
use super::holder::Phase;
use super::holder::apply;
use super::layers::capacity;
use crate::layer;
use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::server::Incarnation;

/// The share of the planned KV capacity that makes a first copy large enough.
const MIN_CAPACITY_SHARE: f64 = 0.4;

/// Orders that together give each layer of a group one more holder.
struct Copy {
    /// How many holders each layer of the group has before.
    level: u32,
    /// The time to load it, in layers at full speed; longer for a first copy with little KV
    /// capacity.
    time: f64,
    orders: Vec<Order>,
}

/// Returns the planned orders to give now, so that at most `concurrent` servers load at the same
/// time.
///
/// If all orders were given at once, all loads would end late and together, and no request could be
/// served until then. The first copy of the model that a group of servers can complete soonest
/// comes first, then the first copies of other groups, then further ones. Orders that load nothing
/// are not held back. While a layer is neither held nor loaded, loads of further copies hold up
/// none of the first.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// # use jujube_core::pipeline::model::Model;
/// # use jujube_core::pipeline::model::Profile;
/// # use jujube_core::pipeline::placement::Holder;
/// # use jujube_core::pipeline::placement::plan;
/// # use jujube_core::pipeline::placement::schedule;
/// let model = Model { layers: 8, layer_mb: 100.0, ..Model::default() };
/// let profile = Profile { memory_mb: 500.0, step_factor: 1.0, prefill_factor: 1.0 };
/// let names = ["a", "b", "c", "d"];
/// let empty = names.map(|n| Holder::new(n.into(), "z".into(), profile, Range::default()));
/// let orders = plan(&model, &empty);
/// assert_eq!(orders.len(), 4);
/// assert_eq!(schedule(&model, &empty, orders, 2).len(), 2);
/// ```
#[must_use]
pub fn schedule(
    model: &Model,
    holders: &[Holder],
    orders: Vec<Order>,
    concurrent: usize,
) -> Vec<Order> {
    if orders.is_empty() || !model.is_placeable() {
        return Vec::new();
    }
    let by_server: BTreeMap<&Incarnation, &Holder> = holders
        .iter()
        .map(|holder| (&holder.server, holder))
        .collect();
    let load = |order: &Order| {
        let holder = by_server.get(&order.server);
        holder.map_or(0, |holder| layers_to_load(holder, order))
    };
    let loading: Vec<&Holder> = holders
        .iter()
        .filter(|holder| holder.is_loading())
        .collect();
    let (mut given, orders): (Vec<_>, Vec<_>) =
        orders.into_iter().partition(|order| load(order) == 0);
    let mut copies = copies(model, holders, orders, &load, concurrent);
    copies.sort_by(|a, b| (a.level.cmp(&b.level)).then_with(|| a.time.total_cmp(&b.time)));
    let mut copies = copies.into_iter();
    let mut free = concurrent.saturating_sub(loading.len());
    if !is_coming(model, holders) {
        let first = copies.next().map(|copy| copy.orders).unwrap_or_default();
        let gaps = layer::gaps(model.layers, holders.iter().map(Holder::kept));
        let closes_gap = |holder: &&&Holder| {
            let mut closed = gaps.iter().map(|gap| gap.intersection(holder.assigned));
            closed.any(|closed| !closed.is_empty())
        };
        let needed = loading.iter().filter(closes_gap);
        let urgent = first.len().min(concurrent.saturating_sub(needed.count()));
        given.extend(first.into_iter().take(urgent));
        free = free.saturating_sub(urgent);
    }
    given.extend(copies.flat_map(|copy| copy.orders).take(free));
    given
}

/// Returns how long loads take of which `concurrent` run at full speed, in layers at full speed.
pub(super) fn load_time(loads: impl Iterator<Item = u32>, concurrent: usize) -> f64 {
    let (total, longest) = loads.fold((0, 0), |(total, longest), load| {
        (total + load, load.max(longest))
    });
    (f64::from(total) / concurrent.max(1) as f64).max(f64::from(longest))
}

fn layers_to_load(holder: &Holder, order: &Order) -> u32 {
    let ordered = Holder {
        assigned: order.layers,
        ..holder.clone()
    };
    ordered.layers_to_load()
}

/// Divides orders into copies of the model, group by group, the longest loads of each first.
fn copies(
    model: &Model,
    holders: &[Holder],
    orders: Vec<Order>,
    load: &impl Fn(&Order) -> u32,
    concurrent: usize,
) -> Vec<Copy> {
    let mut copies = Vec::new();
    let groups = groups(model, holders);
    let members = groups
        .iter()
        .enumerate()
        .flat_map(|(index, group)| group.iter().map(move |holder| (&holder.server, index)));
    let group_of: BTreeMap<&Incarnation, usize> = members.collect();
    let mut by_group: BTreeMap<Option<usize>, Vec<Order>> = BTreeMap::new();
    for order in orders {
        let group = group_of.get(&order.server).copied();
        by_group.entry(group).or_default().push(order);
    }
    let group = |index: Option<usize>| index.map_or(holders, |index| groups[index].as_slice());
    let planned = by_group.iter().map(|(index, orders)| {
        let placed = apply(group(*index), orders);
        capacity(model, &placed)
    });
    let required = planned.sum::<f64>() * MIN_CAPACITY_SHARE;
    for (index, orders) in by_group {
        let group = group(index);
        let under_way = group.iter().filter(|holder| holder.is_loading());
        let under_way: Vec<u32> = under_way.map(Holder::layers_to_load).collect();
        for (level, mut orders) in by_level(model, group, orders) {
            orders.sort_by_key(|order| Reverse(load(order)));
            let loads = orders.iter().map(load).chain(under_way.iter().copied());
            let mut time = load_time(loads, concurrent);
            if level == 0 {
                let share = capacity(model, &apply(group, &orders)) / required;
                time /= share.min(1.0);
            }
            copies.push(Copy {
                level,
                time,
                orders,
            });
        }
    }
    copies
}

/// Returns orders by the least number of holders that one of their layers has.
fn by_level(model: &Model, group: &[Holder], orders: Vec<Order>) -> BTreeMap<u32, Vec<Order>> {
    let mut holders = vec![0; model.layers as usize];
    let relied_on = group.iter().filter(|holder| !holder.is_missing());
    relied_on.for_each(|holder| add(&mut holders, holder.assigned));
    let mut levels: BTreeMap<u32, Vec<Order>> = BTreeMap::new();
    for order in orders {
        let layers = order.layers.start as usize..order.layers.end as usize;
        let held = holders.get(layers).into_iter().flatten();
        let level = held.copied().min().unwrap_or_default();
        add(&mut holders, order.layers);
        levels.entry(level).or_default().push(order);
    }
    levels
}

fn add(holders: &mut [u32], layers: Range) {
    let end = layers.end.min(holders.len() as u32) as usize;
    let added = holders.get_mut(layers.start as usize..end);
    added
        .into_iter()
        .flatten()
        .for_each(|holders| *holders += 1);
}

/// Returns whether servers serve or load every layer.
fn is_coming(model: &Model, holders: &[Holder]) -> bool {
    let coming = holders.iter().map(|holder| match holder.phase {
        Phase::Loading => holder.assigned,
        _ => holder.kept(),
    });
    layer::gaps(model.layers, coming).is_empty()
}
