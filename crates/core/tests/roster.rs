//! Registered backend servers through outages of the registry.

#[path = "support/registry.rs"]
mod registry;

use jujube_core::layer::Range;
use jujube_core::pipeline::outage::Observation;
use jujube_core::pipeline::outage::is_global;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::LAPSE_GRACE;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::State;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

fn with(names: &[&str]) -> Roster {
    let mut roster = Roster::default();
    for name in names {
        roster.seen(Instant(0), server(*name, State::Ready));
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

    let effect = roster.seen(Instant(0), server("a", State::Draining));

    assert_eq!(effect, Effect::Draining);
    assert_eq!(usable(&roster), ["b"]);
}

#[test]
fn a_removed_server_is_gone_at_once() {
    let mut roster = with(&["a"]);

    assert_eq!(roster.removed(Instant(0), &"a".into()), Effect::Gone);
    assert!(usable(&roster).is_empty());
}

/// Callers are served through the store's return.
///
/// The store is away for some seconds, and all registrations lapse meanwhile. When it is back its
/// list is empty. The servers live and register again within two seconds; until then they count.
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
    roster.seen(Instant(0), server("b", State::Ready));

    let gone = roster.expire(Instant(9_000).plus(LAPSE_GRACE));

    assert_eq!(gone, vec!["a".into()]);
    assert_eq!(usable(&roster), ["b"]);
}

/// A server that said that it drains gets nothing new, whatever the store does meanwhile.
#[test]
fn a_server_known_to_drain_does_not_lapse() {
    let mut roster = with(&["a"]);
    roster.seen(Instant(0), server("a", State::Draining));
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
        roster.seen(Instant(0), server("a", State::Ready)),
        Effect::None
    );
}

/// Callers find the layers that a server holds since its move, which the store could not tell.
///
/// A planner moves a server while the store is away and hears from the server that it holds other
/// layers. What registers after the store's return goes before that again.
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
    roster.seen(Instant(0), server("a", State::Ready));
    assert_eq!(
        roster.get(&"a".into()).map(|server| server.held),
        Some(Range::default())
    );
}

/// No second planner gives orders while the first one goes on.
///
/// The store answers nobody at first, and the planner goes on. Then it answers a single entry, which may
/// be made planner: whoever hears of that stops. Entries that fall silent may be with the store behind
/// a cut, so half of them are enough to stop as well.
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

/// A planner that has just been made gives layers at once to a server that joined before.
///
/// Servers that joined a moment ago wait for the word of the one that they replace. What counts is when
/// they joined, not when the planner's term began; a change of what they hold does not make them new.
#[test]
fn a_server_ages_from_when_it_was_first_seen() {
    let mut roster = with(&["a"]);

    roster.seen(Instant(4_000), server("a", State::Draining));
    roster.seen(Instant(5_000), server("b", State::Ready));

    assert_eq!(roster.age(Instant(6_000), &"a".into()), Some(Span(6_000)));
    assert_eq!(roster.age(Instant(6_000), &"b".into()), Some(Span(1_000)));
    assert_eq!(roster.age(Instant(6_000), &"c".into()), None);
}

/// A server that leaves gets nothing new for longer than two seconds.
///
/// An entry was turned away by the store for a while. Half a second after the store's return a server
/// leaves, which shows as a registration that is removed, like one that lapsed. Registrations that did
/// lapse are back two seconds after the return; counted from the removal, the leaver would get requests
/// for half a second more.
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

/// A server gets nothing new while its entry cannot be read, and what runs there goes on.
///
/// Somebody else writes over the entry of a known server. It may drain or hold other layers by now, so
/// it is not used; it is still the server that streams run through. Its own next heartbeat names it again.
#[test]
fn an_unreadable_entry_names_no_server_to_use() {
    let mut roster = with(&["a", "b"]);

    let effect = roster.unreadable(&"a".into());

    assert_eq!(effect, Effect::Unreadable);
    assert_eq!(usable(&roster), ["b"]);
    assert!(roster.get(&"a".into()).is_some(), "streams there go on");
    assert_eq!(roster.unreadable(&"a".into()), Effect::None, "known");
    let effect = roster.seen(Instant(1_000), server("a", State::Ready));
    assert_eq!(effect, Effect::Changed);
    assert_eq!(usable(&roster), ["a", "b"]);
    assert_eq!(roster.age(Instant(1_000), &"a".into()), Some(Span(1_000)));
}

/// An unreadable entry gets no grace: nothing says that its server lives.
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

/// A whole read that finds an unreadable entry does not take its server for one that vanished.
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
