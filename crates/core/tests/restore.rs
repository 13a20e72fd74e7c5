//! A store that is restored from an older copy.

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

const RESTORED_AT: Instant = Instant(20_000);

fn usable(roster: &Roster) -> Vec<String> {
    let usable = roster.usable();
    usable
        .map(|server| server.incarnation.to_string())
        .collect()
}

/// Guards against new work for a draining server that the copy lists as ready.
#[test]
fn a_server_that_drains_gets_nothing_new_although_the_store_forgot_it() {
    let mut roster = Roster::default();
    roster.registered(Instant(0), server("a", State::Ready));
    roster.registered(Instant(19_000), server("a", State::Draining));

    roster.restored(RESTORED_AT);
    roster.replace(RESTORED_AT, vec![server("a", State::Ready)], &[]);

    assert!(usable(&roster).is_empty());
    let written = RESTORED_AT.plus(STALE_COPY_WINDOW);
    roster.registered(written, server("a", State::Ready));
    assert_eq!(usable(&roster), ["a"], "what it writes later counts");
}

/// Guards against new work for a departed server that the copy still lists.
#[test]
fn a_server_that_has_left_gets_nothing_new_although_the_store_lists_it() {
    let mut roster = Roster::default();
    roster.registered(Instant(0), server("a", State::Draining));
    roster.removed(Instant(19_000), &"a".into());

    roster.restored(RESTORED_AT);
    let effects = roster.replace(RESTORED_AT, vec![server("a", State::Ready)], &[]);

    assert!(effects.is_empty());
    assert!(usable(&roster).is_empty());
}

/// Servers that joined after the copy was made are missing from it; live ones register again within
/// two seconds.
#[test]
fn a_server_that_the_store_forgot_counts_until_it_had_time_to_write_again() {
    let mut roster = Roster::default();
    for id in ["writes", "silent"] {
        roster.registered(Instant(19_000), server(id, State::Ready));
    }

    roster.restored(RESTORED_AT);
    roster.replace(RESTORED_AT, Vec::new(), &[]);
    assert_eq!(usable(&roster).len(), 2);
    assert_eq!(
        roster.registered(RESTORED_AT.plus(Span(900)), server("writes", State::Ready)),
        Effect::Changed
    );
    roster.expire(RESTORED_AT.plus(LAPSE_GRACE));

    assert_eq!(usable(&roster), ["writes"]);
}

/// Guards against exceeding the retry budget: the store has lost a piece and its lease, and grants
/// the piece to another entry.
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

/// Guards against ignoring all lists of a restored store, whose revisions are smaller than the
/// known ones.
#[test]
fn a_list_of_a_later_era_counts_although_its_revision_is_smaller() {
    let service = "writer".into();
    let mut reserve = Reserve::new(Span(27_000), Span(10_000));
    reserve.followed(Revision(900));
    let record = Record {
        lease_id: LeaseId(5),
        revision: Revision(40),
    };
    let listed = BTreeMap::from([((service, Piece(3)), record)]);

    reserve.restored();
    reserve.replaced(&listed, Revision(50));

    assert!(!reserve.free(&"writer".into()).contains(&Piece(3)));
}
