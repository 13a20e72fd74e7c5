//! When a store that left a call without an answer counts as away.

use jujube_core::pipeline::feed::belief::Belief;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::contact::Contact;
use jujube_core::pipeline::feed::contact::Failure;
use jujube_core::pipeline::feed::follower::AT_ONCE;
use jujube_core::pipeline::feed::follower::Follower;
use jujube_core::pipeline::feed::follower::Reason;
use jujube_core::pipeline::feed::follower::Step;
use jujube_core::time::Instant;
use jujube_core::time::Span;

fn after(failures: &[Failure]) -> (Contact, usize) {
    let mut contact = Contact::default();
    let losses = failures.iter().filter(|failure| contact.failed(**failure));
    let losses = losses.count();
    (contact, losses)
}

/// Guards against an outage that is made up from one watch that a working store ended, or refused.
#[test]
fn one_call_that_a_working_store_may_leave_unanswered_is_no_outage() {
    assert_eq!(after(&[Failure::Cut]), (Contact::Doubtful, 0));
    assert_eq!(after(&[Failure::Busy]), (Contact::Doubtful, 0));
    assert_eq!(after(&[Failure::Silent]), (Contact::Lost, 1));
}

/// Guards against an outage that stays unnoticed because each of its calls fails in a way that a
/// working store knows too.
#[test]
fn two_calls_in_a_row_without_an_answer_are_one_outage() {
    for first in [Failure::Cut, Failure::Busy, Failure::Silent] {
        for second in [Failure::Cut, Failure::Busy, Failure::Silent] {
            let failures = [first, second, Failure::Cut];
            assert_eq!(after(&failures), (Contact::Lost, 1), "{failures:?}");
        }
    }
}

/// Guards against a doubt that outlasts an answer: the next cut would count as an outage.
#[test]
fn an_answer_ends_a_doubt() {
    let mut contact = Contact::default();
    contact.failed(Failure::Cut);

    let was_lost = contact.answered();

    assert!(!was_lost);
    assert!(!contact.failed(Failure::Cut));
}

/// Guards against removals that become known late because the call that decides waits for changes.
#[test]
fn a_doubted_store_is_asked_at_once() {
    let mut follower = Follower::new(Bounds::new(Span(3_000), Span(2_000)));
    follower.set_contact(Contact::Doubtful);

    let step = follower.step(Instant(0), None, &Belief::default());

    let (wait, reason) = (AT_ONCE, Reason::Doubt);
    assert_eq!(step, Step::Read { wait, reason });
}
