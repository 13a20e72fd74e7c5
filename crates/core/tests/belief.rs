//! What an entry believes of servers that fail it, and on how many servers a request may run.

#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeMap;

use jujube_core::pipeline::attempts::Attempts;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::liveness::Evidence;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::local_health::LocalHealth;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

#[test]
fn a_request_that_lost_its_runs_with_two_servers_too_many_is_given_up() {
    let mut attempts = Attempts::default();
    for server in ["a", "b", "c"] {
        attempts.begin(server.into());
    }
    assert_eq!(
        attempts.outlook(2, |_| Liveness::Ended(Evidence::Silent)),
        Permission::Allowed
    );

    attempts.begin("d".into());

    assert_eq!(
        attempts.outlook(2, |_| Liveness::Ended(Evidence::Silent)),
        Permission::Denied
    );
}

/// A request may run on a third server of a route that allows two: the first is alive when the request leaves it.
///
/// It exits later, as planned. Judged by the list of servers then, it did not count any more.
#[test]
fn a_server_that_was_left_alive_counts_for_good() {
    let mut attempts = Attempts::default();
    attempts.begin("leaver".into());
    attempts.left(&"leaver".into());
    attempts.begin("alive".into());
    let gone = |id: &Incarnation| match &*id.server.to_string() {
        "leaver" => Liveness::Ended(Evidence::Unregistered),
        _ => Liveness::Alive,
    };

    attempts.settle(Instant(5_000), gone);

    assert_eq!(attempts.outlook(2, gone), Permission::Denied);
}

/// The request goes on elsewhere: its server died, and is found dead half a second later.
#[test]
fn a_server_that_died_with_its_run_does_not_count() {
    let mut attempts = Attempts::default();
    for server in ["first", "dead"] {
        attempts.begin(server.into());
    }
    attempts.lost(Instant(1_000), &"dead".into());
    let (dead, alive) = (Liveness::Ended(Evidence::Refuses), Liveness::Alive);

    attempts.settle(Instant(1_600), |id| {
        if *id == "dead".into() { dead } else { alive }
    });

    assert_eq!(
        attempts.outlook(2, |_| alive),
        Permission::Allowed,
        "also when it starts again"
    );
}

/// A run breaks off on a server that lives, since another part of its path died. The server exits later.
#[test]
fn a_server_that_ends_after_its_run_broke_off_counts() {
    let mut attempts = Attempts::default();
    for server in ["first", "leaver"] {
        attempts.begin(server.into());
    }
    attempts.lost(Instant(1_000), &"leaver".into());

    attempts.settle(Instant(2_500), |_| Liveness::Ended(Evidence::Unregistered));

    let alive = |_: &Incarnation| Liveness::Alive;
    assert_eq!(attempts.outlook(2, alive), Permission::Denied);
}

fn beaten(until: u64) -> LocalHealth {
    let mut local_health = LocalHealth::new(Span(25));
    for now in (25..=until).step_by(25) {
        local_health.tick(Instant(now));
    }
    local_health
}

/// Callers' requests ran on three servers of a route that allows two, all of them alive.
///
/// An entry stands still, or gets little of its processor, while a server's answer is under way. The answer is
/// overdue when it goes on, the server is suspected, and half a second later it counted as ended: another
/// attempt was free. What proved it: the servers on which these requests ran never ended, and the entry that
/// sent them was slowed at that time.
#[test]
fn a_server_that_is_silent_to_a_late_process_has_not_ended() {
    let mut suspicion = Suspicion::default();
    let mut local_health = beaten(1_000);
    local_health.tick(Instant(3_000));
    suspicion.suspect(Instant(3_010), &"a".into());
    for now in (3_025..3_600).step_by(25) {
        local_health.tick(Instant(now));
    }

    assert!(
        suspicion
            .evidence(Instant(3_600), &"a".into(), &local_health)
            .is_none()
    );
    suspicion.set_refusing(&"a".into());
    suspicion.connection_broken(Instant(3_000), &"a".into());
    assert_eq!(
        suspicion.evidence(Instant(3_600), &"a".into(), &local_health),
        Some(Evidence::Refuses),
        "nobody listens, and what was under way there broke off"
    );
}

/// Callers' requests ran on three servers of a route that allows two, all of them alive.
///
/// A server that leaves as planned refuses new connections some seconds before it exits, and serves on those that it
/// has. Half a second of that counted as its end, and each request that had run there was free for another server.
#[test]
fn a_server_that_refuses_new_connections_has_not_ended_by_that() {
    let mut suspicion = Suspicion::default();
    let mut local_health = beaten(9_000);
    suspicion.suspect(Instant(1_500), &"a".into());
    suspicion.set_refusing(&"a".into());
    local_health.record_answer(Instant(8_900));

    assert_eq!(
        suspicion.evidence(Instant(9_000), &"a".into(), &local_health),
        None
    );
    suspicion.connection_broken(Instant(900), &"a".into());
    assert_eq!(
        suspicion.evidence(Instant(9_000), &"a".into(), &local_health),
        None,
        "what broke off before it refused says nothing of it"
    );
}

/// The same of a server that is known to drain, and with answers that break off there: a later part of their paths died.
#[test]
fn a_server_that_drains_has_ended_when_its_registration_goes() {
    let (mut suspicion, mut roster) = (Suspicion::default(), Roster::default());
    let id = Incarnation::from("a");
    roster.seen(Instant(0), server("a", State::Draining));
    suspicion.suspect(Instant(3_000), &id);
    suspicion.set_refusing(&id);
    suspicion.connection_broken(Instant(3_100), &id);
    let believed =
        |roster: &Roster| Liveness::assess(&id, Instant(9_000), roster, &suspicion, &beaten(9_000));

    assert_eq!(believed(&roster), Liveness::Suspected);
    roster.removed(Instant(9_000), &id.server);
    assert_eq!(believed(&roster), Liveness::Ended(Evidence::Unregistered));
}

/// A request may run on a third server of a route that allows two, all of them alive.
///
/// Some servers leave without saying that they drain: their registration goes, and they serve on for seconds. The
/// missing registration counted as their end. One that died was suspected before its registration lapsed.
#[test]
fn a_server_whose_registration_goes_unannounced_may_still_serve() {
    let (mut suspicion, mut roster) = (Suspicion::default(), Roster::default());
    for id in ["leaver", "dead"] {
        roster.seen(Instant(0), server(id, State::Ready));
    }
    suspicion.suspect(Instant(1_000), &"dead".into());
    let mut local_health = beaten(5_000);
    local_health.record_answer(Instant(1_000));

    for id in ["leaver", "dead"] {
        roster.removed(Instant(4_000), &id.into());
    }
    roster.tell_dead(Instant(4_980), &suspicion, &local_health);

    let believed = |id: &str| {
        Liveness::assess(
            &id.into(),
            Instant(5_000),
            &roster,
            &suspicion,
            &local_health,
        )
    };
    assert_eq!(believed("leaver"), Liveness::Alive);
    assert_eq!(believed("dead"), Liveness::Ended(Evidence::Unregistered));
    assert_eq!(
        believed("never-known"),
        Liveness::Ended(Evidence::Unregistered)
    );
}

#[test]
fn a_server_that_is_silent_to_a_process_on_time_has_ended_after_half_a_second() {
    let mut suspicion = Suspicion::default();
    let mut local_health = beaten(2_000);
    suspicion.suspect(Instant(1_500), &"a".into());
    local_health.record_answer(Instant(1_700));

    assert!(
        suspicion
            .evidence(Instant(1_999), &"a".into(), &local_health)
            .is_none()
    );
    assert!(
        suspicion
            .evidence(Instant(2_000), &"a".into(), &local_health)
            .is_some()
    );
}

/// Callers' requests ran on three servers of a route that allows two, all of them alive.
///
/// An entry's link is full for a second, of what entries tell one another. The process is on time, and the answers
/// of all servers are not: it found them dead one after the other, counted them as ended half a second later, and
/// each request that it had given up was free for another server. No server answered it in that time.
#[test]
fn a_server_that_is_silent_while_nobody_answers_has_not_ended() {
    let mut suspicion = Suspicion::default();
    let mut local_health = beaten(3_000);
    local_health.record_answer(Instant(1_400));
    suspicion.suspect(Instant(1_500), &"a".into());

    assert!(
        suspicion
            .evidence(Instant(3_000), &"a".into(), &local_health)
            .is_none()
    );
    local_health.record_answer(Instant(2_900));
    assert!(
        suspicion
            .evidence(Instant(3_000), &"a".into(), &local_health)
            .is_some()
    );
}

/// A hundred entries ask a server that they all suspect about as often as a single one would.
///
/// Each asked again every second and a half for as long as the server was registered, over a new connection; a
/// rack that died was a hundred questions a second for each of its servers.
#[test]
fn many_entries_ask_a_suspect_no_more_often_than_one() {
    let asked = |others: u64| {
        let mut suspicion = Suspicion::default();
        suspicion.suspect(Instant(0), &"a".into());
        suspicion.set_peer_reports(Instant(1), [("a".into(), others)].into());
        let times = (0..60_000).filter(|now| !suspicion.due(Instant(*now)).is_empty());
        times.count() as u64
    };

    let alone = asked(0);
    let together = 100 * asked(99);

    assert!(together <= 8 * alone, "{together} of {alone}");
}

/// A suspect that the others trust again is asked at once, however long the pause is by then.
#[test]
fn a_suspect_that_others_trust_again_is_asked_at_once() {
    let mut suspicion = Suspicion::default();
    suspicion.suspect(Instant(0), &"a".into());
    suspicion.set_peer_reports(Instant(1), [("a".into(), 50)].into());
    suspicion.due(Instant(200));
    assert!(suspicion.due(Instant(3_000)).is_empty());

    suspicion.set_peer_reports(Instant(3_000), BTreeMap::new());

    assert_eq!(suspicion.due(Instant(3_000)), vec!["a".into()]);
}

#[test]
fn a_suspect_is_asked_less_and_less_often() {
    let mut suspicion = Suspicion::default();
    suspicion.suspect(Instant(0), &"a".into());

    let asked = (0..10_000).filter(|now| !suspicion.due(Instant(*now)).is_empty());

    assert!((6..12).contains(&asked.count()));
}

/// Guards against healthy servers losing their layers because a planner's own link loses packets.
#[test]
fn silence_that_nobody_else_meets_gives_up_no_layers_at_once() {
    let mut suspicion = Suspicion::default();
    let mut local_health = LocalHealth::new(Span(25));
    suspicion.suspect(Instant(0), &"a".into());
    local_health.record_answer(Instant(10));
    local_health.tick(Instant(1_000));

    assert!(!suspicion.is_replaceable(Instant(1_000), &"a".into(), &local_health));
    suspicion.set_peer_reports(Instant(1_000), BTreeMap::from([("a".into(), 1)]));

    assert!(
        !suspicion.is_replaceable(Instant(1_000), &"a".into(), &local_health),
        "late itself"
    );
    let mut local_health = LocalHealth::new(Span(25));
    local_health.record_answer(Instant(10));
    for beat in 0..=40 {
        local_health.tick(Instant(beat * 25));
    }
    assert!(suspicion.is_replaceable(Instant(1_000), &"a".into(), &local_health));
}

/// Guards against layers that stay without a holder because only one entry uses them.
#[test]
fn silence_that_lasts_gives_up_layers_also_on_one_entrys_word() {
    let mut suspicion = Suspicion::default();
    let mut local_health = LocalHealth::new(Span(25));
    suspicion.suspect(Instant(0), &"a".into());
    local_health.record_answer(Instant(10));
    for beat in 0..=80 {
        local_health.tick(Instant(beat * 25));
    }

    assert!(!suspicion.is_replaceable(Instant(1_999), &"a".into(), &local_health));
    assert!(suspicion.is_replaceable(Instant(2_000), &"a".into(), &local_health));
}
