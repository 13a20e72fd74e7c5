//! Ways of choosing paths, side by side, on the same cluster and the same load.

use std::time::Duration;

use anyhow::Result;
use jujube_core::name::Service;
use jujube_core::path;
use jujube_core::path::Policy;
use jujube_local::caller::Caller;
use jujube_local::cluster::Cluster;
use jujube_local::cluster::Plan;
use tokio::time::Instant;

use crate::bound;

/// One measured point.
#[derive(Clone, Copy, Debug, Default)]
pub struct Point {
    /// Streams at a time.
    pub streams: usize,
    /// Tokens a second.
    pub rate: f64,
    /// The bound.
    pub bound: f64,
}

/// What is compared on.
#[derive(Clone, Debug)]
pub struct Load {
    /// The bundle's text.
    pub bundle: String,
    /// The model.
    pub model: String,
    /// The API key.
    pub key: String,
    /// How many streams run at a time.
    pub streams: usize,
    /// Tokens of each.
    pub max_tokens: usize,
    /// How long.
    pub length: Duration,
}

/// Keeps a number of streams running through a policy and returns the token rate.
///
/// # Errors
///
/// The cluster does not start, or a stream fails.
pub async fn run(load: &Load, policy: Policy) -> Result<Point> {
    let mut plan = Plan {
        bundle: load.bundle.clone(),
        base_micros: 0,
        ..Plan::default()
    };
    plan.entry.path = path::Settings {
        policy,
        ..path::Settings::default()
    };
    let cluster = Cluster::start(plan).await?;
    let table = bound::table(&cluster.bundle, &Service::from(load.model.as_str()));
    let start = Instant::now();
    let end = start + load.length;
    let streams = (0..load.streams).map(|number| {
        let caller = Caller::new(&cluster.url(0), &load.key);
        let load = load.clone();
        tokio::spawn(async move { keep(caller, load, number, end).await })
    });
    let streams: Vec<_> = streams.collect();
    let mut tokens = 0;
    for stream in streams {
        tokens += stream.await??;
    }
    let rate = tokens as f64 / start.elapsed().as_secs_f64();
    cluster.drain().await;
    Ok(Point {
        streams: load.streams,
        rate,
        bound: table.rate,
    })
}

async fn keep(caller: Caller, load: Load, number: usize, end: Instant) -> Result<usize> {
    let mut tokens = 0;
    let mut turn = 0;
    while Instant::now() < end {
        let prompt = format!("stream {number} turn {turn}");
        caller.stream(&load.model, &prompt, load.max_tokens).await?;
        // Prompt positions cost the engines as much as tokens do.
        tokens += load.max_tokens + prompt.split(' ').count() - 1;
        turn += 1;
    }
    Ok(tokens)
}
