//! Moves of streams away from a server that dies or drains.
//!
//! Twenty entries have five streams each on one replica and move them at the same moment, before
//! they receive reports of each other's moves.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/pipeline.rs"]
mod pipeline;

use std::collections::BTreeMap;
use std::sync::LazyLock;

use jujube_core::name::Zone;
use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::load::Usage;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use pipeline::carried_out;
use pipeline::fleet;
use pipeline::model;
use pipeline::region;

static NOBODY: LazyLock<Outliers> = LazyLock::new(Outliers::default);

const ENTRIES: usize = 20;
const STREAMS: usize = 5;
const DEMAND: Demand = Demand {
    prompt_tokens: 760.0,
    answer_tokens: 200.0,
};
const NOW: Instant = Instant(10);

fn context<'a>(load: &'a Load, suspicion: &'a Suspicion, local_zone: &'a Zone) -> Context<'a> {
    Context {
        now: NOW,
        load,
        suspicion,
        outliers: &NOBODY,
        avoid: &[],
        local_zone,
        herd_size: 1.0,
        random: 0,
    }
}

/// The load that the other entries report on a path.
fn reported(path: &Path) -> Vec<(Incarnation, Usage)> {
    let requests = ((ENTRIES - 1) * STREAMS) as u64;
    let usage = |layers: u32| Usage {
        tokens: DEMAND.tokens() * f64::from(layers) * requests as f64,
        requests,
    };
    let parts = path.parts().iter();
    let parts = parts.map(|part| (part.server.clone(), usage(part.layers.len())));
    parts.collect()
}

/// The load that an entry knows when a server of the path is lost.
fn load(path: &Path, dead: &Incarnation) -> Load {
    let mut load = Load::default();
    for _ in 0..STREAMS {
        load.start_path(path, DEMAND.tokens());
    }
    load.set_others(ENTRIES as u64 - 1, reported(path).into_iter().collect());
    load.server_lost(NOW, dead);
    load
}

/// Adds the prefill time of a move to each server's total, in milliseconds.
fn add_prefill(
    fleet: &Fleet,
    prefill: &mut BTreeMap<Incarnation, f64>,
    path: &Path,
    old: Option<&Path>,
) {
    let parts = path.parts().iter();
    for part in parts.filter(|part| old.is_none_or(|old| !old.parts().contains(part))) {
        let candidate = fleet
            .candidates
            .iter()
            .find(|n| n.server == part.server)
            .unwrap();
        let model = &fleet.model;
        let prefill_ms = model.prefill_ms(
            candidate.profile,
            part.layers.len(),
            DEMAND.prompt_tokens,
            0,
        );
        *prefill.entry(part.server.clone()).or_default() += prefill_ms;
    }
}

/// Moves all streams of all entries and returns each server's prefill time.
///
/// Without `counts_herd`, each entry ignores the other entries' moves and its own earlier ones.
fn move_all(counts_herd: bool) -> BTreeMap<Incarnation, f64> {
    let model = model();
    let holders = region();
    let fleet = fleet(&model, &carried_out(&holders, &plan(&model, &holders)));
    let local_zone: Zone = "b".into();
    let idle = (Load::default(), Suspicion::default());
    let old = fleet
        .choose(DEMAND, &context(&idle.0, &idle.1, &local_zone))
        .unwrap();
    let old = old.path;
    let dead = old.parts()[1].server.clone();
    let mut suspicion = Suspicion::default();
    suspicion.suspect(NOW, &dead);
    let mut draws = StdRng::seed_from_u64(7);
    let mut prefill = BTreeMap::new();
    for _ in 0..ENTRIES {
        let mut load = load(&old, &dead);
        for _ in 0..STREAMS {
            let herd_size = if counts_herd {
                load.backlog.herd_size(NOW, &old)
            } else {
                1.0
            };
            let context = Context {
                herd_size,
                random: draws.random(),
                ..context(&load, &suspicion, &local_zone)
            };
            let (path, kept) = match fleet.recover(DEMAND, &context, &old, true).unwrap() {
                Continuation::Repair(choice) => (choice.path, Some(&old)),
                Continuation::Reopen(choice) => (choice.path, None),
            };
            if counts_herd {
                fleet.record_prefill(&mut load, NOW, DEMAND, &path, kept, herd_size);
            }
            add_prefill(&fleet, &mut prefill, &path, kept);
        }
    }
    prefill
}

fn longest(prefill: &BTreeMap<Incarnation, f64>) -> f64 {
    prefill.values().copied().fold(0.0, f64::max)
}

/// Guards against all entries moving their streams to the same replacement, which would prefill
/// them one after the other.
#[test]
fn streams_of_a_dead_server_are_spread() {
    let alone = longest(&move_all(false));

    let spread = longest(&move_all(true));

    assert!(
        spread < alone / 2.0,
        "the busiest server prefills for {spread:.0} ms, {alone:.0} ms when entries choose alone"
    );
}

/// A single stream keeps its first part, which needs no prefill.
#[test]
fn a_single_stream_is_repaired() {
    let model = model();
    let holders = region();
    let fleet = fleet(&model, &carried_out(&holders, &plan(&model, &holders)));
    let local_zone: Zone = "b".into();
    let (load, mut suspicion) = (Load::default(), Suspicion::default());
    let unsuspecting = suspicion.clone();
    let old = fleet
        .choose(DEMAND, &context(&load, &unsuspecting, &local_zone))
        .unwrap()
        .path;
    let last = old.parts().last().unwrap().server.clone();
    suspicion.suspect(NOW, &last);

    let chosen = fleet.recover(DEMAND, &context(&load, &suspicion, &local_zone), &old, true);

    let Some(Continuation::Repair(choice)) = chosen else {
        panic!("{chosen:?}");
    };
    assert_eq!(choice.path.first(), old.first());
    assert!(!choice.path.contains(&last));
}

#[test]
fn new_requests_avoid_servers_with_a_backlog() {
    let model = model();
    let holders = region();
    let fleet = fleet(&model, &carried_out(&holders, &plan(&model, &holders)));
    let local_zone: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let choose = |load: &Load| {
        let choice = fleet.choose(DEMAND, &context(load, &suspicion, &local_zone));
        choice.unwrap().path
    };
    let before = choose(&load);
    for part in before.parts() {
        load.backlog.add(NOW, &part.server, 5_000.0);
    }

    let path = choose(&load);

    let is_busy = |part: &Part| before.contains(&part.server);
    assert!(!path.parts().iter().any(is_busy));
}

/// The best path, and the fleet without the server of its second part.
fn without_a_part(context: &Context<'_>) -> (Path, Fleet) {
    let model = model();
    let holders = region();
    let whole = fleet(&model, &carried_out(&holders, &plan(&model, &holders)));
    let path = whole.choose(DEMAND, context).unwrap().path;
    let leaver = path.parts()[1].server.clone();
    let staying = whole
        .candidates
        .iter()
        .filter(|candidate| candidate.server != leaver);
    let left = Fleet::new(model.into(), staying.cloned().collect());
    (path, left)
}

/// Guards against noticeable pauses, and against streams left behind, when a hundred streams leave
/// a draining server one by one.
#[test]
fn streams_leave_a_draining_server_without_noticeable_pauses() {
    const MAX_PAUSE_MS: f64 = 200.0;
    const INTERVAL_MS: u64 = 25;
    let local_zone: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let (old, left) = without_a_part(&context(&load, &suspicion, &local_zone));
    let mut remaining = ENTRIES * STREAMS;
    let mut busy_until: BTreeMap<Incarnation, f64> = BTreeMap::new();
    let mut longest_ms: f64 = 0.0;

    for round in 0..40 {
        let now = Instant(round * INTERVAL_MS);
        let context = Context {
            now,
            ..context(&load, &suspicion, &local_zone)
        };
        let Some(moved) = left.evacuate(DEMAND, &context, &old, true) else {
            continue;
        };
        let (path, kept) = match &moved {
            Continuation::Repair(choice) => (&choice.path, Some(&old)),
            Continuation::Reopen(choice) => (&choice.path, None),
        };
        let mut prefill = BTreeMap::new();
        add_prefill(&left, &mut prefill, path, kept);
        for (server, prefill_ms) in prefill {
            let until = busy_until.entry(server).or_default();
            *until = until.max(now.0 as f64) + prefill_ms;
            longest_ms = longest_ms.max(*until - now.0 as f64);
        }
        left.record_prefill(&mut load, now, DEMAND, path, kept, 1.0);
        remaining -= 1;
    }

    assert!(longest_ms < MAX_PAUSE_MS, "{longest_ms} ms");
    assert!(
        remaining <= ENTRIES * STREAMS - 30,
        "{remaining} streams are left"
    );
}

/// A stream does not move while the replacements are busy with prefill.
#[test]
fn a_stream_stays_at_a_draining_server_while_others_are_busy() {
    let local_zone: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let (old, left) = without_a_part(&context(&load, &suspicion, &local_zone));
    assert!(
        left.evacuate(DEMAND, &context(&load, &suspicion, &local_zone), &old, true)
            .is_some()
    );

    for candidate in &left.candidates {
        load.backlog.add(NOW, &candidate.server, 300.0);
    }

    assert!(
        left.evacuate(DEMAND, &context(&load, &suspicion, &local_zone), &old, true)
            .is_none()
    );
}
