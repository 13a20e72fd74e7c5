//! Calls to plain services under faults of separate processes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use jujube_local::caller::Answer;
use serde_json::json;
use support::DESK;
use support::Fleet;
use support::Layout;
use support::PATIENCE;
use support::streams::begin;
use support::streams::end;
use support::streams::slow;

/// Callers with a key are refused at once; those without one go on.
///
/// The key-value service is down while streams run. Streams and plain requests without a key need no
/// claim. A request with a key is refused as not run, with when to come back, and runs once when the
/// service is back.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_key_value_service() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 4).await;
    let kv = fleet.kv.line[1].clone();
    let path = format!("/services/{DESK}/approvals");
    let key = [("idempotency-key", "order-9")];

    fleet.fault(&kv, json!({"down": true})).await;
    let refused = fleet
        .caller(0)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();
    let without = fleet
        .caller(0)
        .send(Method::POST, &path, &[], "approve")
        .await
        .unwrap();
    let runs_in_outage = fleet.runs("order-9").await;
    fleet.fault(&kv, json!({"down": false})).await;
    let after = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["jujube-verdict"], "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(without.status, StatusCode::OK);
    assert_eq!(runs_in_outage, 0);
    assert_eq!(after.status, StatusCode::OK);
    assert_eq!(fleet.runs("order-9").await, 1);
    end(&fleet, running).await;
}

/// The caller who comes back through another entry is told the truth, and nothing runs twice.
///
/// An entry stands still while it holds a claim and its call runs. The same key comes through the
/// other entry: the first has not ended, and that is what the caller hears, at once. The first entry
/// wakes and gives its caller the answer; whoever asks then gets the same.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_that_holds_a_claim() {
    let fleet = Fleet::start(Layout::default()).await;
    let path = format!("/services/{DESK}/approvals?delay=700");
    let key = [("idempotency-key", "order-5")];
    let first = fleet.caller(0);
    let sent = path.clone();
    let first = tokio::spawn(async move { first.send(Method::POST, &sent, &key, "yes").await });
    until_run(&fleet, "order-5").await;

    fleet.entries[0].signal("STOP");
    let second = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "yes")
        .await
        .unwrap();
    fleet.entries[0].signal("CONT");
    let first = first.await.unwrap().unwrap();
    let third = until_answered(&fleet, 1, &path, "order-5").await;

    assert_eq!(second.status, StatusCode::CONFLICT);
    assert_eq!(second.headers["jujube-verdict"], "may-have-run");
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(third.body, first.body);
    assert_eq!(fleet.runs("order-5").await, 1);
}

/// Waits until a key has run.
async fn until_run(fleet: &Fleet, key: &str) {
    let start = Instant::now();
    while fleet.runs(key).await == 0 {
        assert!(start.elapsed() < PATIENCE, "{key} did not run");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks again until the first request's answer is there.
async fn until_answered(fleet: &Fleet, entry: usize, path: &str, key: &str) -> Answer {
    let start = Instant::now();
    loop {
        let headers = [("idempotency-key", key)];
        let answer = fleet
            .caller(entry)
            .send(Method::POST, path, &headers, "yes")
            .await
            .unwrap();
        if answer.status == StatusCode::OK {
            return answer;
        }
        assert!(start.elapsed() < PATIENCE, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The caller hears that the approval may have run, and it is not sent again.
///
/// The service is killed after it got the request and before it answered. The sidecar has handed the
/// bytes on, so that nobody may say "not run", and no other desk gets the request.
#[tokio::test(flavor = "multi_thread")]
async fn killed_service_may_have_run() {
    let fleet = Fleet::start(Layout::default()).await;
    let caller = fleet.caller(0);
    let path = format!("/services/{DESK}/approvals?delay=30000");
    let key = [("idempotency-key", "order-6")];
    let call = tokio::spawn(async move { caller.send(Method::POST, &path, &key, "yes").await });
    until_run(&fleet, "order-6").await;
    let ran_at = |name: &str| {
        let url = format!("{}/counter", fleet.backends[name].url);
        let fleet = &fleet;
        async move { fleet.page(&url).await["order-6"] == 1 }
    };
    let victim = if ran_at("d1").await { "d1" } else { "d2" };
    let other = if victim == "d1" { "d2" } else { "d1" };

    fleet.backends[victim].engine.signal("KILL");
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.headers["jujube-verdict"], "may-have-run");
    assert!(!ran_at(other).await);
}

/// The caller over its limit is told so at once, and its request truly does not run.
///
/// The customer may have one request in flight at an entry. While a slow approval runs, a second is
/// refused with when to come back; when the first has ended, there is room again.
#[tokio::test(flavor = "multi_thread")]
async fn customers_keep_to_their_limit_at_plain_services() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let text = fleet
        .text
        .replace("max-in-flight = 500", "max-in-flight = 1");
    fleet.roll_out("limit.ini", &text).unwrap();
    fleet
        .until(0, "generation 2", |status| status["generation"] == 2)
        .await;
    let path = format!("/services/{DESK}/approvals?delay=1000");
    let (first, second) = ([("idempotency-key", "one")], [("idempotency-key", "two")]);
    let caller = fleet.caller(0);
    let slow = path.clone();
    let slow = tokio::spawn(async move { caller.send(Method::POST, &slow, &first, "yes").await });
    until_run(&fleet, "one").await;

    let refused = fleet
        .caller(0)
        .send(Method::POST, &path, &second, "yes")
        .await
        .unwrap();
    let slow = slow.await.unwrap().unwrap();
    let runs_of_the_refused = fleet.runs("two").await;
    let after = until_answered(&fleet, 0, &path, "two").await;

    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.headers["jujube-verdict"], "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(runs_of_the_refused, 0);
    assert_eq!(slow.status, StatusCode::OK);
    assert_eq!(after.status, StatusCode::OK);
}
