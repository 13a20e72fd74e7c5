//! The fault matrix of calls that may run at most once: every fault at every step, singly and in
//! pairs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::collections::BTreeMap;

use jujube_core::verdict::Verdict;
use support::calls::Fault;
use support::calls::Last;
use support::calls::Mutation;
use support::calls::World;

fn faults() -> Vec<Fault> {
    vec![
        Fault::KillEntry(0),
        Fault::KillEntry(1),
        Fault::RestartSidecar(0),
        Fault::RestartSidecar(1),
        Fault::KillSidecar(0),
        Fault::KillSidecar(1),
        Fault::Drain(0),
        Fault::KvDown,
        Fault::Lose,
        Fault::Late,
    ]
}

/// Two entries get the same key at the same instant; the caller comes back much later to a third.
fn run(strikes: &[(usize, &Fault)], mutation: Mutation) -> (Vec<&'static str>, World) {
    let mut world = World::new(mutation);
    world.submit(0, 0);
    world.submit(1, 1);
    let mut struck = Vec::new();
    let mut done = 0;
    for (step, fault) in strikes {
        while done < *step && world.step() {
            done += 1;
        }
        struck.push(world.next_step());
        world.strike(fault);
    }
    world.settle_down();
    world.heal();
    world.submit(2, 2);
    world.settle_down();
    world.check();
    (struck, world)
}

fn length() -> usize {
    let (_, world) = run(&[], Mutation::default());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert_eq!(world.ran.len(), 1);
    assert_eq!(world.last[&2], Last::Replay);
    world.steps.len() + 4
}

/// The caller who comes back must get somewhere: an answer, or the truth that it may have run.
fn is_stuck(world: &World) -> bool {
    match &world.last[&2] {
        Last::Refused(refusal) => refusal.verdict == Verdict::NotRun,
        Last::EntryGone => true,
        Last::Answer | Last::Replay => false,
    }
}

/// The service runs once, whoever asks, however often; and "not run" is true.
///
/// The same key comes through two entries at the same instant, one fault strikes between any two
/// events, and the caller comes back a minute later through a third entry, when all is well again.
/// Late messages arrive after their sender has given up on them.
#[test]
fn every_fault_at_every_step() {
    let mut cells: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for fault in &faults() {
        for step in 0..length() {
            let (struck, world) = run(&[(step, fault)], Mutation::default());
            let broken = &world.broken;
            assert!(
                broken.is_empty(),
                "{fault:?} at step {step} {struck:?}: {broken:?}"
            );
            assert!(
                !is_stuck(&world),
                "{fault:?} at step {step} {struck:?}: {:?}",
                world.last
            );
            *cells.entry((format!("{fault:?}"), struck[0])).or_default() += 1;
        }
    }
    for ((fault, step), runs) in &cells {
        println!("{fault:<18} {step:<14} {runs}");
    }
    println!(
        "cells {} runs {}",
        cells.len(),
        cells.values().sum::<usize>()
    );
}

/// Three faults in one run, at any distance.
#[test]
fn triples_of_faults() {
    let faults = faults();
    let length = length();
    let mut runs = 0;
    for first in &faults {
        for second in &faults {
            for third in &faults {
                for start in 0..length {
                    let (middle, end) = (start + start % 4, start + 5 + start % 3);
                    let strikes = [(start, first), (middle, second), (end, third)];
                    let (_, world) = run(&strikes, Mutation::default());
                    assert!(world.broken.is_empty(), "{strikes:?}: {:?}", world.broken);
                    runs += 1;
                }
            }
        }
    }
    println!("triples {runs}");
}

fn is_broken_somewhere(mutation: Mutation) -> bool {
    let faults = faults();
    let length = length_of(mutation);
    let any = |first: &Fault| {
        faults.iter().any(|second| {
            (0..length).any(|step| {
                let strikes = [(step, first), (step + 2, second)];
                !run(&strikes, mutation).1.broken.is_empty()
            })
        })
    };
    faults.iter().any(any)
}

fn length_of(mutation: Mutation) -> usize {
    run(&[], mutation).1.steps.len() + 4
}

#[test]
fn closing_what_is_not_known_is_needed() {
    let mutation = Mutation {
        forget_to_close: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

#[test]
fn incarnations_are_needed() {
    let mutation = Mutation {
        ignore_incarnation: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

#[test]
fn claims_are_needed() {
    let mutation = Mutation {
        no_claims: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

#[test]
fn asking_after_silence_is_needed() {
    let mutation = Mutation {
        trust_silence: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}
