//! The whole path as separate processes, without faults.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use hyper::Method;
use hyper::StatusCode;
use jujube_local::caller::expected;
use serde_json::Value;
use serde_json::json;
use support::DESK;
use support::Fleet;
use support::Layout;
use support::MODEL;

/// Each of 64 callers sees its own whole answer.
///
/// They stream at once through two entries; every answer crosses three stages on three kinds of
/// accelerator. The naive version runs the same prompts in one process, and the engines refuse any
/// position that is run twice or left out.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_streams_match_the_naive_version() {
    const REQUESTS: usize = 64;
    const TOKENS: usize = 20;
    let fleet = Fleet::start(Layout::default()).await;

    let streams = (0..REQUESTS).map(|index| {
        let caller = fleet.caller(index % 2);
        async move {
            let prompt = format!("request {index} about tiles and lagging");
            let text = caller.stream(MODEL, &prompt, TOKENS).await;
            (prompt, text)
        }
    });
    let answers = futures::future::join_all(streams).await;

    for (prompt, text) in answers {
        let wanted = expected(&fleet.bundle, MODEL, &prompt, TOKENS);
        assert_eq!(text.expect(&prompt), wanted, "{prompt}");
    }
    assert_eq!(fleet.violations().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_apart_and_refused_honestly() {
    let fleet = Fleet::start(Layout::default()).await;
    let caller = fleet.caller(0);
    let stranger = jujube_local::caller::Caller::new(&fleet.entries[0].line[1], "stranger");
    let completion = |body: Value| {
        let caller = caller.clone();
        async move {
            let answer = caller.send(Method::POST, "/v1/completions", &[], body.to_string());
            answer.await.unwrap()
        }
    };

    let models = caller
        .send(Method::GET, "/v1/models", &[], "")
        .await
        .unwrap();
    let unknown_key = stranger
        .send(Method::GET, "/v1/models", &[], "")
        .await
        .unwrap();
    let unknown_model = completion(json!({"model": "none", "prompt": "x"})).await;
    let no_prompt = completion(json!({"model": MODEL, "prompt": ""})).await;
    let whole = completion(json!({"model": MODEL, "prompt": "one two", "max_tokens": 3})).await;

    assert_eq!(models.json()["data"][0]["id"], MODEL);
    assert_eq!(unknown_key.status, StatusCode::UNAUTHORIZED);
    assert_eq!(unknown_key.json()["verdict"], "not-run");
    assert_eq!(unknown_key.headers["jujube-verdict"], "not-run");
    assert_eq!(unknown_model.status, StatusCode::NOT_FOUND);
    assert_eq!(no_prompt.status, StatusCode::BAD_REQUEST);
    assert_eq!(whole.status, StatusCode::OK);
    assert_eq!(whole.json()["usage"]["completion_tokens"], 3);
    assert_eq!(whole.json()["usage"]["prompt_tokens"], 2);
    let text = whole.json()["choices"][0]["text"]
        .as_str()
        .unwrap()
        .to_string();
    assert_eq!(text, expected(&fleet.bundle, MODEL, "one two", 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_run_once_for_each_key() {
    let fleet = Fleet::start(Layout::default()).await;
    let path = format!("/services/{DESK}/approvals?order=7");
    let key = [("idempotency-key", "order-7")];

    let first = fleet
        .caller(0)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();
    let again = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();
    let other = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "reject")
        .await
        .unwrap();
    let echo = format!("/services/{DESK}/echo");
    let long = "x".repeat(3_000_000);
    let echoed = fleet
        .caller(0)
        .send(Method::POST, &echo, &[], long.clone())
        .await
        .unwrap();

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(first.json()["path"], "/approvals");
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(again.body, first.body);
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.json()["verdict"], "not-run");
    assert_eq!(fleet.runs("order-7").await, 1);
    assert_eq!(echoed.body, long);
}

/// Each process tells what it knows, and the operators' tool shows it.
#[tokio::test(flavor = "multi_thread")]
async fn every_process_has_a_status() {
    let fleet = Fleet::start(Layout::default()).await;
    let sidecar = &fleet.backends["d1"].sidecar;
    for entry in 0..2 {
        fleet
            .until(entry, "all heard of generation 1", |status| {
                let servers = status["servers"].as_array().cloned().unwrap_or_default();
                servers.iter().all(|server| server["generation"] == 1)
            })
            .await;
    }

    let page = fleet
        .page(&format!("http://{}/status", sidecar.line[3]))
        .await;
    let entry = fleet.status(0).await;
    let shown = support::ctl(&["status", "--settings", &fleet.path("ctl.ini")]).unwrap();

    assert_eq!(page["role"], "sidecar");
    assert_eq!(page["server"], "d1");
    assert_eq!(page["generation"], 1);
    assert_eq!(entry["role"], "entry");
    assert_eq!(
        shown.matches("generation 1").count(),
        2 + 2 * fleet.backends.len()
    );
    assert!(shown.contains("bound"), "{shown}");
}
