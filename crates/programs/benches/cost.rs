//! What entries and sidecars cost, as separate processes: memory at rest, heartbeats, tokens.
//!
//! `cargo bench -p jujube-programs --bench cost`

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a benchmark that fails must panic"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujube_local::caller::Caller;
use support::Fleet;
use support::Layout;
use support::MODEL;
use support::wire::Relay;

const MICROS_A_TICK: f64 = 10_000.0;

/// A fleet with so many backend servers of each of three kinds.
fn layout(each: usize) -> Layout {
    let kinds = [
        ("a", "large", "0-4"),
        ("b", "mid", "4-8"),
        ("c", "small", "8-12"),
    ];
    let stages = kinds.into_iter().flat_map(|(kind, accelerator, layers)| {
        (0..each).map(move |index| {
            let name: &'static str = Box::leak(format!("{kind}{index}").into_boxed_str());
            (name, accelerator, layers)
        })
    });
    Layout {
        stages: stages.collect(),
        desks: vec!["d0"],
        entries: 1,
        base_micros: 20,
        slots: 600,
        ..Layout::default()
    }
}

#[tokio::main]
async fn main() {
    println!("| what | at | value |");
    println!("|---|---|---|");
    for each in [1, 4, 8] {
        idle(each).await;
    }
    heartbeat_bytes().await;
    for streams in [60, 240, 480] {
        tokens(streams).await;
    }
}

/// An idle entry and its sidecars: only control runs.
async fn idle(each: usize) {
    const LENGTH: Duration = Duration::from_secs(6);
    let fleet = Fleet::start(layout(each)).await;
    let sidecars = fleet.backends.len();
    let entry = &fleet.entries[0];
    let sidecar = &fleet.backends["a0"].sidecar;
    let before = (entry.ticks(), sidecar.ticks());
    tokio::time::sleep(LENGTH).await;
    let spent = (entry.ticks() - before.0, sidecar.ticks() - before.1);
    let share = |ticks: u64| ticks as f64 * MICROS_A_TICK / LENGTH.as_micros() as f64 * 100.0;
    println!(
        "| entry at rest, memory | {sidecars} sidecars | {} KiB |",
        entry.resident()
    );
    println!(
        "| sidecar at rest, memory | {sidecars} sidecars | {} KiB |",
        sidecar.resident()
    );
    println!(
        "| entry at rest, of a core | {sidecars} sidecars | {:.2}% |",
        share(spent.0)
    );
    println!(
        "| sidecar at rest, of a core | {sidecars} sidecars | {:.2}% |",
        share(spent.1)
    );
}

/// Bytes of one heartbeat, counted by a relay.
async fn heartbeat_bytes() {
    const LENGTH: Duration = Duration::from_secs(5);
    let mut fleet = Fleet::start(layout(1)).await;
    let address = fleet.backends["a0"].sidecar.line[1].clone();
    let relay = Relay::start(address.clone()).await;
    let text = fleet.text.replace(&address, &relay.address);
    fleet.roll_out("relay.ini", &text).unwrap();
    fleet
        .until(0, "the relay is in use", |status| status["generation"] == 2)
        .await;
    fleet.until_up().await;
    let before = relay.bytes.load(Ordering::SeqCst);
    tokio::time::sleep(LENGTH).await;
    let bytes = relay.bytes.load(Ordering::SeqCst) - before;
    let each = bytes as f64 / LENGTH.as_secs_f64();
    println!(
        "| heartbeats to one idle sidecar, every 500 ms | payload both ways | {each:.0} B/s |"
    );

    let before = relay.bytes.load(Ordering::SeqCst);
    let caller = fleet.caller(0);
    let text = caller.stream(MODEL, "one two three", 400).await.unwrap();
    assert!(!text.is_empty());
    let bytes = relay.bytes.load(Ordering::SeqCst) - before;
    let each = bytes as f64 / 402.0;
    println!("| first stage, one stream | payload both ways | {each:.0} B a position |");
}

/// Processor time for each token.
async fn tokens(streams: usize) {
    const TOKENS: usize = 256;
    let fleet = Fleet::start(layout(1)).await;
    let caller = fleet.caller(0);
    caller.stream(MODEL, "warm up", 8).await.unwrap();
    let entry = &fleet.entries[0];
    let sidecar = &fleet.backends["b0"].sidecar;
    let before = (entry.ticks(), sidecar.ticks());
    let start = Instant::now();
    let running = (0..streams).map(|index| stream(caller.clone(), index, TOKENS));
    futures::future::join_all(running).await;
    let seconds = start.elapsed().as_secs_f64();
    let total = (streams * TOKENS) as f64;
    let spent = (entry.ticks() - before.0, sidecar.ticks() - before.1);
    let each = |ticks: u64| ticks as f64 * MICROS_A_TICK / total;
    println!(
        "| token rate | {streams} streams | {:.0} a second |",
        total / seconds
    );
    println!(
        "| entry, a token | {streams} streams | {:.1} microseconds |",
        each(spent.0)
    );
    println!(
        "| sidecar, a position | {streams} streams | {:.1} microseconds |",
        each(spent.1)
    );
    println!(
        "| entry, memory | {streams} streams | {} KiB |",
        entry.resident()
    );
}

async fn stream(caller: Caller, index: usize, tokens: usize) {
    let prompt = format!("stream {index}");
    caller
        .stream(MODEL, &prompt, tokens)
        .await
        .expect("a whole answer");
}
