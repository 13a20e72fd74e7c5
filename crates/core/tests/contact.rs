//! When a store that left a call without an answer counts as away.

use jujube_core::pipeline::feed::belief::Belief;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::contact::Contact;
use jujube_core::pipeline::feed::contact::Failure;
use jujube_core::pipeline::feed::contact::Observer;
use jujube_core::pipeline::feed::contact::Step;
use jujube_core::pipeline::feed::follower;
use jujube_core::pipeline::feed::follower::AT_ONCE;
use jujube_core::pipeline::feed::follower::Follower;
use jujube_core::pipeline::feed::follower::Reason;
use jujube_core::time::Instant;
use jujube_core::time::Span;

/// The time between two calls.
const INTERVAL: u64 = 300;

fn after(failures: &[Failure]) -> (Contact, Vec<Step>) {
    let mut observer = Observer::default();
    let numbered = failures.iter().enumerate();
    let steps = numbered
        .map(|(number, failure)| observer.failed(Instant(number as u64 * INTERVAL), *failure));
    let steps = steps.collect();
    (observer.contact(), steps)
}

/// Guards against an outage that is made up from one watch that a working store ended, or refused.
#[test]
fn one_call_that_a_working_store_may_leave_unanswered_is_no_outage() {
    let (doubtful, lost) = (Contact::Doubtful, Contact::Lost);
    assert_eq!(after(&[Failure::Cut]), (doubtful, vec![Step::AskAtOnce]));
    assert_eq!(after(&[Failure::Busy]), (doubtful, vec![Step::AskLater]));
    assert_eq!(after(&[Failure::Silent]), (lost, vec![Step::Lose]));
}

/// Guards against an outage that stays unnoticed because each of its calls fails in a way that a
/// working store knows too.
#[test]
fn two_calls_in_a_row_without_an_answer_are_one_outage() {
    for first in [Failure::Cut, Failure::Busy, Failure::Silent] {
        for second in [Failure::Cut, Failure::Busy, Failure::Silent] {
            let (contact, steps) = after(&[first, second, Failure::Cut]);
            assert_eq!(contact, Contact::Lost);
            let losses = steps.iter().filter(|step| **step == Step::Lose);
            assert_eq!(losses.count(), 1, "{first:?} {second:?}");
        }
    }
}

/// Guards against a doubt that outlasts an answer: the next cut would count as an outage.
#[test]
fn an_answer_ends_a_doubt() {
    let mut observer = Observer::default();
    observer.failed(Instant(0), Failure::Cut);

    let was_lost = observer.answered();

    assert!(!was_lost);
    assert_eq!(
        observer.failed(Instant(5_000), Failure::Cut),
        Step::AskAtOnce
    );
}

/// Guards against calls without end to a store that cuts each watch at once and answers in between.
#[test]
fn store_that_cuts_every_watch_is_asked_after_pauses() {
    let mut observer = Observer::default();
    let mut at_once = 0;

    for now in (0..2_000).step_by(10) {
        let step = observer.failed(Instant(now), Failure::Cut);
        at_once += u32::from(step == Step::AskAtOnce);
        observer.answered();
    }

    assert!(at_once <= 2, "{at_once}");
}

/// Guards against removals that become known late because the call that decides waits for changes.
#[test]
fn a_doubted_store_is_asked_at_once() {
    let mut follower = Follower::new(Bounds::new(Span(3_000), Span(2_000)));
    follower.set_contact(Contact::Doubtful);

    let step = follower.step(Instant(0), None, &Belief::default());

    let (wait, reason) = (AT_ONCE, Reason::Doubt);
    assert_eq!(step, follower::Step::Read { wait, reason });
}
