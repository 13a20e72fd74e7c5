//! The fault matrix of model requests: each fault at each step, singly and in pairs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::collections::BTreeMap;

use support::world::Fault;
use support::world::Mutation;
use support::world::World;
use support::world::layout;

const PROMPT: [u64; 4] = [11, 12, 13, 14];
const TOKENS: usize = 4;

fn faults() -> Vec<Fault> {
    let nodes = layout().len();
    let mut faults = Vec::new();
    for node in 0..nodes {
        faults.push(Fault::Kill(node));
        faults.push(Fault::Restart(node));
        faults.push(Fault::EngineRestart(node));
        faults.push(Fault::Freeze(node));
    }
    faults.extend([
        Fault::Lose,
        Fault::Double,
        Fault::Late,
        Fault::EntryKilled,
        Fault::CallerGone,
    ]);
    faults
}

fn name(fault: &Fault) -> String {
    let text = format!("{fault:?}");
    text.split('(').next().unwrap().to_string()
}

fn world(mutation: Mutation) -> World {
    let mut world = World::new(1, false);
    world.mutation = mutation;
    world.accept(1, &PROMPT, TOKENS);
    world.accept(2, &[21, 22], 2);
    world
}

/// Returns the number of steps of a run without faults.
fn length() -> usize {
    let mut world = world(Mutation::default());
    world.finish();
    world.observer.check(true);
    assert!(
        world.observer.violations.is_empty(),
        "{:?}",
        world.observer.violations
    );
    world.steps.len()
}

/// Runs with faults at the given steps; returns the names of these steps and the violations.
fn run(faults_by_step: &[(usize, &Fault)], mutation: Mutation) -> (Vec<&'static str>, Vec<String>) {
    let mut world = world(mutation);
    let mut faulty_steps = Vec::new();
    let mut done = 0;
    for (step, fault) in faults_by_step {
        while done < *step && world.step() {
            done += 1;
        }
        faulty_steps.push(world.next_step());
        world.inject(fault);
    }
    world.finish();
    world.observer.check(true);
    (faulty_steps, world.observer.violations)
}

/// Guards against wrong or missing answers, layers that run twice and requests that are never freed,
/// with one fault between any two events. Every range of layers keeps a live server, so that every
/// answer must be complete.
#[test]
fn every_fault_at_every_step() {
    let length = length();
    let mut cells: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for fault in &faults() {
        for step in 0..length {
            let (faulty_steps, violations) = run(&[(step, fault)], Mutation::default());
            assert!(
                violations.is_empty(),
                "{fault:?} at step {step} ({faulty_steps:?}): {violations:?}"
            );
            *cells.entry((name(fault), faulty_steps[0])).or_default() += 1;
        }
    }
    print(&cells);
}

fn print(cells: &BTreeMap<(String, &str), usize>) {
    let mut total = 0;
    for ((fault, step), runs) in cells {
        println!("{fault:<14} {step:<14} {runs}");
        total += runs;
    }
    println!("cells {} runs {total}", cells.len());
}

/// Guards against a second failure at the same time as the first or during the recovery from it.
/// Of the three servers of each range, one stays alive.
#[test]
fn pairs_of_faults() {
    let length = length();
    let faults = faults();
    let runs = std::thread::scope(|scope| {
        let threads = faults.iter().enumerate().map(|(index, first)| {
            let faults = &faults;
            scope.spawn(move || pairs_with(index, first, faults, length))
        });
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum::<usize>()
    });
    println!("pairs {runs}");
}

fn pairs_with(index: usize, first: &Fault, faults: &[Fault], length: usize) -> usize {
    let mut runs = 0;
    for (other, second) in faults.iter().enumerate() {
        for start in (0..length).step_by(3) {
            let offset = (index * 7 + other * 5 + start) % 31;
            let faults_by_step = [(start, first), (start + offset, second)];
            let (_, violations) = run(&faults_by_step, Mutation::default());
            assert!(violations.is_empty(), "{faults_by_step:?}: {violations:?}");
            runs += 1;
        }
    }
    runs
}

fn causes_violation(mutation: Mutation) -> bool {
    let length = length();
    let any = |fault: &Fault| (0..length).any(|step| !run(&[(step, fault)], mutation).1.is_empty());
    faults().iter().any(any)
}

/// Checks that the matrix detects the loss of a safeguard.
#[test]
fn the_ledger_is_needed() {
    let mutation = Mutation {
        forget_ledger: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}

#[test]
fn counts_are_needed_to_resume() {
    let mutation = Mutation {
        resume_from_zero: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}

#[test]
fn positions_are_needed_at_the_entry() {
    let mutation = Mutation {
        ignore_positions: true,
        ..Mutation::default()
    };
    assert!(causes_violation(mutation));
}

/// Epochs separate recoveries, but answers don't depend on them: a late message of an older epoch is
/// for a position that is already known, or has the same values as that of the current epoch.
#[test]
fn answers_do_not_depend_on_epochs() {
    let mutation = Mutation {
        ignore_epochs: true,
        ..Mutation::default()
    };
    assert!(!causes_violation(mutation));
}
