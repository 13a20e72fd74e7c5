//! Membership: who may get work.

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

fn all_heard(servers: &[Server]) -> Membership {
    let mut membership = Membership::new(Settings::default());
    membership.set_servers(servers.iter().cloned());
    for server in servers {
        membership.heard(Instant(0), server, beat(1));
    }
    membership
}

/// Work keeps flowing when an entry is cut off for a moment.
///
/// Eight of ten fall silent at once: more likely this entry's own link than eight deaths. Below the
/// floor silence is not believed, so that requests still have paths; a refused connection and a
/// drain still are.
#[test]
fn silence_of_nearly_all_is_not_believed() {
    let servers = names(10);
    let mut membership = all_heard(&servers);
    for server in &servers[2..] {
        membership.asked(Instant(100), server);
    }
    membership.refused(&servers[9]);
    let draining = Heartbeat {
        draining: true,
        ..beat(1)
    };
    membership.heard(Instant(100), &servers[8], draining);

    let usable = membership.usable(Instant(10_000), &servers);

    assert_eq!(usable, servers[..8].iter().cloned().collect());
}

#[test]
fn silence_of_a_few_is_believed() {
    let servers = names(10);
    let mut membership = all_heard(&servers);
    membership.asked(Instant(100), &servers[0]);

    let suspect = membership.state(Instant(300), &servers[0]);
    let down = membership.state(Instant(600), &servers[0]);
    let usable = membership.usable(Instant(600), &servers);
    membership.heard(Instant(700), &servers[0], beat(1));
    let back = membership.state(Instant(700), &servers[0]);

    assert_eq!(suspect, State::Suspect);
    assert_eq!(down, State::Down);
    assert_eq!(usable.len(), 9);
    assert_eq!(back, State::Up);
}

#[test]
fn asking_rarely_is_not_silence() {
    let servers = names(1);
    let mut membership = all_heard(&servers);

    let long_after = membership.state(Instant(60_000), &servers[0]);
    membership.asked(Instant(60_000), &servers[0]);
    let just_asked = membership.state(Instant(60_010), &servers[0]);

    assert_eq!(long_after, State::Up);
    assert_eq!(just_asked, State::Up);
}

/// The VM list lags both ways: it neither kills a live backend server nor revives a dead one.
#[test]
fn vm_list_marks_leavers_only() {
    let servers = names(3);
    let mut membership = all_heard(&servers);
    membership.asked(Instant(100), &servers[1]);

    membership.set_vms(&BTreeSet::from([servers[0].clone()]));

    assert_eq!(membership.state(Instant(900), &servers[0]), State::Draining);
    assert_eq!(membership.state(Instant(900), &servers[1]), State::Down);
    assert_eq!(membership.state(Instant(900), &servers[2]), State::Up);
}

#[test]
fn new_run_is_noticed_although_it_never_fell_silent() {
    let servers = names(1);
    let mut membership = all_heard(&servers);

    let same = membership.heard(Instant(10), &servers[0], beat(1));
    let other = membership.heard(Instant(20), &servers[0], beat(2));

    assert!(!same);
    assert!(other);
}
