//! Services that end their responses where nothing tells that these are whole.

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
use socket2::SockRef;
use support::DESK;
use support::Fleet;
use support::Layout;
use support::PATIENCE;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The header of a request with the kind of its response.
const KIND: &str = "x-test-kind";
const WHOLE: &str = "true";
/// How long the service waits before it resets a connection, so that all before arrived.
const PAUSE: Duration = Duration::from_millis(20);
/// The kinds of responses that are cut.
const CUT: [&str; 8] = [
    "none-empty",
    "none-short",
    "close-short",
    "old-short",
    "old-reset",
    "gzip-short",
    "identity-whole",
    "length-short",
];

/// Starts a service whose callers choose how its responses end; returns its address.
async fn start_service() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    url
}

/// Answers one request; sidecars send each over a connection of its own.
async fn answer(mut stream: TcpStream) {
    let mut read = Vec::new();
    while !read.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut read).await.unwrap_or_default() == 0 {
            return;
        }
    }
    let head = String::from_utf8_lossy(&read).to_lowercase();
    let prefix = format!("{KIND}: ");
    let kind = head.lines().find_map(|line| line.strip_prefix(&prefix));
    let (framing, end) = kind.unwrap_or("length-whole").split_once('-').unwrap();
    let _caller_gone = stream.write_all(response(framing, end).as_bytes()).await;
    tokio::time::sleep(PAUSE).await;
    if end == "reset" {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

fn response(framing: &str, end: &str) -> String {
    let version = if framing == "old" { "1.0" } else { "1.1" };
    let line = match framing {
        "length" => format!("content-length: {}\r\n", WHOLE.len()),
        "close" => "connection: close\r\n".into(),
        "gzip" | "identity" => format!("transfer-encoding: {framing}\r\n"),
        _ => String::new(),
    };
    let body = match end {
        "empty" => "",
        "whole" => WHOLE,
        _ => &WHOLE[..2],
    };
    format!("HTTP/{version} 200 OK\r\n{line}\r\n{body}")
}

async fn start_fleet() -> Fleet {
    let layout = Layout {
        stages: vec![("a1", "large", "0-12")],
        desks: vec!["d1"],
        entries: 1,
        ..Layout::default()
    };
    let mut fleet = Fleet::start(layout).await;
    fleet.move_sidecar("d1", &start_service().await);
    fleet
}

/// Sends a call; returns the body of a whole successful response.
async fn call(fleet: &Fleet, kind: &str, number: usize) -> Option<String> {
    let path = format!("/services/{DESK}/approvals");
    let key = format!("{kind}-{number}");
    let headers = [("idempotency-key", key.as_str()), (KIND, kind)];
    let caller = fleet.caller(0);
    let answer = caller.send(Method::POST, &path, &headers, "yes").await;
    let answer = answer
        .ok()
        .filter(|answer| answer.status == StatusCode::OK)?;
    Some(String::from_utf8(answer.body.to_vec()).unwrap())
}

/// Waits until the service answers calls, with responses of a kind.
async fn until_served(fleet: &Fleet, kind: &str) {
    let start = Instant::now();
    let mut number = 0;
    while call(fleet, kind, number).await.as_deref() != Some(WHOLE) {
        assert!(start.elapsed() < PATIENCE);
        tokio::time::sleep(Duration::from_millis(20)).await;
        number += 1;
    }
}

/// Guards against a response that was cut ending as a whole one at its caller.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_a_call_is_whole_only_if_something_proves_it() {
    let fleet = start_fleet().await;
    until_served(&fleet, "length-whole").await;
    let mut mistaken = Vec::new();

    for kind in CUT {
        let body = call(&fleet, kind, 0).await;
        mistaken.extend(body.map(|body| format!("{kind}: {body:?}")));
    }

    assert_eq!(mistaken, Vec::<String>::new());
}

/// Guards against callers of a service that never states lengths losing whole responses, and against
/// its empty ones and those that were reset looking whole.
#[tokio::test(flavor = "multi_thread")]
async fn service_without_lengths_is_served() {
    let fleet = start_fleet().await;
    until_served(&fleet, "old-whole").await;

    for kind in ["none-whole", "close-whole", "old-whole"] {
        let body = call(&fleet, kind, 100).await;
        assert_eq!(body.as_deref(), Some(WHOLE), "{kind}");
    }
    for kind in ["none-empty", "old-reset", "none-reset"] {
        assert_eq!(call(&fleet, kind, 100).await, None, "{kind}");
    }
}
