//! Ways of choosing paths, side by side, on the same cluster and the same load.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use anyhow::anyhow;
use jujube_core::name::Service;
use jujube_core::path;
use jujube_core::path::Policy;
use jujube_local::cluster::Cluster;
use jujube_local::cluster::Plan;
use jujube_program::http;
use tokio::time::Instant;

use crate::bound;
use crate::drive;
use crate::experiment::Experiment;
use crate::result::Recorder;

/// One measured point.
#[derive(Clone, Copy, Debug, Default)]
pub struct Point {
    /// Streams at a time.
    pub streams: usize,
    /// Positions a second, of prompts and answers.
    pub rate: f64,
    /// The bound.
    pub bound: f64,
    /// Milliseconds between tokens, for 95 in 100.
    pub between_p95: f64,
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
    let experiment = Arc::new(Experiment {
        entries: vec![cluster.url(0)],
        key: load.key.clone(),
        model: load.model.clone(),
        prompt_words: 4,
        max_tokens: load.max_tokens,
        ..Experiment::default()
    });
    let end = Instant::now() + WARM_UP + load.length;
    let streams =
        (0..load.streams).map(|number| tokio::spawn(keep(experiment.clone(), number, end)));
    let streams: Vec<_> = streams.collect();
    tokio::time::sleep(WARM_UP).await;
    let before = ran(&cluster);
    tokio::time::sleep(load.length).await;
    let layers = model_layers(&cluster, load);
    let rate = (ran(&cluster) - before) as f64 / layers / load.length.as_secs_f64();
    let mut between = Recorder::default();
    for stream in streams {
        between.add(&stream.await??);
    }
    cluster.drain().await;
    Ok(Point {
        streams: load.streams,
        rate,
        bound,
        between_p95: between.millis(0.95),
    })
}

const CONNECT: Duration = Duration::from_secs(2);

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

async fn keep(experiment: Arc<Experiment>, number: usize, end: Instant) -> Result<Recorder> {
    let client = http::Client::new(CONNECT);
    let mut between = Recorder::default();
    while Instant::now() < end {
        let now = Instant::now();
        let sample = drive::stream(experiment.clone(), client.clone(), number, now).await;
        sample
            .ended
            .map_err(|why| anyhow!("a stream failed: {why}"))?;
        for gap in sample.between {
            between.record(gap);
        }
    }
    Ok(between)
}
