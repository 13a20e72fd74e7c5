//! The step ledger by itself.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::sync::Arc;

use jujube_core::ledger::Action;
use jujube_core::ledger::Frame;
use jujube_core::ledger::Ledger;
use jujube_core::ledger::Limits;
use jujube_core::ledger::Open;
use jujube_core::ledger::Refused;
use jujube_core::ledger::Run;
use jujube_core::path::Route;
use jujube_core::path::Stage;
use jujube_core::request::Epoch;
use jujube_core::request::Position;
use jujube_core::request::Request;
use jujube_core::time::Instant;

const NOW: Instant = Instant(1);

fn request(number: u64) -> Request {
    Request {
        number,
        ..Request::default()
    }
}

fn open(number: u64, epoch: u64) -> Open {
    let stage = Stage {
        server: "a".into(),
        address: "a".into(),
        layers: "0-4".parse().unwrap(),
    };
    Open {
        request: request(number),
        epoch: Epoch(epoch),
        route: Arc::new(Route {
            entry: "e".into(),
            stages: vec![stage],
        }),
        downstream: Some(Position(0)),
        limit: Position(100),
        ..Open::default()
    }
}

fn frame(number: u64, epoch: u64, first: u64, values: &[u64]) -> Frame {
    Frame {
        request: request(number),
        epoch: Epoch(epoch),
        first: Position(first),
        values: values.to_vec(),
    }
}

fn ledger(slots: usize) -> Ledger {
    let limits = Limits {
        slots,
        ..Limits::default()
    };
    Ledger::new("a".into(), limits)
}

/// The caller of a later stay sees a right answer, and no cache is left behind.
///
/// A stage is frozen while its engine runs a step; its request moves elsewhere and is released. When
/// the stage wakes, the release is handled before the step has ended. A free that overtook the step
/// made the engine begin a new cache in mid-sequence; and a request that came back to this stage
/// would have met the old one. So the free waits for the step, and the request for the free.
#[test]
fn free_waits_for_the_run_and_open_for_the_free() {
    let mut ledger = ledger(4);
    let mut actions = Vec::new();
    ledger.open(NOW, open(1, 1), &mut actions).unwrap();
    ledger.frame(NOW, &frame(1, 1, 0, &[5]), &mut actions);
    let free = Action::Free {
        request: request(1),
    };

    ledger.release(NOW, request(1), Epoch(1), &mut actions);
    let before_the_run_ended = actions.contains(&free);
    let back_too_early = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.ran(NOW, request(1), Run(1), &[6], &mut actions);
    let after_the_run_ended = actions.contains(&free);
    let back_before_the_free = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.freed(request(1));
    let back = ledger.open(NOW, open(1, 2), &mut actions);

    assert!(!before_the_run_ended);
    assert_eq!(back_too_early, Err(Refused::Busy));
    assert!(after_the_run_ended);
    assert_eq!(back_before_the_free, Err(Refused::Busy));
    assert_eq!(back.unwrap().count, Position(0));
}

#[test]
fn slots_and_drains_refuse_new_requests_only() {
    let mut ledger = ledger(1);
    let mut actions = Vec::new();
    ledger.open(NOW, open(1, 1), &mut actions).unwrap();

    let over = ledger.open(NOW, open(2, 1), &mut actions);
    ledger.drain();
    let known = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.release(NOW, request(1), Epoch(2), &mut actions);
    let drained = ledger.open(NOW, open(2, 1), &mut actions);
    let late_copy = ledger.open(NOW, open(1, 2), &mut actions);

    assert_eq!(over, Err(Refused::Busy));
    assert!(known.is_ok());
    assert_eq!(drained, Err(Refused::Draining));
    assert_eq!(late_copy, Err(Refused::Stale(Epoch(2))));
}
