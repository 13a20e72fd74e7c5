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
}

/// An order to hold layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// To whom.
    pub server: Server,
    /// What it is to hold.
    pub layers: Range,
}

/// The room for requests, in tokens, that a part of the fastest row keeps beside its layers.
///
/// A row carries as many requests as its fullest part. At 90,000 tokens that is about 90 requests of
/// the users' usual 1,000 tokens; a fast row ends one within two seconds under load, so it carries
/// 45 a second: what callers of one availability zone send on a calm day, and half of another's
/// when that has no path.
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
    let empty = |holder: &Holder| Holder {
        held: Range::default(),
        ..holder.clone()
    };
    let emptied: Vec<Holder> = group.iter().map(empty).collect();
    let (_, filled) = fill(engine, &apply(&emptied, &orders));
    orders.extend(filled);
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
///
/// They stand in the order of what they hold already, so that each has few layers to load.
fn row(engine: &Engine, holders: &[Holder], room: f64) -> Option<Vec<Order>> {
    let mut start = 0;
    let mut orders = Vec::new();
    let mut holders: Vec<&Holder> = holders.iter().collect();
    holders.sort_by_key(|holder| (holder.held.is_empty(), holder.held.start));
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

/// A running group is placed anew when it would then carry this many times the requests.
///
/// Moving layers takes seconds in which the group carries less, so a small gain does not pay.
const WORTH_MOVING: f64 = 1.6;

/// Gives layers to the empty servers of a running group, or places it anew if much is to be gained.
fn mend(engine: &Engine, group: &[Holder]) -> Vec<Order> {
    let (joined, orders) = fill(engine, group);
    let anew = rows(engine, group);
    let placed = apply(group, &anew);
    if capacity(engine, &placed) <= capacity(engine, &joined) * WORTH_MOVING {
        return orders;
    }
    let held = |order: &Order| group.iter().find(|h| h.server == order.server).map(|h| h.held);
    let mut moves = anew;
    moves.retain(|order| held(order) != Some(order.layers));
    moves
}

/// Gives the empty servers the layers that the fewest hold.
fn fill(engine: &Engine, group: &[Holder]) -> (Vec<Holder>, Vec<Order>) {
    let mut group = group.to_vec();
    let mut orders = Vec::new();
    let mut empty: Vec<usize> = (0..group.len())
        .filter(|index| group[*index].held.is_empty())
        .collect();
    empty.sort_by(|a, b| {
        let memory = |index: &usize| group[*index].kind.memory_mb;
        memory(b).total_cmp(&memory(a))
    });
    for index in empty {
        let count = beside(engine, group[index].kind, LEAST_ROOM).max(1);
        let layers = neediest(&cover(engine, &group), count);
        group[index].held = layers;
        let server = group[index].server.clone();
        orders.push(Order { server, layers });
    }
    (group, orders)
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

/// Returns the tokens that a group carries: those of its fullest layer over all holders of it.
#[must_use]
pub fn capacity(engine: &Engine, group: &[Holder]) -> f64 {
    let mut room = vec![0.0; engine.layers as usize];
    for holder in group.iter().filter(|holder| !holder.held.is_empty()) {
        let each = engine.room(holder.kind, holder.held.len()) / f64::from(holder.held.len());
        for layer in holder.held.start..holder.held.end.min(engine.layers) {
            room[layer as usize] += each;
        }
    }
    room.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns how many servers hold each layer.
fn cover(engine: &Engine, group: &[Holder]) -> Vec<u32> {
    let mut cover = vec![0; engine.layers as usize];
    for holder in group {
        for layer in holder.held.start..holder.held.end.min(engine.layers) {
            cover[layer as usize] += 1;
        }
    }
    cover
}

/// Returns the `count` layers in a row that are held by the fewest.
///
/// A layer that nobody holds stops all paths, one with a single holder stops them with its death;
/// each further holder is worth a tenth of the one before.
fn neediest(cover: &[u32], count: u32) -> Range {
    let count = (count as usize).min(cover.len());
    let worth = |held: &u32| 0.1_f64.powi((*held).min(6) as i32);
    let best = (0..=cover.len() - count).max_by(|a, b| {
        let sum = |start: &usize| -> f64 { cover[*start..*start + count].iter().map(worth).sum() };
        // Of equals the first is taken.
        sum(a).total_cmp(&sum(b)).then(b.cmp(a))
    });
    let start = best.unwrap_or(0) as u32;
    Range::new(start, start + count as u32)
}
