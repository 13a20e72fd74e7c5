//! Tests of membership and failure detection.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeSet;

use jujube_core::membership::Heartbeat;
use jujube_core::membership::Membership;
use jujube_core::membership::Settings;
use jujube_core::membership::State;
use jujube_core::name::Server;
use jujube_core::request::BootId;
use jujube_core::time::Instant;

fn names(count: usize) -> Vec<Server> {
    (0..count).map(|index| format!("s{index}").into()).collect()
}

fn beat(incarnation: u64) -> Heartbeat {
    Heartbeat {
        incarnation: BootId(incarnation),
        healthy: true,
        ..Heartbeat::default()
    }
}

fn all_up(servers: &[Server]) -> Membership {
    let mut membership = Membership::new(Settings::default());
    membership.set_servers(servers.iter().cloned());
    for server in servers {
        membership.record_heartbeat(Instant(0), server, beat(1));
    }
    membership
}

/// Guards against an entry that excludes all servers, and refuses all requests, because its own
/// network has failed. Refused connections and drains still exclude a server.
#[test]
fn silence_of_most_servers_excludes_none() {
    let servers = names(10);
    let mut membership = all_up(&servers);
    for server in &servers[2..] {
        membership.record_poll(Instant(100), server);
    }
    membership.record_refusal(&servers[9]);
    let draining = Heartbeat {
        draining: true,
        ..beat(1)
    };
    membership.record_heartbeat(Instant(100), &servers[8], draining);

    let usable = membership.usable(Instant(10_000), &servers);

    assert_eq!(usable, servers[..8].iter().cloned().collect());
}

#[test]
fn silence_of_a_few_servers_excludes_them() {
    let servers = names(10);
    let mut membership = all_up(&servers);
    membership.record_poll(Instant(100), &servers[0]);

    let suspect = membership.state(Instant(300), &servers[0]);
    let down = membership.state(Instant(600), &servers[0]);
    let usable = membership.usable(Instant(600), &servers);
    membership.record_heartbeat(Instant(700), &servers[0], beat(1));
    let recovered = membership.state(Instant(700), &servers[0]);

    assert_eq!(suspect, State::Suspect);
    assert_eq!(down, State::Down);
    assert_eq!(usable.len(), 9);
    assert_eq!(recovered, State::Up);
}

#[test]
fn a_long_polling_interval_is_not_silence() {
    let servers = names(1);
    let mut membership = all_up(&servers);

    let long_after = membership.state(Instant(60_000), &servers[0]);
    membership.record_poll(Instant(60_000), &servers[0]);
    let just_polled = membership.state(Instant(60_010), &servers[0]);

    assert_eq!(long_after, State::Up);
    assert_eq!(just_polled, State::Up);
}

/// Guards against a stale VM list that marks a live server as down or a dead one as up.
#[test]
fn vm_list_marks_leavers_only() {
    let servers = names(3);
    let mut membership = all_up(&servers);
    membership.record_poll(Instant(100), &servers[1]);

    membership.set_leaving(&BTreeSet::from([servers[0].clone()]));

    assert_eq!(membership.state(Instant(900), &servers[0]), State::Draining);
    assert_eq!(membership.state(Instant(900), &servers[1]), State::Down);
    assert_eq!(membership.state(Instant(900), &servers[2]), State::Up);
}

#[test]
fn a_restart_is_detected_without_silence() {
    let servers = names(1);
    let mut membership = all_up(&servers);

    let same = membership.record_heartbeat(Instant(10), &servers[0], beat(1));
    let other = membership.record_heartbeat(Instant(20), &servers[0], beat(2));

    assert!(!same);
    assert!(other);
}
