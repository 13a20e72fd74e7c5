//! The retry budget of a service over all entries, whoever starts, dies, or knows what.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/entries.rs"]
mod entries;

use entries::ARRIVES_AFTER;
use entries::BEGIN;
use entries::DAY;
use entries::KINDS;
use entries::LEASE;
use entries::TERMS;
use entries::play;
use jujube_core::pipeline::allowance::Allowance;
use jujube_core::pipeline::seat::Seat;
use jujube_core::pipeline::seat::Standing;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A failing service never gets more than it allows, in no window, with nothing added for good measure.
    ///
    /// All its servers fail all the time, so each entry sends every retry that it allows itself. Meanwhile
    /// entries start again, alone or all at once, are added and removed, and are cut off from the store, from
    /// one another or from both; the store goes away, with leases that run on or stand still; requests come
    /// unevenly and in bursts. What each had sent was in its memory, and each divided the slack by the number
    /// of entries that it happened to know.
    #[test]
    fn no_window_gets_more_retries_than_a_service_allows(
        loads in proptest::collection::vec(prop_oneof![Just(0.0), 0.0..6.0], 1..9),
        troubles in proptest::collection::vec(
            (0..DAY, 0..KINDS, 1_000_u64..50_000, 0_usize..9),
            0..18,
        ),
        fails_from in prop_oneof![Just(0), 0..DAY / 2],
        is_calm: bool,
        seed: u64,
    ) {
        // Requests that pay for more than is sent would hide a part that is too large.
        let loads: Vec<f64> = loads.iter().map(|load| if is_calm { 0.0 } else { *load }).collect();
        let mut day = play(&loads, &troubles, BEGIN + fails_from, seed);

        prop_assert_eq!(day.broken(), None);
    }
}

/// The retries of a calm service are there when its servers begin to fail: the whole slack, all at once.
#[test]
fn settled_entries_have_the_whole_slack_between_them() {
    let fails_from = BEGIN + 20_000;

    let mut day = play(&[0.0; 5], &[], fails_from, 1);

    let at_once = day.arrivals.iter();
    let at_once = at_once.filter(|time| **time <= fails_from + 2 * ARRIVES_AFTER);
    assert_eq!(at_once.count(), TERMS.slack as usize);
    assert_eq!(day.broken(), None);
}

/// Callers of the first entry of all have retries at once: nobody has sent any.
#[test]
fn the_first_entry_does_not_wait() {
    let mut seat = Seat::new("a", LEASE, TERMS.reach());
    seat.taken(Instant(0), Revision(1), Instant(0), true);

    seat.followed(Instant(50), Revision(1));

    assert_eq!(seat.standing(Instant(50)), Standing::Seated(1));
}

/// The first entry waits like others once another could have a part without knowing of it.
#[test]
fn the_first_entry_waits_if_it_was_long_unknown() {
    let mut seat = Seat::new("a", LEASE, TERMS.reach());
    seat.announced("b", Revision(1));
    seat.taken(Instant(0), Revision(2), Instant(0), true);
    seat.followed(Instant(50), Revision(2));
    seat.renewed(Instant(12_500));

    seat.told(Instant(12_500), "b", Revision(2));

    assert_eq!(seat.standing(Instant(12_500)), Standing::Waiting);
    seat.renewed(Instant(24_000));
    assert_eq!(seat.standing(Instant(24_500)), Standing::Seated(2));
}

/// An entry that is announced anew waits again: others may have shared the slack without it.
#[test]
fn a_lost_announcement_costs_the_seat() {
    let mut seat = Seat::new("a", LEASE, TERMS.reach());
    seat.taken(Instant(0), Revision(1), Instant(0), true);
    seat.followed(Instant(0), Revision(1));
    assert_eq!(seat.standing(Instant(1)), Standing::Seated(1));

    seat.lost();
    assert_eq!(seat.standing(Instant(2)), Standing::Unseated);
    seat.taken(Instant(500), Revision(5), Instant(500), false);
    seat.followed(Instant(500), Revision(5));

    assert_eq!(seat.standing(Instant(600)), Standing::Waiting);
    assert_eq!(seat.standing(Instant(12_500)), Standing::Seated(1));
}

/// A part is given up when the announcement is overwritten or removed, whatever the lease says.
#[test]
fn an_announcement_that_is_overtaken_is_lost() {
    let mut seat = Seat::new("a", LEASE, TERMS.reach());
    seat.taken(Instant(0), Revision(5), Instant(0), false);

    seat.announced("a", Revision(5));
    assert!(seat.is_taken(), "its own write");
    seat.removed("a", Revision(4));
    assert!(seat.is_taken(), "of an earlier announcement");
    seat.announced("a", Revision(6));

    assert!(!seat.is_taken());
}

/// A retry that was taken and not sent is there for another request.
#[test]
fn a_retry_that_is_given_back_can_be_taken_again() {
    let mut allowance = Allowance::default();
    assert!(allowance.take(Instant(5), &TERMS, 1.0));
    assert!(!allowance.take(Instant(6), &TERMS, 1.0));

    allowance.give_back(Instant(5));

    assert!(allowance.take(Instant(6), &TERMS, 1.0));
}

/// What requests pay for is the same in a calm minute and after a start: about the ratio of both.
#[test]
fn requests_pay_for_retries_without_any_slack() {
    let mut allowance = Allowance::default();
    let mut taken = 0;
    for now in (0..60_000).step_by(10) {
        allowance.request(Instant(now), &TERMS);
        taken += u64::from(allowance.take(Instant(now), &TERMS, 0.0));
    }
    let share = taken as f64 / 6_000.0;
    assert!((0.12..0.2).contains(&share), "{share}");
}
