//! Registrations whose addresses belong to other processes.

use jujube_core::layer::Range;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::strangers::Strangers;
use jujube_core::time::Instant;
use jujube_core::time::Span;

fn server(name: &str, slots: u64) -> Server {
    Server {
        incarnation: name.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        state: State::Ready,
        slots,
        accelerator: None,
        held: Range::default(),
        warm_up: Span(0),
    }
}

fn is_used(roster: &Roster, server: &Incarnation) -> bool {
    roster.usable().any(|used| used.incarnation == *server)
}

/// Guards against a stranger that gets requests again because its registration is listed or written
/// without a change.
#[test]
fn a_stranger_gets_nothing_until_its_registration_changes() {
    let mut roster = Roster::default();
    let odd: Incarnation = "odd".into();
    roster.registered(Instant(0), server("odd", 8));

    roster.strangers.turned_away(Instant(10), &odd);
    assert!(!is_used(&roster, &odd));
    roster.registered(Instant(20), server("odd", 8));
    roster.replace(Instant(30), vec![server("odd", 8)], &[]);
    roster.expire(Instant(40));
    assert!(!is_used(&roster, &odd), "unchanged");

    roster.registered(Instant(50), server("odd", 9));
    assert!(is_used(&roster, &odd));
}

/// Guards against a sound server that stays out of use although it answers at its address.
#[test]
fn a_server_that_is_found_gets_requests() {
    let mut roster = Roster::default();
    let late: Incarnation = "late".into();
    roster.registered(Instant(0), server("late", 8));
    roster.strangers.turned_away(Instant(10), &late);

    assert!(roster.strangers.found(&late));

    assert!(is_used(&roster, &late));
}

/// Guards against a stranger that is kept in memory after its registration is gone.
#[test]
fn a_stranger_that_is_no_longer_registered_is_forgotten() {
    let mut roster = Roster::default();
    let odd: Incarnation = "odd".into();
    roster.registered(Instant(0), server("odd", 8));
    roster.strangers.turned_away(Instant(10), &odd);

    roster.removed(Instant(20), &"odd".into());
    roster.expire(Instant(30));

    assert!(!roster.strangers.contains(&odd));
}

/// Guards against health checks without end at an address that is wrong for good.
#[test]
fn checks_of_a_stranger_become_rare() {
    const HOUR: u64 = 3_600_000;
    let mut strangers = Strangers::default();
    strangers.turned_away(Instant(0), &"odd".into());

    let times = (0..HOUR).step_by(100).map(Instant);
    let checks: usize = times.map(|now| strangers.due(now).len()).sum();

    assert!((50..=64).contains(&checks), "{checks}");
}

/// Guards against a sound server that is out of use until it writes again, because another writer
/// registered servers at its address.
#[test]
fn a_server_that_strangers_displaced_is_back() {
    let mut roster = Roster::default();
    let sound: Incarnation = "sound".into();
    roster.registered(Instant(0), server("sound", 8));
    roster.registered(Instant(10), server("odd-1", 8));
    roster.registered(Instant(20), server("odd-2", 8));
    assert!(!is_used(&roster, &sound));

    roster.stranger(Instant(30), &"odd-2".into());

    assert!(is_used(&roster, &sound));
    assert!(!is_used(&roster, &"odd-2".into()));
}

/// Guards against a displaced server that is back although its registration was removed meanwhile.
#[test]
fn a_displaced_server_that_is_removed_stays_gone() {
    let mut roster = Roster::default();
    let sound: Incarnation = "sound".into();
    roster.registered(Instant(0), server("sound", 8));
    roster.registered(Instant(10), server("odd", 8));

    roster.removed(Instant(20), &"sound".into());
    roster.stranger(Instant(30), &"odd".into());

    assert!(!is_used(&roster, &sound));
}

/// Guards against a dead server that is back at a reused address: its successor answers there.
#[test]
fn a_server_whose_successor_answers_stays_gone() {
    let mut roster = Roster::default();
    let dead: Incarnation = "dead".into();
    roster.registered(Instant(0), server("dead", 8));
    roster.registered(Instant(10), server("successor", 8));

    roster.replace(
        Instant(20),
        vec![server("dead", 8), server("successor", 8)],
        &[],
    );

    assert!(!is_used(&roster, &dead));
    assert!(is_used(&roster, &"successor".into()));
}

/// Guards against a sound server that is out of use for good, because another writer registered a server
/// at its address that is never sent anything.
#[test]
fn a_server_that_drains_displaces_nobody() {
    let mut roster = Roster::default();
    let sound: Incarnation = "sound".into();
    roster.registered(Instant(0), server("sound", 8));
    let mut leaving = server("odd", 8);
    leaving.state = State::Draining;

    roster.registered(Instant(10), leaving);

    assert!(is_used(&roster, &sound));
}

/// Guards against a sound server that is out of use each time that another writer registers a server
/// anew that was found elsewhere.
#[test]
fn a_refuted_claim_displaces_nobody_again() {
    let mut roster = Roster::default();
    let (sound, odd): (Incarnation, Incarnation) = ("sound".into(), "odd".into());
    roster.registered(Instant(0), server("sound", 8));
    roster.registered(Instant(10), server("odd", 8));
    roster.stranger(Instant(20), &odd);

    roster.registered(Instant(30), server("odd", 8));
    roster.registered(Instant(40), server("odd", 9));
    assert!(is_used(&roster, &sound));

    roster.strangers.found(&odd);
    roster.registered(Instant(50), server("odd", 8));
    assert!(!is_used(&roster, &sound), "it is there now");
}

/// Guards against a sound server that stays out of use after the registration that displaced it is gone
/// or names another address.
#[test]
fn a_claim_that_ends_brings_the_displaced_back() {
    let sound: Incarnation = "sound".into();
    let claimed = || {
        let mut roster = Roster::default();
        roster.registered(Instant(0), server("sound", 8));
        roster.registered(Instant(10), server("odd", 8));
        roster
    };

    let mut removed = claimed();
    removed.removed(Instant(20), &"odd".into());
    assert!(is_used(&removed, &sound));

    let mut moved = claimed();
    let mut elsewhere = server("odd", 8);
    elsewhere.address = ([10, 0, 0, 2], 80).into();
    moved.registered(Instant(20), elsewhere);
    assert!(is_used(&moved, &sound));
}

/// Guards against a claim that nobody checks because its server is sent nothing, and against health checks
/// of each server that starts at the address of one that died.
#[test]
fn a_claim_is_checked_once_a_dead_server_would_have_expired() {
    let (sound, odd): (Incarnation, Incarnation) = ("sound".into(), "odd".into());
    let mut roster = Roster::default();
    roster.registered(Instant(0), server("sound", 8));
    roster.registered(Instant(10), server("odd", 8));
    assert!(roster.due_claims(Instant(4_009)).is_empty());
    assert_eq!(roster.due_claims(Instant(4_010)), ["odd".into()]);

    assert!(roster.withdraw_claim(Instant(4_020), &odd));
    assert!(is_used(&roster, &sound), "nobody answers for the other");

    let mut expired = Roster::default();
    expired.registered(Instant(0), server("sound", 8));
    expired.registered(Instant(10), server("odd", 8));
    expired.removed(Instant(3_600), &"sound".into());
    assert!(expired.due_claims(Instant(4_010)).is_empty());
}
