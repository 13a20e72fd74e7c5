//! The fault matrix of calls that may run at most once: each fault at each step, and triples.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::collections::BTreeMap;

use jujube_core::verdict::Verdict;
use support::calls::Ending;
use support::calls::Fault;
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

/// Submits the same key to two entries concurrently and, after recovery, to a third.
fn run(faults_by_step: &[(usize, &Fault)], mutation: Mutation) -> (Vec<&'static str>, World) {
    let mut world = World::new(mutation);
    world.submit(0, 0);
    world.submit(1, 1);
    let mut faulty_steps = Vec::new();
    let mut done = 0;
    for (step, fault) in faults_by_step {
        while done < *step && world.step() {
            done += 1;
        }
        faulty_steps.push(world.next_step());
        world.inject(fault);
    }
    world.run_until_idle();
    world.recover();
    world.submit(2, 2);
    world.run_until_idle();
    world.check();
    (faulty_steps, world)
}

fn length() -> usize {
    let (_, world) = run(&[], Mutation::default());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.ran.len(), 1);
    assert_eq!(world.endings[&2], Ending::Replay);
    world.steps.len() + 4
}

/// Returns whether the retry got neither an answer nor the verdict that the call may have run.
fn is_stuck(world: &World) -> bool {
    match &world.endings[&2] {
        Ending::Refused(refusal) => refusal.verdict == Verdict::NotRun,
        Ending::EntryGone => true,
        Ending::Answer | Ending::Replay => false,
    }
}

/// Guards against calls that run twice and false `not-run` verdicts, with one fault between any two
/// events. Delayed messages arrive after their sender has timed out.
#[test]
fn every_fault_at_every_step() {
    let mut cells: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for fault in &faults() {
        for step in 0..length() {
            let (faulty_steps, world) = run(&[(step, fault)], Mutation::default());
            let violations = &world.violations;
            assert!(
                violations.is_empty(),
                "{fault:?} at step {step} {faulty_steps:?}: {violations:?}"
            );
            assert!(
                !is_stuck(&world),
                "{fault:?} at step {step} {faulty_steps:?}: {:?}",
                world.endings
            );
            *cells
                .entry((format!("{fault:?}"), faulty_steps[0]))
                .or_default() += 1;
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

/// Guards against violations that need three faults in one run.
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
                    let faults_by_step = [(start, first), (middle, second), (end, third)];
                    let (_, world) = run(&faults_by_step, Mutation::default());
                    assert!(
                        world.violations.is_empty(),
                        "{faults_by_step:?}: {:?}",
                        world.violations
                    );
                    runs += 1;
                }
            }
        }
    }
    println!("triples {runs}");
}

fn causes_violation(mutation: Mutation) -> bool {
    let faults = faults();
    let length = length_of(mutation);
    let any = |first: &Fault| {
        faults.iter().any(|second| {
            (0..length).any(|step| {
                let faults_by_step = [(step, first), (step + 2, second)];
                !run(&faults_by_step, mutation).1.violations.is_empty()
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
    assert!(causes_violation(mutation));
}

#[test]
fn incarnations_are_needed() {
    let mutation = Mutation {
        ignore_incarnation: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}

#[test]
fn claims_are_needed() {
    let mutation = Mutation {
        no_claims: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}

#[test]
fn asking_after_silence_is_needed() {
    let mutation = Mutation {
        trust_silence: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}
