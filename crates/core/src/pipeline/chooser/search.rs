//! The cheapest walk over the layers that servers hold, and what a server costs a request.

use std::collections::BTreeSet;

use super::Candidate;
use super::Choice;
use super::Context;
use super::Demand;
use super::Fleet;
use super::NO_ROOM_MS;
use crate::layer::Range;
use crate::pipeline::path::MAX_PARTS;
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
    pub(super) fn search<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Candidate>,
        demand: Demand,
        context: &Context<'_>,
        old: Option<&Path>,
    ) -> Option<Choice> {
        let candidates: Vec<Priced<'a>> = candidates
            .map(|candidate| self.price(candidate, demand, context))
            .collect();
        let first = old.and_then(Path::first);
        let positions = self.positions(&candidates, first);
        let mut reached: Vec<Option<Step>> = vec![None; positions.len()];
        for to in 1..positions.len() {
            reached[to] = (0..to)
                .filter(|from| *from == 0 || reached[*from].is_some())
                .flat_map(|from| (0..candidates.len()).map(move |index| (from, index)))
                .filter(|(from, index)| {
                    let layers = Range::new(positions[*from], positions[to]);
                    let candidate = candidates[*index].candidate;
                    let is_first = |f: &Part| f.server == candidate.server && f.layers == layers;
                    candidate.held.contains(layers)
                        && (*from > 0 || first.is_none_or(is_first))
                        && !uses(&reached, *from, *index)
                })
                .map(|(from, index)| {
                    let layers = Range::new(positions[from], positions[to]);
                    step(&reached, &candidates, old, (from, index, layers), demand)
                })
                .min_by(|a, b| a.total_ms().total_cmp(&b.total_ms()));
        }
        self.trace(&candidates, &positions, &reached)
    }

    fn price<'a>(
        &self,
        candidate: &'a Candidate,
        demand: Demand,
        context: &Context<'_>,
    ) -> Priced<'a> {
        let model = &self.model;
        let layers = f64::from(model.layers.max(1));
        let used = context.load.tokens(&candidate.server);
        let is_full = context.load.refusals.holds(context.now, &candidate.server);
        let room = if is_full {
            0.0
        } else {
            candidate.kv_capacity * USABLE
        };
        let full = if room > 0.0 { used / room } else { 1.0 };
        let read_ms = demand.prompt_tokens / model.prefill_tokens_per_second.max(1.0)
            * 1e3
            * candidate.profile.prefill_factor;
        let write_ms = demand.answer_tokens * model.step_ms * candidate.profile.step_factor;
        let slowness = context.load.slowness(context.now, &candidate.server);
        let requests = context.load.requests(&candidate.server);
        let share = f64::from(candidate.held.len()) / layers;
        let usual_read_ms = model.mean_prompt_tokens / model.prefill_tokens_per_second.max(1.0)
            * 1e3
            * candidate.profile.prefill_factor;
        let reading = (requests as f64 * usual_read_ms * share / LASTS_MS).min(MOST_READING);
        let busy = model.batch_factor(requests) / (1.0 - reading);
        let crowded = busy * (1.0 + CROWDING * full.powi(4)) * slowness;
        Priced {
            candidate,
            per_layer_ms: (read_ms + write_ms) / layers * crowded,
            once_ms: context.penalty_ms(&candidate.server),
            read_layer_ms: model.prefill_ms(candidate.profile, 1, demand.prompt_tokens, requests)
                * slowness,
            wait_ms: context.load.backlog.wait_ms(context.now, &candidate.server),
            ahead: context.ahead(&candidate.zone),
            left: room - used,
        }
    }

    fn positions(&self, candidates: &[Priced<'_>], first: Option<&Part>) -> Vec<u32> {
        let ends = candidates
            .iter()
            .flat_map(|p| [p.candidate.held.start, p.candidate.held.end]);
        let mut positions: BTreeSet<u32> = ends.collect();
        positions.insert(0);
        positions.insert(self.model.layers);
        positions.extend(first.map(|part| part.layers.end));
        positions.into_iter().collect()
    }

    fn trace(
        &self,
        candidates: &[Priced<'_>],
        positions: &[u32],
        reached: &[Option<Step>],
    ) -> Option<Choice> {
        let last = (*reached.last()?)?;
        let mut parts = Vec::new();
        let mut at = positions.len() - 1;
        while at > 0 {
            let step = reached[at]?;
            let candidate = candidates[step.candidate].candidate;
            parts.push(Part {
                server: candidate.server.clone(),
                address: candidate.address,
                layers: Range::new(positions[step.from], positions[at]),
            });
            at = step.from;
        }
        parts.reverse();
        let path = Path::new(self.model.layers, parts).ok()?;
        Some(Choice {
            path,
            cost_ms: last.total_ms(),
            first_event_ms: last.wait_ms + last.read_ms,
        })
    }
}

/// A node and what its work costs this request.
struct Priced<'a> {
    candidate: &'a Candidate,
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
    candidate: usize,
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
    candidates: &[Priced<'_>],
    old: Option<&Path>,
    (from, candidate, layers): (usize, usize, Range),
    demand: Demand,
) -> Step {
    let priced = &candidates[candidate];
    let count = f64::from(layers.len());
    let stays = |part: &Part| part.server == priced.candidate.server && part.layers == layers;
    let stays = old.is_some_and(|path| path.parts().iter().any(stays));
    let mut cost_ms = priced.per_layer_ms * count;
    let (mut read_ms, mut wait_ms) = (0.0, 0.0);
    if stays {
        cost_ms *= STAYS;
    } else {
        read_ms = priced.read_layer_ms * count;
        wait_ms = priced.wait_ms + priced.ahead * read_ms;
        if demand.tokens() * count > priced.left {
            cost_ms += NO_ROOM_MS;
        }
    }
    cost_ms += priced.once_ms;
    let mut parts = 1;
    if let Some(before) = reached[from].filter(|_| from > 0) {
        let same = candidates[before.candidate].candidate.zone == priced.candidate.zone;
        let hop_ms = if same { HOP_MS } else { FAR_HOP_MS };
        cost_ms += before.cost_ms + hop_ms * demand.tokens();
        parts = before.parts + 1;
        read_ms += before.read_ms;
        wait_ms = before.wait_ms.max(wait_ms);
    }
    if parts > MAX_PARTS {
        cost_ms = f64::INFINITY;
    }
    Step {
        from,
        candidate,
        parts,
        cost_ms,
        read_ms,
        wait_ms,
    }
}

/// Tells whether the best way to a position uses a node.
fn uses(reached: &[Option<Step>], mut at: usize, candidate: usize) -> bool {
    while at > 0 {
        let Some(step) = reached[at] else {
            return false;
        };
        if step.candidate == candidate {
            return true;
        }
        at = step.from;
    }
    false
}
