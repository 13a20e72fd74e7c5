//! Which requests a process that stops may still take.

use jujube_core::pipeline::departure::Departure;
use jujube_core::pipeline::departure::Work;
use jujube_core::time::Instant;
use jujube_core::time::Span;

const EXIT: Instant = Instant(7_600);
const EXPECTED: Span = Span(200);
/// The times at which requests come, and the time that their callers give them.
const STEP: usize = 50;

fn work(due: Instant, may_repeat: bool) -> Work {
    Work {
        due,
        expected: EXPECTED,
        may_repeat,
    }
}

/// Guards against taking a request that may not be repeated and may still run at the exit, and against
/// refusing one that cannot.
#[test]
fn request_that_may_not_be_repeated_is_taken_if_it_is_given_up_before_the_last_answer() {
    let departure = Departure::at(EXIT);
    let last = departure.last_answer();

    for now in (0..EXIT.0).step_by(STEP).map(Instant) {
        for time in (STEP as u64..10_000).step_by(STEP).map(Span) {
            let due = now.plus(time);

            let is_taken = departure.allows(now, work(due, false));

            assert_eq!(is_taken, due <= last && now < last, "{now} {time}");
        }
    }
}

/// Guards against refusing requests for the time that they may take at most, though others like them
/// end soon and a caller may repeat one that does not.
#[test]
fn request_that_may_be_repeated_is_taken_until_it_is_not_expected_to_end() {
    let departure = Departure::at(EXIT);
    let last = departure.last_answer();
    let patient = work(Instant(30_000), true);

    for now in (0..EXIT.0).step_by(STEP).map(Instant) {
        let is_taken = departure.allows(now, patient);

        assert_eq!(is_taken, now.plus(EXPECTED) < last, "{now}");
    }
}

/// Guards against a time at which a request may be sent, but not shortly before.
#[test]
fn request_that_is_refused_is_refused_from_then_on() {
    let departure = Departure::at(EXIT);

    for due in (0..20_000).step_by(STEP).map(Instant) {
        for may_repeat in [false, true] {
            let mut times = (0..EXIT.0).step_by(STEP).map(Instant);
            let mut allowed = times
                .by_ref()
                .map(|now| departure.allows(now, work(due, may_repeat)));

            let refused = allowed.by_ref().position(|is_allowed| !is_allowed);

            assert!(
                refused.is_some() && allowed.all(|is_allowed| !is_allowed),
                "{due}"
            );
        }
    }
}

/// Guards against a grace that is shorter than the margin, in which nothing can be answered.
#[test]
fn process_without_a_grace_takes_nothing() {
    let departure = Departure::at(Instant(100));

    for may_repeat in [false, true] {
        assert!(!departure.allows(Instant(0), work(Instant(50), may_repeat)));
    }
}
