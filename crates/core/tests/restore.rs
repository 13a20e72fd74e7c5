//! A store that comes back from an older copy.

#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeMap;

use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::reserve::Piece;
use jujube_core::pipeline::reserve::Record;
use jujube_core::pipeline::reserve::Reserve;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::LAPSE_GRACE;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::roster::STALE_COPY_WINDOW;
use jujube_core::pipeline::server::State;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

const RISE: Instant = Instant(20_000);

fn usable(roster: &Roster) -> Vec<String> {
    let usable = roster.usable();
    usable
        .map(|server| server.incarnation.to_string())
        .collect()
}

/// A leaver would get new work: the copy is from before it said that it drains, and shows it ready.
#[test]
fn a_server_that_drains_gets_nothing_new_although_the_store_forgot_it() {
    let mut roster = Roster::default();
    roster.seen(Instant(0), server("a", State::Ready));
    roster.seen(Instant(19_000), server("a", State::Draining));

    roster.restored(RISE);
    roster.replace(RISE, vec![server("a", State::Ready)], &[]);

    assert!(usable(&roster).is_empty());
    let written = RISE.plus(STALE_COPY_WINDOW);
    roster.seen(written, server("a", State::Ready));
    assert_eq!(usable(&roster), ["a"], "what it writes later counts");
}

/// The same of one that has left: the copy still lists it.
#[test]
fn a_server_that_has_left_gets_nothing_new_although_the_store_lists_it() {
    let mut roster = Roster::default();
    roster.seen(Instant(0), server("a", State::Draining));
    roster.removed(Instant(19_000), &"a".into());

    roster.restored(RISE);
    let effects = roster.replace(RISE, vec![server("a", State::Ready)], &[]);

    assert!(effects.is_empty());
    assert!(usable(&roster).is_empty());
}

/// Servers that joined since the copy was made are missing in it; they live, and write again within two seconds.
#[test]
fn a_server_that_the_store_forgot_counts_until_it_had_time_to_write_again() {
    let mut roster = Roster::default();
    for id in ["writes", "silent"] {
        roster.seen(Instant(19_000), server(id, State::Ready));
    }

    roster.restored(RISE);
    roster.replace(RISE, Vec::new(), &[]);
    assert_eq!(usable(&roster).len(), 2);
    assert_eq!(
        roster.seen(RISE.plus(Span(900)), server("writes", State::Ready)),
        Effect::Changed
    );
    roster.expire(RISE.plus(LAPSE_GRACE));

    assert_eq!(usable(&roster), ["writes"]);
}

/// The budget of retries would be passed: the store forgot a piece and its lease, and gives it to another entry.
#[test]
fn pieces_of_an_earlier_era_are_given_up_and_new_ones_wait_until_they_matter_no_more() {
    let service = "writer".into();
    let mut reserve = Reserve::new(Span(27_000), Span(10_000));
    reserve.begun(LeaseId(7), Instant(0));
    reserve.took(LeaseId(7), &service, [Piece(3)]);
    reserve.followed(Revision(900));

    reserve.restored();

    assert_eq!(reserve.share(Instant(1_000), &service, 64.0), 0.0);
    reserve.begun(LeaseId(8), Instant(1_000));
    reserve.took(LeaseId(8), &service, [Piece(4)]);
    assert_eq!(
        reserve.share(Instant(1_000), &service, 64.0),
        0.0,
        "settling"
    );
    reserve.set_settling(false);
    assert_eq!(reserve.share(Instant(1_000), &service, 64.0), 2.0);
}

/// Lists of the store would be ignored for good: their revisions are smaller than those known before.
#[test]
fn a_list_of_a_later_era_counts_although_its_revision_is_smaller() {
    let service = "writer".into();
    let mut reserve = Reserve::new(Span(27_000), Span(10_000));
    reserve.followed(Revision(900));
    let record = Record {
        tenure: LeaseId(5),
        revision: Revision(40),
    };
    let listed = BTreeMap::from([((service, Piece(3)), record)]);

    reserve.restored();
    reserve.replaced(&listed, Revision(50));

    assert!(!reserve.free(&"writer".into()).contains(&Piece(3)));
}
