//! Tests of the step ledger.

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

/// Guards against a free that precedes the end of a run, which would leave a cache that is never
/// freed, and against a reopened request that uses the old cache.
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
    let freed_during_run = actions.contains(&free);
    let reopened_during_run = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.ran(NOW, request(1), Run(1), &[6], &mut actions);
    let freed_after_run = actions.contains(&free);
    let reopened_before_free = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.freed(request(1));
    let reopened = ledger.open(NOW, open(1, 2), &mut actions);

    assert!(!freed_during_run);
    assert_eq!(reopened_during_run, Err(Refused::Busy));
    assert!(freed_after_run);
    assert_eq!(reopened_before_free, Err(Refused::Busy));
    assert_eq!(reopened.unwrap().count, Position(0));
}

#[test]
fn slots_and_drains_refuse_new_requests_only() {
    let mut ledger = ledger(1);
    let mut actions = Vec::new();
    ledger.open(NOW, open(1, 1), &mut actions).unwrap();

    let over_limit = ledger.open(NOW, open(2, 1), &mut actions);
    ledger.drain();
    let reopened = ledger.open(NOW, open(1, 2), &mut actions);
    ledger.release(NOW, request(1), Epoch(2), &mut actions);
    let drained = ledger.open(NOW, open(2, 1), &mut actions);
    let late_duplicate = ledger.open(NOW, open(1, 2), &mut actions);

    assert_eq!(over_limit, Err(Refused::Busy));
    assert!(reopened.is_ok());
    assert_eq!(drained, Err(Refused::Draining));
    assert_eq!(late_duplicate, Err(Refused::Stale(Epoch(2))));
}
