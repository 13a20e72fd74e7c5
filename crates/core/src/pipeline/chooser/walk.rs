//! The cheapest walk over the layers that servers hold, and what a server costs a request.

use std::collections::BTreeSet;

use super::Choice;
use super::Fleet;
use super::NO_ROOM_MS;
use super::Need;
use super::Node;
use super::View;
use crate::layer::Range;
use crate::pipeline::path::MOST_PARTS;
use crate::pipeline::path::Part;
use crate::pipeline::path::Path;

/// How long one token takes from a part to the next in the same availability zone, in
/// milliseconds; the users' figure for a link inside one.
const HOP_MS: f64 = 0.2;
/// The same between availability zones, raised far over the link's 0.75 ms: activations there go
/// through a pipe that all share and that is paid by the byte.
const FAR_HOP_MS: f64 = 20.0;
/// How much dearer a server is whose memory is all in use, beside its larger batches: the last of its
/// room is kept for requests that have no other path.
const CROWDING: f64 = 1.0;
/// How long a stream lasts, in milliseconds, as far as reading prompts is concerned: in that time a
/// server reads about one prompt for each request that it runs. Measured on calm days of the users'
/// sites (2.1 s in the mean).
const LASTS_MS: f64 = 2_000.0;
/// The most of a server's time that reading is taken to fill.
const MOST_READING: f64 = 0.8;
/// How much of a server's room is given out. A request is booked with its whole answer from the start
/// and holds half of that in the mean, so with the users' prompts and answers a tenth more fits. A
/// server that runs out refuses, or preempts the newest request and reads it again; over sixteen of the
/// users' days 0.85, 1.0, 1.1 and 1.15 were played, and 1.1 served the most in time.
const USABLE: f64 = 1.1;
/// What a part that stays in a path costs of its price as a new one: it has read the tokens so far,
/// and its memory is taken already.
const STAYS: f64 = 0.3;

impl Fleet {
    /// Finds the cheapest walk over some of the nodes.
    ///
    /// The walk keeps one best way to each position. A server may stand in a path once only, so a
    /// step that would use one again is left out; on rare occasions that misses a better walk.
    pub(super) fn walk<'a>(
        &self,
        nodes: impl Iterator<Item = &'a Node>,
        need: Need,
        view: &View<'_>,
        old: Option<&Path>,
    ) -> Option<Choice> {
        let nodes: Vec<Priced<'a>> = nodes.map(|node| self.price(node, need, view)).collect();
        let first = old.and_then(Path::first);
        let positions = self.positions(&nodes, first);
        let mut reached: Vec<Option<Step>> = vec![None; positions.len()];
        for to in 1..positions.len() {
            reached[to] = (0..to)
                .filter(|from| *from == 0 || reached[*from].is_some())
                .flat_map(|from| (0..nodes.len()).map(move |index| (from, index)))
                .filter(|(from, index)| {
                    let layers = Range::new(positions[*from], positions[to]);
                    let node = nodes[*index].node;
                    let is_first = |f: &Part| f.server == node.server && f.layers == layers;
                    node.held.contains(layers)
                        && (*from > 0 || first.is_none_or(is_first))
                        && !uses(&reached, *from, *index)
                })
                .map(|(from, index)| {
                    let layers = Range::new(positions[from], positions[to]);
                    step(&reached, &nodes, old, (from, index, layers), need)
                })
                .min_by(|a, b| a.total_ms().total_cmp(&b.total_ms()));
        }
        self.trace(&nodes, &positions, &reached)
    }

    fn price<'a>(&self, node: &'a Node, need: Need, view: &View<'_>) -> Priced<'a> {
        let engine = &self.engine;
        let layers = f64::from(engine.layers.max(1));
        let used = view.load.tokens(&node.server);
        let is_full = view.load.refusals.contains(view.now, &node.server);
        let room = if is_full { 0.0 } else { node.room * USABLE };
        let full = if room > 0.0 { used / room } else { 1.0 };
        let read_ms = need.prompt / engine.read_per_second.max(1.0) * 1e3 * node.kind.read_pace;
        let write_ms = need.answer * engine.step_ms * node.kind.pace;
        let slowness = view.load.slowness(view.now, &node.server);
        let requests = view.load.requests(&node.server);
        let share = f64::from(node.held.len()) / layers;
        let usual_read_ms =
            engine.usual_prompt / engine.read_per_second.max(1.0) * 1e3 * node.kind.read_pace;
        let reading = (requests as f64 * usual_read_ms * share / LASTS_MS).min(MOST_READING);
        let busy = engine.batch_factor(requests) / (1.0 - reading);
        let crowded = busy * (1.0 + CROWDING * full.powi(4)) * slowness;
        Priced {
            node,
            per_layer_ms: (read_ms + write_ms) / layers * crowded,
            once_ms: view.penalty_ms(&node.server),
            read_layer_ms: engine.read_ms(node.kind, 1, need.prompt, requests) * slowness,
            wait_ms: view.load.backlog.wait_ms(view.now, &node.server),
            ahead: view.ahead(&node.zone),
            left: room - used,
        }
    }

    fn positions(&self, nodes: &[Priced<'_>], first: Option<&Part>) -> Vec<u32> {
        let ends = nodes
            .iter()
            .flat_map(|p| [p.node.held.start, p.node.held.end]);
        let mut positions: BTreeSet<u32> = ends.collect();
        positions.insert(0);
        positions.insert(self.engine.layers);
        positions.extend(first.map(|part| part.layers.end));
        positions.into_iter().collect()
    }

    fn trace(
        &self,
        nodes: &[Priced<'_>],
        positions: &[u32],
        reached: &[Option<Step>],
    ) -> Option<Choice> {
        let last = (*reached.last()?)?;
        let mut parts = Vec::new();
        let mut at = positions.len() - 1;
        while at > 0 {
            let step = reached[at]?;
            let node = nodes[step.node].node;
            parts.push(Part {
                server: node.server.clone(),
                address: node.address,
                layers: Range::new(positions[step.from], positions[at]),
            });
            at = step.from;
        }
        parts.reverse();
        let path = Path::new(self.engine.layers, parts).ok()?;
        Some(Choice {
            path,
            cost_ms: last.total_ms(),
            ready_ms: last.wait_ms + last.read_ms,
        })
    }
}

/// A node and what its work costs this request.
struct Priced<'a> {
    node: &'a Node,
    per_layer_ms: f64,
    once_ms: f64,
    /// How long the request's tokens take to read, a layer.
    read_layer_ms: f64,
    /// How long the server is busy with reading what it was given before.
    wait_ms: f64,
    /// How many requests that are moved at the same moment are taken to be ahead.
    ahead: f64,
    /// Room that is left, in tokens times layers.
    left: f64,
}

/// The best way to a position: from where, by which node, at what cost.
#[derive(Clone, Copy)]
struct Step {
    from: usize,
    node: usize,
    parts: usize,
    cost_ms: f64,
    /// How long the parts that must read the request's tokens take for it.
    read_ms: f64,
    /// How long the busiest of them reads other requests first. Parts read one behind the other, in
    /// pieces, so their waits overlap.
    wait_ms: f64,
}

impl Step {
    fn total_ms(&self) -> f64 {
        self.cost_ms + self.wait_ms
    }
}

fn step(
    reached: &[Option<Step>],
    nodes: &[Priced<'_>],
    old: Option<&Path>,
    (from, node, layers): (usize, usize, Range),
    need: Need,
) -> Step {
    let priced = &nodes[node];
    let count = f64::from(layers.len());
    let stays = |part: &Part| part.server == priced.node.server && part.layers == layers;
    let stays = old.is_some_and(|path| path.parts().iter().any(stays));
    let mut cost_ms = priced.per_layer_ms * count;
    let (mut read_ms, mut wait_ms) = (0.0, 0.0);
    if stays {
        cost_ms *= STAYS;
    } else {
        read_ms = priced.read_layer_ms * count;
        wait_ms = priced.wait_ms + priced.ahead * read_ms;
        if need.tokens() * count > priced.left {
            cost_ms += NO_ROOM_MS;
        }
    }
    cost_ms += priced.once_ms;
    let mut parts = 1;
    if let Some(before) = reached[from].filter(|_| from > 0) {
        let same = nodes[before.node].node.zone == priced.node.zone;
        let hop_ms = if same { HOP_MS } else { FAR_HOP_MS };
        cost_ms += before.cost_ms + hop_ms * need.tokens();
        parts = before.parts + 1;
        read_ms += before.read_ms;
        wait_ms = before.wait_ms.max(wait_ms);
    }
    if parts > MOST_PARTS {
        cost_ms = f64::INFINITY;
    }
    Step {
        from,
        node,
        parts,
        cost_ms,
        read_ms,
        wait_ms,
    }
}

/// Tells whether the best way to a position uses a node.
fn uses(reached: &[Option<Step>], mut at: usize, node: usize) -> bool {
    while at > 0 {
        let Some(step) = reached[at] else {
            return false;
        };
        if step.node == node {
            return true;
        }
        at = step.from;
    }
    false
}
