//! The search for the cheapest path, and the cost of a server to a request.

use std::collections::BTreeSet;

use super::CLOSED_MS;
use super::Candidate;
use super::Choice;
use super::Context;
use super::Demand;
use super::Fleet;
use super::NO_CAPACITY_MS;
use crate::layer::Range;
use crate::pipeline::path::MAX_PARTS;
use crate::pipeline::path::Part;
use crate::pipeline::path::Path;

/// Network time of one token between parts in the same availability zone.
const HOP_MS: f64 = 0.2;
/// Cost of one token between parts in different availability zones. Far above the network time of
/// 0.75 ms, because all traffic shares the link and is paid by the byte.
const CROSS_ZONE_HOP_MS: f64 = 20.0;
/// Relative cost increase of a server with no free KV memory, which keeps the last of its capacity
/// for requests without another path.
const FULL_MEMORY_SURCHARGE: f64 = 1.0;
/// Mean duration of a stream, in which a server prefills about one prompt for each request that it
/// runs. Streams of the users last 2.1 s on average on calm days.
const STREAM_MS: f64 = 2_000.0;
/// Maximum share of a server's time that prefill is assumed to take.
const MAX_PREFILL_SHARE: f64 = 0.8;
/// Overcommitment of KV capacity: requests are counted with their whole answer from the start, but
/// hold half of it on average, so with the users' prompts and answers a tenth more fits. A server
/// that runs out refuses, or preempts the newest request and prefills it again.
const KV_OVERCOMMIT: f64 = 1.1;
/// Cost of a part that stays in a path relative to a new one, since it needs no prefill and its KV
/// memory is taken already.
const KEPT_PART_FACTOR: f64 = 0.3;

impl Fleet {
    /// Finds the cheapest path over some of the candidates.
    ///
    /// Keeps only the cheapest way to each position. A path may use a server once only, so steps
    /// that would repeat one are skipped, which in rare cases misses a cheaper path.
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
        let spans: Vec<(usize, usize)> = candidates
            .iter()
            .map(|priced| span(&positions, priced.candidate.held))
            .collect();
        let mut reached: Vec<Option<Step>> = vec![None; positions.len()];
        for to in 1..positions.len() {
            // Only the servers that hold the layers before the position lead to it.
            let leading: Vec<usize> = (0..candidates.len())
                .filter(|index| spans[*index].0 < to && to <= spans[*index].1)
                .collect();
            let earliest = leading.iter().map(|index| spans[*index].0).min();
            reached[to] = (earliest.unwrap_or(to)..to)
                .filter(|from| *from == 0 || reached[*from].is_some())
                .flat_map(|from| leading.iter().map(move |index| (from, *index)))
                .filter(|(from, index)| {
                    let layers = Range::new(positions[*from], positions[to]);
                    let candidate = candidates[*index].candidate;
                    let is_first = |f: &Part| f.server == candidate.server && f.layers == layers;
                    spans[*index].0 <= *from
                        && (*from > 0 || first.is_none_or(is_first))
                        && !visits(&reached, *from, *index)
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
        let is_full = context
            .load
            .refusals
            .contains(context.now, &candidate.server)
            || !context.load.rests.is_open(context.now, &candidate.server);
        let capacity = if is_full {
            0.0
        } else {
            candidate.kv_capacity * KV_OVERCOMMIT
        };
        let utilization = if capacity > 0.0 { used / capacity } else { 1.0 };
        let prefill_ms = demand.prompt_tokens / model.prefill_tokens_per_second.max(1.0)
            * 1e3
            * candidate.profile.prefill_factor;
        let decode_ms = demand.answer_tokens * model.step_ms * candidate.profile.step_factor;
        let slowness = context.load.slowness(context.now, &candidate.server);
        let requests = context.load.requests(&candidate.server);
        let share = f64::from(candidate.held.len()) / layers;
        let mean_prefill_ms = model.mean_prompt_tokens / model.prefill_tokens_per_second.max(1.0)
            * 1e3
            * candidate.profile.prefill_factor;
        let prefill_share =
            (requests as f64 * mean_prefill_ms * share / STREAM_MS).min(MAX_PREFILL_SHARE);
        let batch_factor = model.batch_factor(requests) / (1.0 - prefill_share);
        let load_factor =
            batch_factor * (1.0 + FULL_MEMORY_SURCHARGE * utilization.powi(4)) * slowness;
        Priced {
            candidate,
            per_layer_ms: (prefill_ms + decode_ms) / layers * load_factor,
            penalty_ms: context.penalty_ms(&candidate.server),
            prefill_layer_ms: model.prefill_ms(
                candidate.profile,
                1,
                demand.prompt_tokens,
                requests,
            ) * slowness,
            wait_ms: context.load.backlog.wait_ms(context.now, &candidate.server),
            herd_position: context.herd_position(&candidate.zone),
            free_kv: capacity - used,
            is_open: context.load.is_open(context.now, &candidate.server),
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
            first_event_ms: last.wait_ms + last.prefill_ms,
        })
    }
}

/// Returns the indices of the positions where a range starts and ends.
fn span(positions: &[u32], held: Range) -> (usize, usize) {
    let index = |position: u32| positions.partition_point(|before| *before < position);
    (index(held.start), index(held.end))
}

/// A candidate with its cost to the request.
struct Priced<'a> {
    candidate: &'a Candidate,
    per_layer_ms: f64,
    penalty_ms: f64,
    /// Prefill time of the request per layer.
    prefill_layer_ms: f64,
    /// Time until the server finishes its outstanding prefill work.
    wait_ms: f64,
    /// Assumed number of requests ahead that move at the same moment.
    herd_position: f64,
    /// Free KV capacity, in token-layers.
    free_kv: f64,
    /// Whether it may be sent a request now.
    is_open: bool,
}

/// The cheapest way to a position: the previous position, the candidate in between and the cost.
#[derive(Clone, Copy)]
struct Step {
    from: usize,
    candidate: usize,
    parts: usize,
    cost_ms: f64,
    /// Total prefill time of the new parts.
    prefill_ms: f64,
    /// Longest wait of a new part for other prefill work. Prefill is pipelined over the parts in
    /// chunks, so their waits overlap.
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
    let is_same = |part: &Part| part.server == priced.candidate.server && part.layers == layers;
    let is_kept = old.is_some_and(|path| path.parts().iter().any(is_same));
    let mut cost_ms = priced.per_layer_ms * count;
    let (mut prefill_ms, mut wait_ms) = (0.0, 0.0);
    if is_kept {
        cost_ms *= KEPT_PART_FACTOR;
    } else {
        prefill_ms = priced.prefill_layer_ms * count;
        wait_ms = priced.wait_ms + priced.herd_position * prefill_ms;
        // Only the first part of a path is sent the request.
        if from == 0 && !priced.is_open {
            cost_ms += CLOSED_MS;
        }
        if demand.tokens() * count > priced.free_kv {
            cost_ms += NO_CAPACITY_MS;
        }
    }
    cost_ms += priced.penalty_ms;
    let mut parts = 1;
    if let Some(before) = reached[from].filter(|_| from > 0) {
        let same = candidates[before.candidate].candidate.zone == priced.candidate.zone;
        let hop_ms = if same { HOP_MS } else { CROSS_ZONE_HOP_MS };
        cost_ms += before.cost_ms + hop_ms * demand.tokens();
        parts = before.parts + 1;
        prefill_ms += before.prefill_ms;
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
        prefill_ms,
        wait_ms,
    }
}

/// Returns whether the cheapest way to a position uses a candidate.
fn visits(reached: &[Option<Step>], mut at: usize, candidate: usize) -> bool {
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
