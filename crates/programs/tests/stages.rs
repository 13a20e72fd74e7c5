//! Stages of separate processes that die, stand still, fall silent or leave.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::Layout;
use support::MODEL;
use support::streams::PROMPT;
use support::streams::begin;
use support::streams::end;
use support::streams::is_state;
use support::streams::slow;

/// The callers see whole answers, after a short pause.
///
/// Sidecar and engine of one stage are killed while eight streams run through two entries. Half of
/// the streams used it; the entries replace it and the replacement is rebuilt from what the stage
/// before kept.
#[tokio::test(flavor = "multi_thread")]
async fn killed_stage_cuts_no_answer() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    for name in ["b1", "c2"] {
        fleet.backends[name].sidecar.signal("KILL");
        fleet.backends[name].engine.signal("KILL");
    }

    end(&fleet, running).await;
    fleet
        .until(0, "the killed stage is down", |status| {
            is_state(status, "b1", "down")
        })
        .await;
}

/// The callers see whole answers; the stage that wakes up changes nothing.
///
/// A sidecar stands still: its connections stay open and silent. The entries hear nothing, replace
/// it under a new epoch, and go on. When it wakes it sends its old frames and tokens, which are
/// refused by epoch, and it comes back as a member.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_stage_is_replaced_and_its_late_frames_are_refused() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    fleet.backends["b1"].sidecar.signal("STOP");
    fleet
        .until(0, "the frozen stage is down", |status| {
            is_state(status, "b1", "down")
        })
        .await;
    fleet.backends["b1"].sidecar.signal("CONT");

    end(&fleet, running).await;
    fleet.until_up().await;
}

/// The callers see whole answers although every connection to a stage went silent for good.
///
/// A relay before one stage takes bytes and passes nothing on, on the connections that it has; new
/// ones work. Heartbeats, frames and opens each find out by themselves and try a new connection; the
/// repeated frames change nothing at the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let mut fleet = Fleet::start(slow()).await;
    let relay = support::wire::Relay::start(fleet.backends["b1"].sidecar.line[1].clone()).await;
    let address = fleet.backends["b1"].sidecar.line[1].clone();
    let text = fleet.text.replace(&address, &relay.address);
    fleet.roll_out("relay.ini", &text).unwrap();
    fleet
        .until(0, "the relay is in use", |status| status["generation"] == 2)
        .await;
    fleet
        .until(1, "the relay is in use", |status| status["generation"] == 2)
        .await;
    fleet.until_up().await;
    let running = begin(&fleet, 8).await;

    relay.silence();

    end(&fleet, running).await;
}

/// Nobody's answer is cut, and each process exits 0.
///
/// A sidecar and then an entry get SIGTERM while streams run. The sidecar takes nothing new and ends
/// when its streams have; the entry turns new callers away with when to come back, and ends likewise.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_nothing() {
    let mut fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    fleet.backends["a1"].sidecar.signal("TERM");
    fleet
        .until(0, "the leaving stage drains", |status| {
            is_state(status, "a1", "draining")
        })
        .await;
    fleet.entries[1].signal("TERM");
    let turned_away = loop {
        let answer = fleet
            .caller(1)
            .send(Method::GET, "/v1/models", &[], "")
            .await
            .unwrap();
        if answer.status != StatusCode::OK {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };

    assert_eq!(turned_away.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(turned_away.headers.contains_key("retry-after"));
    end(&fleet, running).await;
    assert!(fleet.entries[1].ended().success());
    let leaver = &mut fleet.backends.get_mut("a1").unwrap().sidecar;
    assert!(leaver.ended().success());
}

/// A leaver gets nothing new, by the VM list or by the bundle; the lagging list kills nobody.
#[tokio::test(flavor = "multi_thread")]
async fn leavers_get_nothing_new() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let list = json!([{"server": "a1", "leaving": true}, {"server": "gone", "leaving": false}]);
    fleet.set_vms(&list).await;
    fleet
        .until(0, "a1 leaves", |status| is_state(status, "a1", "draining"))
        .await;
    let text = fleet
        .text
        .replace("[server b1]\n", "[server b1]\nin-use = false\n");
    let text = text.replace("[bundle]\n", "[bundle]\nconsent = shrink:writer\n");
    fleet.roll_out("leave.ini", &text).unwrap();
    fleet
        .until(0, "generation 2", |status| status["generation"] == 2)
        .await;
    let before = [ran(&fleet, "a1").await, ran(&fleet, "b1").await];

    for index in 0..20 {
        let prompt = format!("{PROMPT} {index}");
        fleet.caller(0).stream(MODEL, &prompt, 3).await.unwrap();
    }

    assert_eq!([ran(&fleet, "a1").await, ran(&fleet, "b1").await], before);
}

async fn ran(fleet: &Fleet, name: &str) -> Value {
    let url = format!("{}/v1/state", fleet.backends[name].url);
    fleet.page(&url).await["ran"].clone()
}
