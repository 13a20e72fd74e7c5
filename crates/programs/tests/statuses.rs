//! Services whose statuses no final response has.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use support::DESK;
use support::Fleet;
use support::Layout;
use support::PATIENCE;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const NOT_FINAL: [&str; 5] = [
    "000 None",
    "101 Switching Protocols",
    "600 None",
    "999 None",
    "20 Short",
];
/// The header of a request with the status and the reason of its response.
const STATUS: &str = "x-test-status";

/// Starts a service whose callers choose its statuses; returns its address and the number of requests.
async fn start_service() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let requests = Arc::new(AtomicUsize::new(0));
    let received = requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, received.clone()));
        }
    });
    (url, requests)
}

/// Answers one request; sidecars send each over a connection of its own.
async fn answer(mut stream: TcpStream, requests: Arc<AtomicUsize>) {
    let mut read = Vec::new();
    while !read.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut read).await.unwrap_or_default() == 0 {
            return;
        }
    }
    let head = String::from_utf8_lossy(&read).to_lowercase();
    let prefix = format!("{STATUS}: ");
    let status = head.lines().find_map(|line| line.strip_prefix(&prefix));
    if status.is_some() {
        requests.fetch_add(1, Ordering::Relaxed);
    }
    let status = status.unwrap_or("200 ok");
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\ntrue");
    let _caller_gone = stream.write_all(response.as_bytes()).await;
}

/// Waits until the service gets calls.
async fn until_served(fleet: &Fleet, path: &str) {
    let start = Instant::now();
    let caller = fleet.caller(0);
    loop {
        let answer = caller.send(Method::POST, path, &[], "yes").await.unwrap();
        if answer.status == StatusCode::OK && answer.body == "true" {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a status that is no final one being passed on as the answer to a call.
#[tokio::test(flavor = "multi_thread")]
async fn call_may_have_run_if_the_status_is_not_final() {
    let layout = Layout {
        stages: vec![("a1", "large", "0-12")],
        desks: vec!["d1"],
        entries: 1,
        ..Layout::default()
    };
    let mut fleet = Fleet::start(layout).await;
    let (url, requests) = start_service().await;
    fleet.move_sidecar("d1", &url);
    let path = format!("/services/{DESK}/approvals");
    until_served(&fleet, &path).await;
    let mut outcomes = Vec::new();

    for (number, status) in NOT_FINAL.iter().enumerate() {
        let key = format!("order-{number}");
        let headers = [("idempotency-key", key.as_str()), (STATUS, status)];
        let caller = fleet.caller(0);
        let answer = caller.send(Method::POST, &path, &headers, "yes").await;
        outcomes.push(match answer {
            Ok(answer) => {
                let verdict = answer.headers.get("jujube-verdict");
                let verdict = verdict.map(|verdict| verdict.to_str().unwrap().to_string());
                (answer.status, verdict)
            }
            Err(error) => panic!("{status}: {error:#}"),
        });
    }

    let failure = (StatusCode::BAD_GATEWAY, Some("may-have-run".to_string()));
    assert_eq!(outcomes, vec![failure; NOT_FINAL.len()]);
    assert_eq!(requests.load(Ordering::Relaxed), NOT_FINAL.len());
}
