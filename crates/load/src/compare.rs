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
    /// Positions a second, of prompts and answers.
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

/// Keeps a number of streams running through a policy and returns the rate of positions.
///
/// Counted at the engines between two moments in full stride: counting whole answers would take the
/// ramp and the slowest stream's end for a lower rate.
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
    let bound = bound::engines(&cluster.bundle, &Service::from(load.model.as_str()));
    let end = Instant::now() + WARM_UP + load.length;
    let streams = (0..load.streams).map(|number| {
        let caller = Caller::new(&cluster.url(0), &load.key);
        let load = load.clone();
        tokio::spawn(async move { keep(caller, load, number, end).await })
    });
    let streams: Vec<_> = streams.collect();
    tokio::time::sleep(WARM_UP).await;
    let before = ran(&cluster);
    tokio::time::sleep(load.length).await;
    let layers = model_layers(&cluster, load);
    let rate = (ran(&cluster) - before) as f64 / layers / load.length.as_secs_f64();
    for stream in streams {
        stream.await??;
    }
    cluster.drain().await;
    Ok(Point {
        streams: load.streams,
        rate,
        bound,
    })
}

/// Until every stream has got into its stride.
const WARM_UP: Duration = Duration::from_secs(2);

/// Returns how many layer-positions all engines have run for the first time.
fn ran(cluster: &Cluster) -> u64 {
    let engines = cluster
        .backends
        .values()
        .filter_map(|backend| backend.engine.as_ref());
    engines.map(|engine| engine.state().ran).sum()
}

fn model_layers(cluster: &Cluster, load: &Load) -> f64 {
    let offer = cluster
        .bundle
        .services
        .get(&Service::from(load.model.as_str()));
    offer.map_or(1.0, |offer| f64::from(offer.layers))
}

async fn keep(caller: Caller, load: Load, number: usize, end: Instant) -> Result<()> {
    let mut turn = 0;
    while Instant::now() < end {
        let prompt = format!("stream {number} turn {turn}");
        caller.stream(&load.model, &prompt, load.max_tokens).await?;
        turn += 1;
    }
    Ok(())
}
