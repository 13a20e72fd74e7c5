//! Which layers each backend server is to hold.
//!
//! The plan is a pure function of what the servers hold and have been ordered to hold. A planner
//! that knows nothing therefore goes on where the one before it stopped.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::name::Server;
use crate::name::Zone;
use crate::pipeline::engine::Engine;
use crate::pipeline::engine::Kind;

/// What a server is about.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// It holds what it was ordered to hold.
    #[default]
    Settled,
    /// It was ordered to hold other layers and loads them. Ordered elsewhere now, it would have
    /// loaded in vain for seconds.
    Loading,
    /// It joined empty a moment ago. In a release the server that it replaces says only now that
    /// it drains; given other layers at once, it would have to load twice.
    Joining,
}

/// A backend server as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its name.
    pub server: Server,
    /// Its availability zone.
    pub zone: Zone,
    /// Its accelerator.
    pub kind: Kind,
    /// The layers that it holds, or that it was last ordered to hold.
    pub held: Range,
    /// What it is about; none of it counts while a layer has no holder.
    pub phase: Phase,
}

/// An order to hold layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// To whom.
    pub server: Server,
    /// What it is to hold.
    pub layers: Range,
}

/// The room for requests, in tokens, that parts of full rows keep beside their layers.
///
/// A row carries as many requests as its fullest part: at 90,000 tokens about 90 of the users' usual
/// 1,000 tokens. With more room there are fewer rows, so each death stops more of them, and each
/// works on larger batches: at 90 requests a token takes 2.5 times as long as at one.
const FAST_ROOM: f64 = 90_000.0;
/// The least room that a part of a further row keeps. With less it carries so few requests that the
/// memory serves better as room beside the rows before.
const LEAST_ROOM: f64 = 30_000.0;
/// The most of one server's memory that weights take when it fills a gap that nobody else fills.
const GAP_SHARE: f64 = 0.97;

/// Returns the orders that bring the holders nearer to a good placement; none when it is good.
///
/// A group is an availability zone with memory for a copy of the model; zones without are put
/// together in one group.
#[must_use]
pub fn plan(engine: &Engine, holders: &[Holder]) -> Vec<Order> {
    if engine.layers == 0 {
        return Vec::new();
    }
    let mut orders = Vec::new();
    for group in groups(engine, holders) {
        if group.iter().all(|holder| holder.held.is_empty()) {
            orders.extend(rows(engine, &group));
        } else {
            orders.extend(mend(engine, &group));
        }
    }
    orders.retain(|order| is_safe(engine, holders, order));
    orders
}

/// Tells whether a server has the memory for what it is ordered to hold.
///
/// A server that is ordered to hold more crashes with all requests on it.
fn is_safe(engine: &Engine, holders: &[Holder], order: &Order) -> bool {
    let holder = holders.iter().find(|holder| holder.server == order.server);
    let fits = holder.map_or(0, |holder| engine.fits(holder.kind, GAP_SHARE));
    !order.layers.is_empty() && order.layers.end <= engine.layers && order.layers.len() <= fits
}

fn groups(engine: &Engine, holders: &[Holder]) -> Vec<Vec<Holder>> {
    let mut zones: BTreeMap<Zone, Vec<Holder>> = BTreeMap::new();
    for holder in holders {
        let zone = zones.entry(holder.zone.clone()).or_default();
        zone.push(holder.clone());
    }
    let complete = |group: &[Holder]| -> bool {
        let fits = group.iter().map(|h| engine.fits(h.kind, GAP_SHARE));
        fits.sum::<u32>() >= engine.layers
    };
    let (whole, partial): (Vec<_>, Vec<_>) = zones.into_values().partition(|g| complete(g));
    let rest: Vec<Holder> = partial.into_iter().flatten().collect();
    let mut groups = whole;
    if complete(&rest) {
        groups.push(rest);
    }
    groups
}

/// Places a group from scratch: rows, each a complete copy of the model, the fastest
/// accelerators first.
///
/// A request holds memory for as long as it runs, so a row of fast accelerators carries several
/// times the requests of a slow one with the same memory. Further rows on what is left stand in when
/// a part dies, and take what the first cannot. Servers that make no complete row any more hold the
/// layers with the fewest holders.
fn rows(engine: &Engine, group: &[Holder]) -> Vec<Order> {
    let mut orders = scratch(engine, group);
    let placed = apply(group, &orders);
    if capacity(engine, &placed) > 0.0 {
        orders.extend(mend(engine, &placed));
    }
    orders
}

/// Makes the rows of a group.
fn scratch(engine: &Engine, group: &[Holder]) -> Vec<Order> {
    let mut left = group.to_vec();
    left.sort_by(|a, b| {
        let by_pace = a.kind.pace.total_cmp(&b.kind.pace);
        by_pace.then_with(|| a.server.cmp(&b.server))
    });
    let mut orders: Vec<Order> = Vec::new();
    while let Some(row) = fast_row(engine, &left).or_else(|| last_row(engine, &left, &orders)) {
        left.retain(|holder| row.iter().all(|order| order.server != holder.server));
        orders.extend(row);
    }
    orders
}

/// Makes a row of the fewest servers, from the fastest on, that hold all layers beside their room.
fn fast_row(engine: &Engine, holders: &[Holder]) -> Option<Vec<Order>> {
    let fewest = (1..=holders.len()).find(|count| holds(engine, &holders[..*count], FAST_ROOM))?;
    widest(engine, &holders[..fewest])
}

/// Makes a row of all servers that are left, if it has room enough or there is no other row.
fn last_row(engine: &Engine, holders: &[Holder], others: &[Order]) -> Option<Vec<Order>> {
    if !others.is_empty() && !holds(engine, holders, LEAST_ROOM) {
        return None;
    }
    widest(engine, holders)
}

/// Tells whether servers hold all layers with room for `room` tokens at each.
fn holds(engine: &Engine, holders: &[Holder], room: f64) -> bool {
    let layers = holders.iter().map(|h| beside(engine, h.kind, room));
    layers.sum::<u32>() >= engine.layers
}

/// Makes the row of servers that leaves the most room at its fullest part.
fn widest(engine: &Engine, holders: &[Holder]) -> Option<Vec<Order>> {
    const HALVINGS: usize = 24;
    if !holds(engine, holders, 0.0) {
        return None;
    }
    let mut fits = 0.0;
    let mut too_much = 1e9;
    for _ in 0..HALVINGS {
        let room = (fits + too_much) / 2.0;
        if holds(engine, holders, room) {
            fits = room;
        } else {
            too_much = room;
        }
    }
    row(engine, holders, fits)
}

/// Returns how many layers a server holds beside room for `room` tokens.
fn beside(engine: &Engine, kind: Kind, room: f64) -> u32 {
    const BYTES_PER_MB: f64 = 1e6;
    let room_mb = room * engine.token_bytes / f64::from(engine.layers.max(1)) / BYTES_PER_MB;
    let layers = kind.memory_mb / (engine.layer_mb + room_mb).max(1.0);
    (layers as u32).min(engine.fits(kind, GAP_SHARE))
}

/// Makes one row of the first servers, each with room for `room` tokens; `None` when they do not
/// hold all layers.
fn row(engine: &Engine, holders: &[Holder], room: f64) -> Option<Vec<Order>> {
    let mut start = 0;
    let mut orders = Vec::new();
    for holder in holders {
        let count = beside(engine, holder.kind, room).min(engine.layers - start);
        if count == 0 {
            continue;
        }
        orders.push(Order {
            server: holder.server.clone(),
            layers: Range::new(start, start + count),
        });
        start += count;
        if start == engine.layers {
            return Some(orders);
        }
    }
    None
}

/// A server of a running group moves to other layers when that takes away this share of the group's
/// resistance. Moving takes seconds in which it carries nothing, so a small gain does not pay.
const WORTH_MOVING: f64 = 0.2;
/// The same while a layer has no holder at all: then the group carries nothing anyway, and several
/// small moves together may be what closes the gap.
const WORTH_CLOSING: f64 = 0.01;
/// The most servers of one group that move at a time: those that move carry nothing meanwhile.
const MOST_MOVES: usize = 3;
/// The same while a layer has no holder; the widest gap, of the largest accelerator's layers, takes
/// about that many of the smallest.
const MOST_CLOSING: usize = 6;
/// What a layer without any holder counts as, in tokens: little, so that the first holder of each
/// such layer is worth more than anything else.
const NOTHING: f64 = 500.0;
/// The rooms, in tokens, among which the number of a server's layers is chosen.
const ROOMS: [f64; 3] = [150_000.0, FAST_ROOM, 60_000.0];
/// The same where these leave a layer without a holder.
const NARROW_ROOMS: [f64; 3] = [60_000.0, LEAST_ROOM, 12_000.0];

/// Gives layers to the empty servers of a running group, and moves others where much is gained.
///
/// Each step is the one that lowers the group's resistance most, so the servers that still serve
/// stay where they are unless others hold their layers as well.
fn mend(engine: &Engine, group: &[Holder]) -> Vec<Order> {
    let orders = mend_with(engine, group, &ROOMS);
    if capacity(engine, &apply(group, &orders)) > 0.0 {
        return orders;
    }
    let orders = mend_with(engine, group, &NARROW_ROOMS);
    if capacity(engine, &apply(group, &orders)) > 0.0 {
        return orders;
    }
    // No single moves close the gap, and nothing is served here anyway: place all anew.
    let mut orders = scratch(engine, group);
    let held = |order: &Order| {
        group
            .iter()
            .find(|h| h.server == order.server)
            .map(|h| h.held)
    };
    orders.retain(|order| held(order) != Some(order.layers));
    orders
}

/// Returns the holders as they are once orders are carried out.
fn apply(group: &[Holder], orders: &[Order]) -> Vec<Holder> {
    let mut group = group.to_vec();
    for holder in &mut group {
        let order = orders.iter().find(|order| order.server == holder.server);
        holder.held = order.map_or(holder.held, |order| order.layers);
    }
    group
}

fn mend_with(engine: &Engine, group: &[Holder], rooms: &[f64]) -> Vec<Order> {
    let mut group = group.to_vec();
    let mut orders = Vec::new();
    let is_served = capacity(engine, &group) > 0.0;
    for index in 0..group.len() {
        let may_wait = is_served && group[index].phase == Phase::Joining;
        if group[index].held.is_empty() && !may_wait {
            let best = best_range(engine, &group, index, rooms);
            take(&mut group, &mut orders, index, best);
        }
    }
    for step in 0..MOST_CLOSING {
        let is_closed = capacity(engine, &group) > 0.0;
        if is_closed && step >= MOST_MOVES {
            break;
        }
        let share = if is_closed {
            WORTH_MOVING
        } else {
            WORTH_CLOSING
        };
        let before = resistance(engine, &group);
        let may_move = |index: &usize| !is_closed || group[*index].phase == Phase::Settled;
        let moves = (0..group.len()).filter(may_move).filter_map(|index| {
            let (layers, after) = best_range(engine, &group, index, rooms)?;
            Some((index, layers, after))
        });
        let best = moves.min_by(|a, b| a.2.total_cmp(&b.2));
        let worth = best.filter(|(_, _, after)| *after < before * (1.0 - share));
        let Some((index, layers, after)) = worth else {
            break;
        };
        take(&mut group, &mut orders, index, Some((layers, after)));
    }
    orders
}

fn take(group: &mut [Holder], orders: &mut Vec<Order>, index: usize, choice: Option<(Range, f64)>) {
    let Some((layers, _)) = choice else {
        return;
    };
    group[index].held = layers;
    let server = group[index].server.clone();
    orders.retain(|order| order.server != server);
    orders.push(Order { server, layers });
}

/// Returns the range by which one server lowers the group's resistance most, and what is left of it.
fn best_range(
    engine: &Engine,
    group: &[Holder],
    index: usize,
    rooms: &[f64],
) -> Option<(Range, f64)> {
    let holder = &group[index];
    let mut others = Layers::of(engine, group);
    others.add(engine, holder, -1.0);
    let counts = rooms.iter().map(|room| beside(engine, holder.kind, *room));
    let mut counts: Vec<u32> = counts.collect();
    counts.retain(|count| *count > 0);
    counts.dedup();
    let mut best: Option<(Range, f64)> = None;
    for count in counts {
        for start in 0..=engine.layers - count.min(engine.layers) {
            let mut moved = holder.clone();
            moved.held = Range::new(start, start + count);
            let mut layers = others.clone();
            layers.add(engine, &moved, 1.0);
            let left = layers.resistance();
            if best.is_none_or(|(_, least)| left < least) {
                best = Some((moved.held, left));
            }
        }
    }
    best
}

fn resistance(engine: &Engine, group: &[Holder]) -> f64 {
    Layers::of(engine, group).resistance()
}

/// What the holders of each layer have between them.
#[derive(Clone, Debug)]
struct Layers {
    /// Room, in tokens.
    room: Vec<f64>,
    /// Room times the pace of its holder.
    paced: Vec<f64>,
    /// The pace that a layer without a holder counts with: the slowest of all.
    slowest: f64,
}

impl Layers {
    fn of(engine: &Engine, group: &[Holder]) -> Self {
        let count = engine.layers as usize;
        let paces = engine.kinds.values().map(|kind| kind.pace);
        let mut layers = Self {
            room: vec![0.0; count],
            paced: vec![0.0; count],
            slowest: paces.fold(1.0, f64::max),
        };
        for holder in group {
            layers.add(engine, holder, 1.0);
        }
        layers
    }

    fn add(&mut self, engine: &Engine, holder: &Holder, sign: f64) {
        if holder.held.is_empty() {
            return;
        }
        let each = engine.room(holder.kind, holder.held.len()) / f64::from(holder.held.len());
        let end = holder.held.end.min(self.room.len() as u32);
        for layer in holder.held.start as usize..end as usize {
            self.room[layer] += sign * each;
            self.paced[layer] += sign * each * holder.kind.pace;
        }
    }

    /// Returns how hard it is for requests to pass: how long one takes, over how many there is room
    /// for at a time.
    ///
    /// The room that counts is that of the fullest layers; the power lets the others count a little,
    /// so that each of several moves that together close a gap shows as a gain.
    fn resistance(&self) -> f64 {
        let mut pace = 0.0;
        let mut tightness = 0.0;
        for (room, paced) in self.room.iter().zip(&self.paced) {
            let room = room.max(0.0);
            pace += (paced + NOTHING * self.slowest) / (room + NOTHING);
            tightness += (room + NOTHING).recip().powi(8);
        }
        pace * tightness.powf(1.0 / 8.0)
    }
}

/// Returns the tokens that a group carries: those of its fullest layer over all holders of it.
#[must_use]
pub fn capacity(engine: &Engine, group: &[Holder]) -> f64 {
    let layers = Layers::of(engine, group);
    layers.room.into_iter().fold(f64::INFINITY, f64::min)
}
