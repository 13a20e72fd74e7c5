//! The retry budget of a service over all entries, under restarts, failures and partitions.

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
use entries::play_for_one;
use entries::service;
use jujube_core::pipeline::budget::Budget;
use jujube_core::pipeline::reserve;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::reserve::PIECES_PER_SERVICE;
use jujube_core::pipeline::reserve::Piece;
use jujube_core::pipeline::reserve::Record;
use jujube_core::pipeline::reserve::Reserve;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A failing service never receives more retries than its policy allows, in any window and
    /// without tolerance.
    ///
    /// All its servers fail all the time, so each entry sends every retry that it may. Entries
    /// restart, join, leave, freeze and are partitioned from the store. The store becomes
    /// unavailable, with leases that expire or stand still, loses responses, applies writes late,
    /// and is restored from copies up to ten seconds old. Requests arrive unevenly and in bursts.
    /// Each entry knows only its own retries.
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
        // A high load would hide a share that is too large, because requests earn more retries than
        // are sent.
        let loads: Vec<f64> = loads.iter().map(|load| if is_calm { 0.0 } else { *load }).collect();
        let mut day = play(&loads, &troubles, BEGIN + fails_from, seed);

        prop_assert_eq!(day.broken(), None);
    }
}

/// Guards against equal shares of the slack: one entry of a hundred has all streams of a server
/// that dies, and needs the whole slack.
#[test]
fn those_who_need_the_slack_get_it() {
    let fails_from = BEGIN + 20_000;

    let mut day = play_for_one(&[0.0; 100], 3, fails_from, 1);

    let at_once = day.arrivals.iter();
    let at_once = at_once.filter(|time| **time <= fails_from + 4 * ARRIVES_AFTER);
    assert!(at_once.count() as f64 >= 0.95 * TERMS.slack);
    assert_eq!(day.broken(), None);
}

/// Few entries use the whole slack together if all need it.
#[test]
fn few_entries_have_the_whole_slack_between_them() {
    let fails_from = BEGIN + 20_000;

    let mut day = play(&[0.0; 5], &[], fails_from, 1);

    let at_once = day.arrivals.iter();
    let at_once = at_once.filter(|time| **time <= fails_from + 4 * ARRIVES_AFTER);
    assert!(at_once.count() as f64 >= 0.9 * TERMS.slack);
    assert_eq!(day.broken(), None);
}

fn holder(lease: u64) -> Reserve {
    let mut reserve = Reserve::new(LEASE, TERMS.reach());
    reserve.begun(LeaseId(lease), Instant(0));
    reserve
}

fn record(lease: u64, revision: u64) -> Record {
    Record {
        lease_id: LeaseId(lease),
        revision: Revision(revision),
    }
}

/// Guards against using a piece whose lease may expire before its retries have left every window.
#[test]
fn pieces_are_worth_nothing_once_the_lease_is_not_renewed() {
    let mut reserve = holder(1);
    reserve.took(LeaseId(1), &service(), [Piece(0)]);
    let trusted = LEASE.0 - TERMS.reach().0;

    assert!(reserve.share(Instant(trusted - 1), &service(), 64.0) > 0.0);
    assert_eq!(reserve.share(Instant(trusted), &service(), 64.0), 0.0);

    reserve.renewed(Instant(trusted - 1));
    assert!(reserve.share(Instant(trusted), &service(), 64.0) > 0.0);
}

/// Pieces expire with the lease under which they were taken, even if the response arrives later.
#[test]
fn pieces_of_an_earlier_lease_do_not_count() {
    let mut reserve = holder(1);
    reserve.took(LeaseId(1), &service(), [Piece(0)]);

    reserve.begun(LeaseId(2), Instant(100));
    reserve.took(LeaseId(1), &service(), [Piece(1)]);

    assert_eq!(reserve.held(&service()), 0);
}

/// A piece whose response was lost is used once the store reports it; a returned piece is not used.
#[test]
fn the_store_tells_which_pieces_are_held() {
    let mut reserve = holder(1);
    reserve.written(&service(), Piece(4), record(1, 10));
    reserve.written(&service(), Piece(5), record(9, 11));
    assert_eq!(reserve.held(&service()), 1);
    assert_eq!(
        reserve.free(&service()).len(),
        usize::from(PIECES_PER_SERVICE) - 2
    );

    let back = reserve.give_back(&service(), 0, 8);
    reserve.written(&service(), Piece(4), record(1, 10));

    assert_eq!(back, vec![(Piece(4), Revision(10))]);
    assert_eq!(reserve.held(&service()), 0);
    assert!(
        !reserve.free(&service()).contains(&Piece(4)),
        "its removal is under way"
    );
    reserve.removed(&service(), Piece(4), Revision(12));
    assert!(reserve.free(&service()).contains(&Piece(4)));
}

/// Guards against an outdated read of the store that removes newer pieces.
#[test]
fn an_old_read_changes_nothing() {
    let mut reserve = holder(1);
    reserve.written(&service(), Piece(4), record(1, 10));
    reserve.followed(Revision(20));

    reserve.replaced(&[((service(), Piece(4)), record(8, 3))].into(), Revision(5));

    assert_eq!(reserve.held(&service()), 1);
}

/// Idle entries leave half of the slack for those that need it, for any number of entries.
#[test]
fn what_is_held_at_rest_is_at_most_half() {
    for entries in 1..1_000 {
        let held = entries * reserve::idle_pieces(entries);
        assert!(held <= u64::from(PIECES_PER_SERVICE) / 2, "{entries}");
        assert!(reserve::max_pieces(entries) >= reserve::idle_pieces(entries));
    }
}

/// A retry that was taken and not sent is available to another request.
#[test]
fn a_retry_that_is_given_back_can_be_taken_again() {
    let mut budget = Budget::default();
    assert!(budget.take(Instant(5), &TERMS, 1.0));
    assert!(!budget.take(Instant(6), &TERMS, 1.0));

    budget.give_back(Instant(5));

    assert!(budget.take(Instant(6), &TERMS, 1.0));
}

/// Requests earn about the same ratio of retries after a start as under steady load, without any
/// slack.
#[test]
fn requests_pay_for_retries_without_any_slack() {
    let mut budget = Budget::default();
    let mut taken = 0;
    for now in (0..60_000).step_by(10) {
        budget.request(Instant(now), &TERMS);
        taken += u64::from(budget.take(Instant(now), &TERMS, 0.0));
    }
    let share = taken as f64 / 6_000.0;
    assert!((0.12..0.2).contains(&share), "{share}");
}

/// Guards against a budget that is forgotten while a retry, or a request that pays for one, still counts.
#[test]
fn a_budget_is_unused_once_nothing_counts() {
    let mut budget = Budget::default();
    assert!(budget.is_unused(Instant(0), &TERMS));
    budget.request(Instant(0), &TERMS);
    assert!(budget.take(Instant(15_000), &TERMS, 1.0));

    let until = Instant(15_000).plus(TERMS.reach());
    assert!(!budget.is_unused(until, &TERMS));
    assert!(budget.is_unused(until.plus(Span(1)), &TERMS));
}
