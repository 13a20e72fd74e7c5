//! Where streams go when a server dies under load.
//!
//! The pattern of load: twenty entries have five streams each on one row of fast accelerators, of 760
//! prompt tokens and 200 answer tokens (the users' means). A server in the middle of the row dies, and
//! all entries move all streams within some milliseconds, before they can hear of one another's moves.
//! What counts is how long the busiest server reads: a pause of over 200 ms makes an answer late.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/pipeline.rs"]
mod pipeline;

use std::collections::BTreeMap;
use std::sync::LazyLock;

use jujube_core::name::Zone;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::chooser::Need;
use jujube_core::pipeline::chooser::View;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::load::Use;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use pipeline::carried_out;
use pipeline::engine;
use pipeline::fleet;
use pipeline::region;

static NOBODY: LazyLock<Outliers> = LazyLock::new(Outliers::default);

const ENTRIES: usize = 20;
const STREAMS: usize = 5;
const NEED: Need = Need {
    prompt: 760.0,
    answer: 200.0,
};
/// A little later than the loss.
const NOW: Instant = Instant(10);

/// What an entry chooses by when it is alone.
fn view<'a>(load: &'a Load, suspicion: &'a Suspicion, home: &'a Zone) -> View<'a> {
    View {
        now: NOW,
        load,
        suspicion,
        outliers: &NOBODY,
        avoid: &[],
        home,
        crowd: 1.0,
        draw: 0,
    }
}

/// What one entry knows of the others' streams on a path.
fn told(path: &Path) -> Vec<(Incarnation, Use)> {
    let requests = ((ENTRIES - 1) * STREAMS) as u64;
    let used = |layers: u32| Use {
        tokens: NEED.tokens() * f64::from(layers) * requests as f64,
        requests,
    };
    let parts = path.parts().iter();
    let parts = parts.map(|part| (part.server.clone(), used(part.layers.len())));
    parts.collect()
}

/// What an entry has in flight and hears of when a server of the path is lost.
fn load(path: &Path, dead: &Incarnation) -> Load {
    let mut load = Load::default();
    for _ in 0..STREAMS {
        load.open_path(path, NEED.tokens());
    }
    load.set_others(ENTRIES as u64 - 1, told(path).into_iter().collect());
    load.lost(NOW, dead);
    load
}

/// Books what a move really gives servers to read, in milliseconds.
fn add_reading(
    fleet: &Fleet,
    reading: &mut BTreeMap<Incarnation, f64>,
    path: &Path,
    old: Option<&Path>,
) {
    let parts = path.parts().iter();
    for part in parts.filter(|part| old.is_none_or(|old| !old.parts().contains(part))) {
        let node = fleet
            .nodes
            .iter()
            .find(|n| n.server == part.server)
            .unwrap();
        let engine = &fleet.engine;
        let read_ms = engine.read_ms(node.kind, part.layers.len(), NEED.prompt, 0);
        *reading.entry(part.server.clone()).or_default() += read_ms;
    }
}

/// Moves all streams of all entries; returns how long each server reads.
///
/// Without `counts_crowd` each entry chooses as if it were alone and forgets what it gave out.
fn moved(counts_crowd: bool) -> BTreeMap<Incarnation, f64> {
    let engine = engine();
    let holders = region();
    let fleet = fleet(&engine, &carried_out(&holders, &plan(&engine, &holders)));
    let home: Zone = "b".into();
    let calm = (Load::default(), Suspicion::default());
    let old = fleet.choose(NEED, &view(&calm.0, &calm.1, &home)).unwrap();
    let old = old.path;
    let dead = old.parts()[1].server.clone();
    let mut suspicion = Suspicion::default();
    suspicion.suspect(NOW, &dead);
    let mut draws = StdRng::seed_from_u64(7);
    let mut reading = BTreeMap::new();
    for _ in 0..ENTRIES {
        let mut load = load(&old, &dead);
        for _ in 0..STREAMS {
            let crowd = if counts_crowd {
                load.backlog.crowd(NOW, &old)
            } else {
                1.0
            };
            let view = View {
                crowd,
                draw: draws.random(),
                ..view(&load, &suspicion, &home)
            };
            let (path, stays) = match fleet.go_on(NEED, &view, &old, true).unwrap() {
                Continuation::Repair(choice) => (choice.path, Some(&old)),
                Continuation::Reopen(choice) => (choice.path, None),
            };
            if counts_crowd {
                fleet.book_reading(&mut load, NOW, NEED, &path, stays, crowd);
            }
            add_reading(&fleet, &mut reading, &path, stays);
        }
    }
    reading
}

fn longest(reading: &BTreeMap<Incarnation, f64>) -> f64 {
    reading.values().copied().fold(0.0, f64::max)
}

/// The callers see pauses less than half as long as when every entry chooses alone.
///
/// Alone, each finds the same stand-in cheapest, and it reads the tokens of a hundred streams one
/// after the other.
#[test]
fn streams_of_a_dead_server_are_spread() {
    let alone = longest(&moved(false));

    let spread = longest(&moved(true));

    assert!(
        spread < alone / 2.0,
        "the busiest server reads {spread:.0} ms, {alone:.0} ms when entries choose alone"
    );
}

/// A single stream keeps its first part, which has read its tokens.
#[test]
fn a_single_stream_is_repaired() {
    let engine = engine();
    let holders = region();
    let fleet = fleet(&engine, &carried_out(&holders, &plan(&engine, &holders)));
    let home: Zone = "b".into();
    let (load, mut suspicion) = (Load::default(), Suspicion::default());
    let calm = suspicion.clone();
    let old = fleet.choose(NEED, &view(&load, &calm, &home)).unwrap().path;
    let last = old.parts().last().unwrap().server.clone();
    suspicion.suspect(NOW, &last);

    let chosen = fleet.go_on(NEED, &view(&load, &suspicion, &home), &old, true);

    let Some(Continuation::Repair(choice)) = chosen else {
        panic!("{chosen:?}");
    };
    assert_eq!(choice.path.first(), old.first());
    assert!(!choice.path.passes(&last));
}

/// A new request is not sent where much is still to be read.
#[test]
fn a_backlog_turns_new_requests_away() {
    let engine = engine();
    let holders = region();
    let fleet = fleet(&engine, &carried_out(&holders, &plan(&engine, &holders)));
    let home: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let choose = |load: &Load| {
        let choice = fleet.choose(NEED, &view(load, &suspicion, &home));
        choice.unwrap().path
    };
    let calm = choose(&load);
    for part in calm.parts() {
        load.backlog.add(NOW, &part.server, 5_000.0);
    }

    let path = choose(&load);

    let passes = |part: &jujube_core::pipeline::path::Part| calm.passes(&part.server);
    assert!(!path.parts().iter().any(passes));
}

/// The best path, and the servers that are left when a part in its middle leaves.
fn without_a_part(view: &View<'_>) -> (Path, Fleet) {
    let engine = engine();
    let holders = region();
    let whole = fleet(&engine, &carried_out(&holders, &plan(&engine, &holders)));
    let path = whole.choose(NEED, view).unwrap().path;
    let leaver = path.parts()[1].server.clone();
    let staying = whole.nodes.iter().filter(|node| node.server != leaver);
    let left = Fleet::new(engine.into(), staying.cloned().collect());
    (path, left)
}

/// What streams lose when a server of a row leaves as planned.
///
/// The pattern of load: a hundred streams of all entries pass a server that drains. It serves on for two
/// seconds and is then gone; whoever is still there then is late. One server reads one stream's tokens in
/// some milliseconds, so a second is enough to move them one by one with pauses that do not show.
#[test]
fn streams_leave_a_draining_server_without_pauses_that_show() {
    const ALLOWED_MS: f64 = 200.0;
    const LOOK_MS: u64 = 25;
    let home: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let (old, left) = without_a_part(&view(&load, &suspicion, &home));
    let mut waiting = ENTRIES * STREAMS;
    let mut reads_until: BTreeMap<Incarnation, f64> = BTreeMap::new();
    let mut longest_ms: f64 = 0.0;

    for look in 0..40 {
        let now = Instant(look * LOOK_MS);
        let view = View {
            now,
            ..view(&load, &suspicion, &home)
        };
        let Some(moved) = left.leave(NEED, &view, &old, true) else {
            continue;
        };
        let (path, kept) = match &moved {
            Continuation::Repair(choice) => (&choice.path, Some(&old)),
            Continuation::Reopen(choice) => (&choice.path, None),
        };
        let mut reading = BTreeMap::new();
        add_reading(&left, &mut reading, path, kept);
        for (server, read_ms) in reading {
            let until = reads_until.entry(server).or_default();
            *until = until.max(now.0 as f64) + read_ms;
            longest_ms = longest_ms.max(*until - now.0 as f64);
        }
        left.book_reading(&mut load, now, NEED, path, kept, 1.0);
        waiting -= 1;
    }

    assert!(longest_ms < ALLOWED_MS, "{longest_ms} ms");
    assert!(
        waiting <= ENTRIES * STREAMS - 30,
        "{waiting} are still there"
    );
}

/// Nothing leaves while the servers that would have to read its tokens are busy.
#[test]
fn a_stream_stays_at_a_draining_server_while_others_are_busy() {
    let home: Zone = "b".into();
    let (mut load, suspicion) = (Load::default(), Suspicion::default());
    let (old, left) = without_a_part(&view(&load, &suspicion, &home));
    assert!(
        left.leave(NEED, &view(&load, &suspicion, &home), &old, true)
            .is_some()
    );

    for node in &left.nodes {
        load.backlog.add(NOW, &node.server, 300.0);
    }

    assert!(
        left.leave(NEED, &view(&load, &suspicion, &home), &old, true)
            .is_none()
    );
}
