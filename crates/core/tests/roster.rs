//! Registered backend servers through outages of the registry.

#[path = "support/registry.rs"]
mod registry;

use jujube_core::layer::Range;
use jujube_core::pipeline::outage::Observation;
use jujube_core::pipeline::outage::is_global;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::LAPSE_GRACE;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::State;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

fn with(names: &[&str]) -> Roster {
    let mut roster = Roster::default();
    for name in names {
        roster.registered(Instant(0), server(*name, State::Ready));
    }
    roster
}

fn usable(roster: &Roster) -> Vec<String> {
    roster
        .usable()
        .map(|server| server.incarnation.to_string())
        .collect()
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut roster = with(&["a", "b"]);

    let effect = roster.registered(Instant(0), server("a", State::Draining));

    assert_eq!(effect, Effect::Draining);
    assert_eq!(usable(&roster), ["b"]);
}

#[test]
fn a_removed_server_is_gone_at_once() {
    let mut roster = with(&["a"]);

    assert_eq!(roster.removed(Instant(0), &"a".into()), Effect::Gone);
    assert!(usable(&roster).is_empty());
}

/// Returns a server at the address of another one.
fn server_at_address_of(other: &str, name: &str) -> Server {
    Server {
        address: server(other, State::Ready).address,
        ..server(name, State::Ready)
    }
}

/// Guards against a dead server that counts as alive because another one answers at its address.
#[test]
fn a_server_whose_address_another_one_has_is_gone() {
    let mut roster = with(&["dead", "other"]);
    let returned = server_at_address_of("dead", "returned");

    roster.registered(Instant(0), returned.clone());

    assert_eq!(usable(&roster), ["other", "returned"]);
    assert_eq!(roster.take_replaced(), ["dead".into()]);
    let listed = vec![server("dead", State::Ready), returned];
    roster.replace(Instant(500), listed, &[]);
    assert_eq!(
        usable(&roster),
        ["returned"],
        "it is listed until it expires"
    );
}

/// Guards against a live server that is taken for dead by a registration of another writer at its
/// address, for a service that nobody knows.
#[test]
fn a_registration_for_an_unknown_service_displaces_no_server() {
    let mut roster = with(&["live"]);

    roster.registered_for_unknown_service(Instant(0), server_at_address_of("live", "foreign"));

    assert!(usable(&roster).contains(&"live".into()));
    assert!(roster.take_replaced().is_empty());
}

/// Guards against a live server that is taken for dead by a registration that the store restored.
#[test]
fn a_restored_registration_displaces_no_server() {
    let mut roster = with(&["live"]);

    roster.restored(Instant(0));
    roster.registered(Instant(100), server_at_address_of("live", "departed"));

    assert!(usable(&roster).contains(&"live".into()));
}

/// Guards against waiting for a server that lost its registration and whose address another one has.
#[test]
fn a_missing_server_whose_address_another_one_has_is_not_expected_back() {
    let mut roster = with(&[]);
    let holding = Server {
        held: Range::new(0, 8),
        ..server("dead", State::Ready)
    };
    roster.registered(Instant(0), holding);
    roster.removed(Instant(100), &"dead".into());
    assert_eq!(roster.missing.servers().count(), 1);

    roster.registered(Instant(200), server_at_address_of("dead", "returned"));

    assert_eq!(roster.missing.servers().count(), 0);
}

/// Guards against refused requests after an outage of the store, in which all registrations expire.
/// Live servers register again within two seconds; until then they count.
#[test]
fn registrations_that_lapsed_in_an_outage_count_a_little_longer() {
    let mut roster = with(&["a", "b"]);
    roster.store_lost();
    roster.store_returned(Instant(9_000));

    let effects = roster.replace(Instant(9_000), Vec::new(), &[]);

    assert!(effects.iter().all(|(_, effect)| *effect == Effect::Lapsed));
    assert_eq!(usable(&roster), ["a", "b"]);
}

#[test]
fn who_does_not_come_back_after_an_outage_is_gone() {
    let mut roster = with(&["a", "b"]);
    roster.store_lost();
    roster.store_returned(Instant(9_000));
    roster.replace(Instant(9_000), Vec::new(), &[]);
    roster.registered(Instant(0), server("b", State::Ready));

    let gone = roster.expire(Instant(9_000).plus(LAPSE_GRACE));

    assert_eq!(gone, vec!["a".into()]);
    assert_eq!(usable(&roster), ["b"]);
}

/// Guards against new work for a draining server during an outage of the store.
#[test]
fn a_server_known_to_drain_does_not_lapse() {
    let mut roster = with(&["a"]);
    roster.registered(Instant(0), server("a", State::Draining));
    roster.store_lost();

    assert_eq!(roster.removed(Instant(5), &"a".into()), Effect::Gone);
}

#[test]
fn a_removal_long_after_an_outage_is_believed() {
    let mut roster = with(&["a"]);
    roster.store_lost();
    roster.store_returned(Instant(0));

    assert_eq!(roster.removed(Instant(60_000), &"a".into()), Effect::Gone);
}

#[test]
fn heartbeats_that_say_nothing_new_have_no_effect() {
    let mut roster = with(&["a"]);

    assert_eq!(
        roster.registered(Instant(0), server("a", State::Ready)),
        Effect::None
    );
}

/// Guards against routing by outdated layers while the store is unavailable; after its return, the
/// registration takes precedence again.
#[test]
fn what_a_server_says_counts_only_while_the_store_is_away() {
    let mut roster = with(&["a"]);
    let moved = Range::new(4, 8);
    let while_it_answers = roster.reported(Instant(0), &"a".into(), moved);
    assert_eq!(while_it_answers, Effect::None, "the store tells");

    roster.store_lost();
    let effect = roster.reported(Instant(0), &"a".into(), moved);

    assert_eq!(effect, Effect::Changed);
    assert_eq!(
        roster.get(&"a".into()).map(|server| server.held),
        Some(moved)
    );
    let again = roster.reported(Instant(0), &"a".into(), moved);
    assert_eq!(again, Effect::None, "it is known");
    roster.store_returned(Instant(9_000));
    roster.registered(Instant(0), server("a", State::Ready));
    assert_eq!(
        roster.get(&"a".into()).map(|server| server.held),
        Some(Range::default())
    );
}

/// Guards against two active planners. The store may answer a single entry, which may become
/// planner, and silent entries may be on the store's side of a partition.
#[test]
fn an_outage_is_for_all_only_while_nobody_is_served() {
    let all = Observation {
        peers: 5,
        reachable: 5,
        with_store: 0,
    };
    let one_served = Observation {
        with_store: 1,
        ..all
    };
    let most_silent = Observation {
        reachable: 2,
        ..all
    };

    assert!(is_global(all));
    assert!(!is_global(one_served));
    assert!(!is_global(most_silent));
    assert!(is_global(Observation::default()), "an entry that is alone");
}

/// Guards against a new planner that treats servers as newly joined. The age counts from when a
/// server was first seen, not from the start of the planner's term or from a change of its layers.
#[test]
fn a_server_ages_from_when_it_was_first_seen() {
    let mut roster = with(&["a"]);

    roster.registered(Instant(4_000), server("a", State::Draining));
    roster.registered(Instant(5_000), server("b", State::Ready));

    assert_eq!(roster.age(Instant(6_000), &"a".into()), Some(Span(6_000)));
    assert_eq!(roster.age(Instant(6_000), &"b".into()), Some(Span(1_000)));
    assert_eq!(roster.age(Instant(6_000), &"c".into()), None);
}

/// Guards against new work for a leaving server for more than two seconds: its removal shortly
/// after the store's return looks like an expired registration. The grace period counts from the
/// store's return.
#[test]
fn grace_ends_two_seconds_after_the_stores_return() {
    let mut roster = with(&["a", "b"]);
    roster.store_lost();
    roster.store_returned(Instant(9_000));

    let effect = roster.removed(Instant(9_500), &"a".into());

    assert_eq!(effect, Effect::Lapsed);
    assert!(roster.expire(Instant(10_999)).is_empty());
    assert_eq!(roster.expire(Instant(11_000)), vec!["a".into()]);
}

/// Guards against routing by an outdated registration after another process has overwritten it.
/// Current work on the server continues, and its next heartbeat makes it usable again.
#[test]
fn an_unreadable_entry_names_no_server_to_use() {
    let mut roster = with(&["a", "b"]);

    let effect = roster.unreadable(&"a".into());

    assert_eq!(effect, Effect::Unreadable);
    assert_eq!(usable(&roster), ["b"]);
    assert!(roster.get(&"a".into()).is_some(), "streams there go on");
    assert_eq!(roster.unreadable(&"a".into()), Effect::None, "known");
    let effect = roster.registered(Instant(1_000), server("a", State::Ready));
    assert_eq!(effect, Effect::Changed);
    assert_eq!(usable(&roster), ["a", "b"]);
    assert_eq!(roster.age(Instant(1_000), &"a".into()), Some(Span(1_000)));
}

/// An unreadable registration gets no grace period, because nothing shows that its server is alive.
#[test]
fn an_unreadable_entry_does_not_lapse() {
    let mut roster = with(&["a"]);
    roster.unreadable(&"a".into());
    roster.store_lost();

    assert_eq!(roster.removed(Instant(5), &"a".into()), Effect::Gone);
    assert_eq!(
        roster.unreadable(&"a".into()),
        Effect::None,
        "nobody knows it"
    );
}

/// A complete read distinguishes unreadable registrations from missing ones.
#[test]
fn a_whole_read_tells_unreadable_entries_from_missing_ones() {
    let mut roster = with(&["a", "b", "c"]);

    let mut effects = roster.replace(
        Instant(0),
        vec![server("b", State::Ready)],
        &["a".into(), "new".into()],
    );

    effects.sort_by(|a, b| a.0.cmp(&b.0));
    let expected = [("a".into(), Effect::Unreadable), ("c".into(), Effect::Gone)];
    assert_eq!(effects, expected);
}

/// Returns a roster of servers that hold layers.
fn with_layers(names: &[&str]) -> Roster {
    let mut roster = Roster::default();
    for name in names {
        let server = Server {
            held: Range::new(0, 8),
            ..server(*name, State::Ready)
        };
        roster.registered(Instant(0), server);
    }
    roster
}

fn missing(roster: &Roster) -> Vec<String> {
    let missing = roster.missing.servers();
    missing
        .map(|server| server.incarnation.to_string())
        .collect()
}

/// Guards against a server that is cut from the store and keeps its layers being taken for dead.
#[test]
fn a_ready_server_without_registration_is_missing_until_it_registers_again() {
    let mut roster = with_layers(&["a", "b"]);

    roster.removed(Instant(1_000), &"a".into());
    assert!(usable(&roster) == ["b"] && missing(&roster) == ["a"]);

    roster.registered(Instant(2_000), server("a", State::Ready));
    assert!(missing(&roster).is_empty());
}

/// Guards against waiting for a server that leaves, has ended, or is cut off for good.
#[test]
fn a_server_that_drains_or_does_not_answer_is_not_missing() {
    let mut roster = with_layers(&["a", "b", "c"]);
    roster.registered(Instant(0), server("a", State::Draining));
    for name in ["a", "b", "c"] {
        roster.removed(Instant(1_000), &name.into());
    }
    assert_eq!(missing(&roster), ["b", "c"]);

    assert!(!roster.missing.checked(&"b".into(), Range::default()));
    assert!(roster.missing.checked(&"b".into(), Range::default()));
    assert_eq!(missing(&roster), ["c"]);

    roster.expire(Instant(16_000));
    assert!(missing(&roster).is_empty());
}

/// Guards against registrations that flap and hold up all orders.
#[test]
fn a_series_of_lapses_holds_up_orders_for_a_limited_time() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut roster = with_layers(&names);
    let mut held_up = 0;

    for (index, name) in names.iter().enumerate() {
        let now = Instant(1_000 + 900 * index as u64);
        roster.removed(now, &(*name).into());
        held_up += u64::from(roster.missing.is_lapsing(now.plus(Span(800)))) * 900;
    }

    assert!((1_800..=3_000).contains(&held_up), "{held_up} ms");
    assert!(!roster.missing.is_lapsing(Instant(20_000)));
}
