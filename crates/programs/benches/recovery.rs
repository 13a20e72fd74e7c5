//! How long callers wait when a stage dies, stands still, or its connections go silent.
//!
//! `cargo bench -p jujube-programs --bench recovery -- [TRIALS] [Kill|Freeze|Silence]`

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a benchmark that fails must panic"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use jujube_load::result::Recorder;
use jujube_program::http;
use serde_json::json;
use support::Fleet;
use support::KEY;
use support::Layout;
use support::MODEL;
use support::wire::Relay;

const TOKENS: usize = 100;
/// Tokens that are let flow before a fault strikes.
const BEFORE: usize = 15;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Freeze,
    Silence,
}

fn layout() -> Layout {
    Layout {
        desks: Vec::new(),
        entries: 1,
        base_micros: 500,
        ..Layout::default()
    }
}

#[tokio::main]
async fn main() {
    let words: Vec<String> = std::env::args().collect();
    let trials = words
        .iter()
        .find_map(|word| word.parse().ok())
        .unwrap_or(200);
    println!(
        "| fault | trials | longest gap p50 | p95 | worst | others' longest gap p95 | worst |"
    );
    println!("|---|---|---|---|---|---|---|");
    for fault in [Fault::Kill, Fault::Freeze, Fault::Silence] {
        let name = format!("{fault:?}");
        let others = ["Kill", "Freeze", "Silence"];
        let named = words.iter().any(|word| others.contains(&word.as_str()));
        if !named || words.contains(&name) {
            measure(fault, trials).await;
        }
    }
}

async fn measure(fault: Fault, trials: usize) {
    let mut fleet = Fleet::start(layout()).await;
    let mut struck = Recorder::default();
    let mut others = Recorder::default();
    let mut done = 0;
    while done < trials {
        let relay = match fault {
            Fault::Silence => Some(through_relay(&mut fleet, done).await),
            _ => None,
        };
        let gaps = trial(&mut fleet, fault, relay.as_ref()).await;
        let Some((longest, other)) = gaps else {
            continue;
        };
        struck.record(longest);
        others.record(other);
        done += 1;
    }
    println!(
        "| {fault:?} | {trials} | {:.0} ms | {:.0} ms | {:.0} ms | {:.0} ms | {:.0} ms |",
        struck.millis(0.5),
        struck.millis(0.95),
        struck.millis(1.0),
        others.millis(0.95),
        others.millis(1.0),
    );
}

/// Puts a relay before `b1`.
async fn through_relay(fleet: &mut Fleet, turn: usize) -> Relay {
    let relay = Relay::start(fleet.backends["b1"].sidecar.line[1].clone()).await;
    let address = fleet.backends["b1"].sidecar.line[1].clone();
    let text = fleet.text.replace(&address, &relay.address);
    fleet.roll_out(&format!("relay-{turn}.ini"), &text).unwrap();
    let generation = turn + 2;
    fleet
        .until(0, "the relay is in use", |status| {
            status["generation"] == generation
        })
        .await;
    fleet.until_up().await;
    relay
}

/// Runs four streams, strikes `b1`, and returns the longest gap of those that used it and of the
/// others; `None` when no stream, or every one, used it.
async fn trial(
    fleet: &mut Fleet,
    fault: Fault,
    relay: Option<&Relay>,
) -> Option<(Duration, Duration)> {
    const STREAMS: usize = 4;
    let url = fleet.entries[0].line[1].clone();
    let (flowing, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let running =
        (0..STREAMS).map(|index| tokio::spawn(stream(url.clone(), index, flowing.clone())));
    let running: Vec<_> = running.collect();
    for _ in 0..STREAMS {
        heard.recv().await.expect("tokens flow");
    }
    let held = held(fleet, "b1").await;

    let struck_at = Instant::now();
    let sidecar = &fleet.backends["b1"].sidecar;
    match fault {
        Fault::Kill => {
            sidecar.signal("KILL");
            fleet.backends["b1"].engine.signal("KILL");
        }
        Fault::Freeze => sidecar.signal("STOP"),
        Fault::Silence => relay.unwrap().silence(),
    }
    let mut gaps = Vec::new();
    for stream in running {
        gaps.push(stream.await.unwrap().longest_after(struck_at));
    }
    match fault {
        Fault::Kill => fleet.revive("b1"),
        Fault::Freeze => fleet.backends["b1"].sidecar.signal("CONT"),
        Fault::Silence => {}
    }
    fleet.until_up().await;
    if held == 0 || held >= STREAMS as u64 {
        return None;
    }
    gaps.sort();
    let others = STREAMS - held as usize;
    Some((gaps[STREAMS - 1], gaps[others - 1]))
}

async fn held(fleet: &Fleet, name: &str) -> u64 {
    let url = format!("{}/v1/state", fleet.backends[name].url);
    fleet.page(&url).await["requests"].as_u64().unwrap_or(0)
}

/// When each token of a stream came.
struct Times(Vec<Instant>);

impl Times {
    fn longest_after(&self, from: Instant) -> Duration {
        let gaps = self.0.windows(2).filter(|pair| pair[1] >= from);
        gaps.map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }
}

async fn stream(
    url: String,
    index: usize,
    flowing: tokio::sync::mpsc::UnboundedSender<()>,
) -> Times {
    let body = json!({
        "model": MODEL, "prompt": format!("stream {index}"), "max_tokens": TOKENS, "stream": true,
    });
    let request = Request::post(format!("{url}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(http::whole(body.to_string()))
        .unwrap();
    let client = http::Client::new(Duration::from_secs(2));
    let mut body: Incoming = client.send(request).await.unwrap().into_body();
    let mut times = Vec::new();
    let mut last = Vec::new();
    while let Some(frame) = body.frame().await {
        times.push(Instant::now());
        if times.len() == BEFORE {
            flowing.send(()).unwrap();
        }
        last = frame.unwrap().into_data().unwrap_or_default().to_vec();
    }
    assert!(
        String::from_utf8_lossy(&last).contains("[DONE]"),
        "the stream was cut"
    );
    Times(times)
}
