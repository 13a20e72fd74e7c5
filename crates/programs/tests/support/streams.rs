//! Streams that are in their midst when a fault strikes.

use std::time::Duration;
use std::time::Instant;

use super::Fleet;
use super::Layout;
use super::MODEL;
use super::PATIENCE;
use jujube_local::caller::expected;
use serde_json::Value;

pub const PROMPT: &str = "a long note on tiles";
pub const TOKENS: usize = 150;

/// Steps slow enough that a stream of 150 tokens is in its midst when a fault strikes.
pub fn slow() -> Layout {
    Layout {
        base_micros: 1_500,
        ..Layout::default()
    }
}

/// Starts streams and waits until the tokens flow.
pub async fn begin(
    fleet: &Fleet,
    streams: usize,
) -> Vec<tokio::task::JoinHandle<anyhow::Result<String>>> {
    let running = (0..streams).map(|index| {
        let caller = fleet.caller(index % fleet.entries.len());
        tokio::spawn(async move {
            caller
                .stream(MODEL, &format!("{PROMPT} {index}"), TOKENS)
                .await
        })
    });
    let running: Vec<_> = running.collect();
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < PATIENCE, "no tokens flow");
        let mut ran = 0;
        for backend in fleet
            .backends
            .values()
            .filter(|b| b.engine.line[0] == "engine")
        {
            let state = fleet.page(&format!("{}/v1/state", backend.url)).await;
            ran += state["ran"].as_u64().unwrap_or(0);
        }
        // Prompts of 6 tokens and several tokens more, on every layer.
        if ran > streams as u64 * 12 * 12 {
            return running;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Checks that every stream ended whole and right.
pub async fn end(fleet: &Fleet, running: Vec<tokio::task::JoinHandle<anyhow::Result<String>>>) {
    for (index, stream) in running.into_iter().enumerate() {
        let text = stream.await.unwrap().unwrap();
        let prompt = format!("{PROMPT} {index}");
        assert_eq!(text, expected(&fleet.bundle, MODEL, &prompt, TOKENS));
    }
    assert_eq!(fleet.violations().await, 0);
}

pub fn is_state(status: &Value, server: &str, state: &str) -> bool {
    let servers = status["servers"].as_array().cloned().unwrap_or_default();
    servers
        .iter()
        .any(|found| found["server"] == server && found["state"] == state)
}
