//! Servers that say that they are leaving while their registrations say that they are ready.

#[path = "support/registry.rs"]
mod registry;

use jujube_core::layer::Range;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::local_health::LocalHealth;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::StartTime;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::summary::Summary;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

fn leaver() -> Incarnation {
    server("a", State::Ready).incarnation
}

/// Returns a roster in which server `a` said that it is leaving, and `b` did not.
fn with_leaver() -> Roster {
    let mut roster = Roster::default();
    for name in ["a", "b"] {
        roster.registered(Instant(0), server(name, State::Ready));
    }
    let effect = roster.announced_leaving(Instant(10), &leaver());
    assert_eq!(effect, Effect::Draining);
    roster
}

fn usable(roster: &Roster) -> Vec<String> {
    let names = roster.usable().map(|server| server.incarnation.to_string());
    names.collect()
}

#[test]
fn server_that_says_it_is_leaving_gets_nothing_new() {
    let roster = with_leaver();

    assert_eq!(usable(&roster), ["b"]);
    assert!(roster.is_draining(&leaver()));
    assert_eq!(roster.draining(Instant(1_010), Span(1_000)).count(), 1);
}

/// Guards against work for a leaver after its registration was written or listed again as ready,
/// or was away for a while.
#[test]
fn registration_as_ready_does_not_take_the_word_back() {
    let mut roster = with_leaver();
    let ready = || vec![server("a", State::Ready), server("b", State::Ready)];

    roster.registered(Instant(20), server("a", State::Ready));
    assert_eq!(usable(&roster), ["b"]);
    roster.replace(Instant(30), ready(), &[]);
    assert_eq!(usable(&roster), ["b"]);
    roster.removed(Instant(40), &"a".into());
    roster.registered(Instant(50), server("a", State::Ready));
    assert_eq!(usable(&roster), ["b"]);
    roster.unreadable(&"a".into());
    roster.registered(Instant(60), server("a", State::Ready));
    assert_eq!(usable(&roster), ["b"]);
}

/// Returns the roster once a later start of the leaver is registered, and that start.
fn with_restarted_leaver() -> (Roster, Incarnation) {
    let mut roster = with_leaver();
    let restarted = Incarnation::new("a".into(), Some(StartTime(7)));
    let registration = Server {
        incarnation: restarted.clone(),
        ..server("a", State::Ready)
    };
    roster.registered(Instant(20), registration);
    (roster, restarted)
}

/// Guards against holding a server that started anew under its name to the word of before.
#[test]
fn restarted_server_is_used_once_it_does_not_say_that_it_is_leaving() {
    let (mut roster, restarted) = with_restarted_leaver();
    assert_eq!(usable(&roster), ["b"]);

    assert!(!roster.leavers.checked(Instant(30), &restarted, false));
    assert!(roster.leavers.checked(Instant(40), &restarted, true));

    assert_eq!(usable(&roster), ["a@7", "b"]);
    assert_eq!(roster.leavers.unconfirmed().count(), 0);
}

/// Guards against requests to a server that restarted, said that it is leaving before its new
/// registration was known, and is registered as ready.
#[test]
fn restarted_server_that_says_it_is_leaving_gets_nothing_new() {
    let (mut roster, restarted) = with_restarted_leaver();

    roster.announced_leaving(Instant(30), &restarted);

    assert!(!roster.leavers.checked(Instant(30), &restarted, true));
    assert_eq!(usable(&roster), ["b"]);
}

/// Guards against leaving a restarted server out for good that answers no health checks.
#[test]
fn restarted_server_is_used_after_a_while_without_answers() {
    let (mut roster, restarted) = with_restarted_leaver();

    assert!(roster.leavers.checked(Instant(5_000), &restarted, false));

    assert_eq!(usable(&roster), ["a@7", "b"]);
}

/// Guards against taking a leaver for ended, and running its requests once more, when its
/// registration is removed: unlike one that was registered as draining, it may serve on.
#[test]
fn unregistered_leaver_may_still_serve() {
    let mut roster = with_leaver();

    roster.removed(Instant(20), &"a".into());

    assert_eq!(roster.end(&leaver()), None);
    let (suspicion, health) = (Suspicion::default(), LocalHealth::new(Span(25)));
    let liveness = Liveness::assess(&leaver(), Instant(30), &roster, &suspicion, &health);
    assert_eq!(liveness, Liveness::Alive);
}

/// Guards against waiting for the layers of a server that lost its registration and then says that
/// it is leaving.
#[test]
fn missing_server_that_says_it_is_leaving_is_not_waited_for() {
    let mut roster = Roster::default();
    let holder = Server {
        held: Range::new(0, 8),
        ..server("a", State::Ready)
    };
    roster.registered(Instant(0), holder);
    roster.removed(Instant(10), &"a".into());
    assert_eq!(roster.missing.servers().count(), 1);

    roster.announced_leaving(Instant(20), &leaver());

    assert_eq!(roster.missing.servers().count(), 0);
}

/// Guards against words of servers that nobody knows, which would be kept for good.
#[test]
fn word_of_an_unknown_server_changes_nothing() {
    let mut roster = with_leaver();

    assert_eq!(
        roster.announced_leaving(Instant(20), &"c".into()),
        Effect::None
    );
    assert_eq!(
        roster.announced_leaving(Instant(20), &leaver()),
        Effect::None
    );

    roster.registered(Instant(30), server("c", State::Ready));
    assert_eq!(usable(&roster), ["b", "c"]);
}

/// Guards against a word that is lost with the entry that heard it: whoever was told reports it, as
/// long as the server is registered.
#[test]
fn word_is_reported_while_its_server_is_registered() {
    let mut roster = with_leaver();
    let told = |roster: &Roster| roster.announced_leavers().cloned().collect::<Vec<_>>();
    let mut sum = Summary::default();

    sum.merge(&Summary {
        leaving: told(&roster).into_iter().collect(),
        ..Summary::default()
    });
    assert_eq!(sum.leaving, [leaver()].into());
    roster.removed(Instant(20), &"a".into());

    assert!(told(&roster).is_empty());
}

/// Guards against a late word of a departed start that drains the one registered after it.
#[test]
fn word_of_a_departed_start_says_nothing_about_the_later_one() {
    let mut roster = Roster::default();
    let later = Server {
        incarnation: Incarnation::new("a".into(), Some(StartTime(7))),
        ..server("a", State::Ready)
    };
    roster.registered(Instant(0), server("a", State::Ready));
    roster.removed(Instant(10), &"a".into());
    roster.registered(Instant(20), later);

    roster.announced_leaving(Instant(30), &leaver());

    assert_eq!(usable(&roster), ["a@7"]);
}

/// Guards against taking a leaver for ended that never registered as draining, after the store was
/// restored from a copy that lists it as ready.
#[test]
fn unregistered_leaver_may_still_serve_after_a_restore() {
    let mut roster = with_leaver();
    roster.restored(Instant(20));
    roster.registered(Instant(30), server("a", State::Ready));

    roster.removed(Instant(6_000), &"a".into());

    assert_eq!(roster.end(&leaver()), None);
}
