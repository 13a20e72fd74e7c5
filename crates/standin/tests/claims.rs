//! Claims and watches against the stand-in key-value service.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use jujube_core::claim::Outcome;
use jujube_core::claim::Progress;
use jujube_core::claim::Record;
use jujube_core::fence::Token;
use jujube_core::request::BootId;
use jujube_core::request::Request;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::http;
use jujube_program::shutdown;
use jujube_standin::kv::Service;
use jujube_store::claims::Claims;
use jujube_store::claims::Grouping;
use jujube_store::kv::Condition;
use jujube_store::kv::Etcd;
use jujube_store::kv::Revision;
use jujube_store::kv::Store;
use jujube_store::kv::Write;
use jujube_store::orders;
use tokio::net::TcpListener;

async fn service() -> (String, shutdown::Trigger) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (trigger, stop) = shutdown::pair();
    tokio::spawn(Service::default().serve(listener, stop));
    (url, trigger)
}

async fn calls(url: &str) -> BTreeMap<String, u64> {
    let client = http::Client::new(Duration::from_secs(1));
    let calls = client
        .get(&format!("{url}/calls"), Duration::from_secs(5))
        .await;
    calls.unwrap()
}

fn record(nonce: &str) -> Record {
    Record {
        nonce: nonce.into(),
        call: Request::default(),
        fingerprint: "f".into(),
        server: "s".into(),
        sidecar: BootId(1),
        at: 0,
        progress: Progress::Held,
    }
}

fn grouping() -> Grouping {
    Grouping {
        delay: Duration::from_millis(200),
        most: 64,
    }
}

#[tokio::test]
async fn claims_share_a_transaction_and_a_lease() {
    const CLAIMS: usize = 50;
    let (url, _trigger) = service().await;
    let claims = Claims::start(Etcd::new(&url), grouping());

    let all = (0..CLAIMS).map(|index| {
        let claims = claims.clone();
        async move { claims.create(&format!("k{index}"), &record("n")).await }
    });
    let outcomes = futures::future::join_all(all).await;

    assert!(outcomes.iter().all(|outcome| *outcome == Outcome::Created));
    let calls = calls(&url).await;
    assert_eq!(calls["/v3/kv/txn"], 1);
    assert_eq!(calls["/v3/lease/grant"], 1);
}

/// One of two callers with the same key in one group wins, and the rest of the group is not hurt.
#[tokio::test]
async fn same_key_in_one_group_is_claimed_once() {
    let (url, _trigger) = service().await;
    let claims = Claims::start(Etcd::new(&url), grouping());
    let (first, second) = (record("one"), record("two"));

    let (one, two, other) = tokio::join!(
        claims.create("same", &first),
        claims.create("same", &second),
        claims.create("other", &second),
    );

    let created = [&one, &two]
        .into_iter()
        .filter(|o| **o == Outcome::Created)
        .count();
    assert_eq!(created, 1);
    assert_eq!(other, Outcome::Created);
}

/// A release must not clear a successor's claim.
#[tokio::test]
async fn only_the_exact_record_is_removed_or_replaced() {
    let (url, _trigger) = service().await;
    let claims = Claims::start(Etcd::new(&url), Grouping::default());
    claims.create("k", &record("one")).await;

    claims.remove("k", &record("two")).await;
    let kept = claims.read("k").await;
    let replaced = claims.replace("k", &record("two"), &record("three")).await;
    claims.remove("k", &record("one")).await;
    let gone = claims.read("k").await;

    assert_eq!(kept, Outcome::Found(record("one")));
    assert_eq!(replaced, Outcome::Found(record("one")));
    assert_eq!(gone, Outcome::Absent);
}

#[tokio::test]
async fn watches_report_a_change() {
    let (url, _trigger) = service().await;
    let store = Etcd::new(&url);
    let watching = store.clone();
    let watch = tokio::spawn(async move { watching.changed("k", Revision(0)).await });
    let condition = Condition {
        key: "k".into(),
        revision: Revision(0),
    };
    let write = Write::Put {
        key: "k".into(),
        value: "v".into(),
        lease: None,
    };

    assert!(store.swap(&[condition], &[write]).await.unwrap());
    let changed = watch.await.unwrap().unwrap().unwrap();

    assert_eq!(changed.value, "v");
}

/// Two holders never share a fencing number, and a second comes only when the first's lease ended.
#[tokio::test]
async fn order_lease_has_one_holder() {
    let (url, _trigger) = service().await;
    let store = Etcd::new(&url);

    let first = orders::acquire(&store, Instant(0), Span(9_000), "one", Token(0))
        .await
        .unwrap();
    let second = orders::acquire(&store, Instant(0), Span(9_000), "two", Token(0))
        .await
        .unwrap();
    let current = orders::current(&store).await.unwrap();

    let (holder, _lease) = first.unwrap();
    assert!(second.is_none());
    assert_eq!(current, holder.token);
}
