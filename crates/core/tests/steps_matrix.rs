//! The fault matrix of model requests: every fault at every step, singly and in pairs.

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

/// How many steps a run without faults takes.
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

/// Runs with faults at given steps; returns the names of the steps that were struck.
fn run(strikes: &[(usize, &Fault)], mutation: Mutation) -> (Vec<&'static str>, Vec<String>) {
    let mut world = world(mutation);
    let mut struck = Vec::new();
    let mut done = 0;
    for (step, fault) in strikes {
        while done < *step && world.step() {
            done += 1;
        }
        struck.push(world.next_step());
        world.strike(fault);
    }
    world.finish();
    world.observer.check(true);
    (struck, world.observer.violations)
}

/// Each caller sees its own whole answer, or is gone itself.
///
/// One fault strikes between any two events of two requests that run at once. Three backend servers
/// hold each range of layers, so that a path is always left and a failure is never excused. The
/// observer compares tokens with the naive version, counts which engine ran which layer at which
/// position, and looks for requests that nobody freed.
#[test]
fn every_fault_at_every_step() {
    let length = length();
    let mut cells: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for fault in &faults() {
        for step in 0..length {
            let (struck, broken) = run(&[(step, fault)], Mutation::default());
            assert!(
                broken.is_empty(),
                "{fault:?} at step {step} ({struck:?}): {broken:?}"
            );
            *cells.entry((name(fault), struck[0])).or_default() += 1;
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

/// Two faults in one run: two deaths at once, and a death during a recovery, are ordinary.
///
/// The second fault strikes from none to some thirty steps after the first, in the midst of the
/// recovery. Two of three backend servers of a range may be gone then; one is left.
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
            let strikes = [(start, first), (start + offset, second)];
            let (_, broken) = run(&strikes, Mutation::default());
            assert!(broken.is_empty(), "{strikes:?}: {broken:?}");
            runs += 1;
        }
    }
    runs
}

fn is_broken_somewhere(mutation: Mutation) -> bool {
    let length = length();
    let any = |fault: &Fault| (0..length).any(|step| !run(&[(step, fault)], mutation).1.is_empty());
    faults().iter().any(any)
}

/// With a guard off, a cell goes red: the matrix would notice its loss.
#[test]
fn the_ledger_is_needed() {
    let mutation = Mutation {
        forget_ledger: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

#[test]
fn counts_are_needed_to_resume() {
    let mutation = Mutation {
        resume_from_zero: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

#[test]
fn positions_are_needed_at_the_entry() {
    let mutation = Mutation {
        ignore_positions: true,
        ..Mutation::default()
    };
    assert!(is_broken_somewhere(mutation));
}

/// Epochs keep recoveries apart, and no answer depends on them.
///
/// Every token goes back through the entry before it is an input, and every stage counts positions:
/// a late frame or token of an older epoch is at a position that has been taken, or carries what its
/// successor would. Engines that draw different tokens for the same position change nothing in that.
#[test]
fn answers_do_not_depend_on_epochs() {
    let mutation = Mutation {
        ignore_epochs: true,
        ..Mutation::default()
    };
    assert!(!is_broken_somewhere(mutation));
}
