//! Open-loop load: requests are sent when they are due, however the earlier ones fare.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use jujube_program::http;
use serde_json::json;
use tokio::time::Instant;

use crate::arrivals;
use crate::experiment::Experiment;
use crate::result::Outcome;
use crate::result::Recorder;

/// How long one answer may take.
const PATIENCE: Duration = Duration::from_secs(120);

#[derive(Default)]
struct Sums {
    whole: u64,
    failures: BTreeMap<String, u64>,
    first: Recorder,
    between: Recorder,
}

/// Runs an experiment; `progress` hears of each second.
///
/// Latency counts from when a request was due, not from when it was sent: a generator that waits for
/// a slow system would leave out just the requests that would have waited longest.
pub async fn run(experiment: &Experiment, progress: impl Fn(u64, u64)) -> Outcome {
    let times = arrivals::times(
        experiment.pattern,
        experiment.per_second,
        experiment.length,
        experiment.seed,
    );
    let client = http::Client::new(Duration::from_secs(2));
    let shared = Arc::new(experiment.clone());
    let start = Instant::now();
    let mut running = tokio::task::JoinSet::new();
    let mut sums = Sums::default();
    let mut said = 0;
    for (number, due) in times.iter().enumerate() {
        let due = start + *due;
        tokio::time::sleep_until(due).await;
        let stream = stream(shared.clone(), client.clone(), number, due);
        running.spawn(stream);
        let second = start.elapsed().as_secs();
        if second > said {
            said = second;
            progress(second, number as u64 + 1);
        }
    }
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok(sample) => sums.add(sample),
            Err(error) => *sums.failures.entry(error.to_string()).or_default() += 1,
        }
    }
    sums.outcome(
        experiment,
        times.len() as u64,
        start.elapsed().as_secs_f64(),
    )
}

/// What one request gave.
pub(crate) struct Sample {
    pub(crate) ended: Result<(), String>,
    first: Option<Duration>,
    pub(crate) between: Vec<Duration>,
}

impl Sums {
    fn add(&mut self, sample: Sample) {
        match sample.ended {
            Ok(()) => self.whole += 1,
            Err(kind) => *self.failures.entry(kind).or_default() += 1,
        }
        if let Some(first) = sample.first {
            self.first.record(first);
        }
        for gap in sample.between {
            self.between.record(gap);
        }
    }

    fn outcome(self, experiment: &Experiment, requests: u64, seconds: f64) -> Outcome {
        let tokens = self.whole * experiment.max_tokens as u64;
        Outcome {
            name: experiment.name.clone(),
            seconds,
            requests,
            whole: self.whole,
            failures: self.failures,
            tokens,
            tokens_per_second: tokens as f64 / seconds.max(f64::EPSILON),
            first_token: self.first.distribution(),
            between_tokens: self.between.distribution(),
        }
    }
}

/// Sends one request and reads its answer.
pub(crate) async fn stream(
    experiment: Arc<Experiment>,
    client: http::Client,
    number: usize,
    due: Instant,
) -> Sample {
    let mut sample = Sample {
        ended: Ok(()),
        first: None,
        between: Vec::new(),
    };
    let answer = read(&experiment, &client, number, due, &mut sample);
    let ended = tokio::time::timeout(PATIENCE, answer).await;
    sample.ended = ended.unwrap_or_else(|_| Err("timeout".into()));
    sample
}

async fn read(
    experiment: &Experiment,
    client: &http::Client,
    number: usize,
    due: Instant,
    sample: &mut Sample,
) -> Result<(), String> {
    let words = (0..experiment.prompt_words).map(|word| format!("w{number}-{word}"));
    let prompt = words.collect::<Vec<_>>().join(" ");
    let body = json!({
        "model": experiment.model,
        "prompt": prompt,
        "max_tokens": experiment.max_tokens,
        "stream": true,
    });
    let entry = &experiment.entries[number % experiment.entries.len().max(1)];
    let request = Request::post(format!("{entry}/v1/completions"))
        .header(AUTHORIZATION, format!("Bearer {}", experiment.key))
        .body(http::whole(body.to_string()))
        .map_err(|error| error.to_string())?;
    let response = client
        .send(request)
        .await
        .map_err(|_| "no answer".to_string())?;
    if !response.status().is_success() {
        return Err(response.status().as_u16().to_string());
    }
    read_events(response.into_body(), due, sample).await
}

async fn read_events(mut body: Incoming, due: Instant, sample: &mut Sample) -> Result<(), String> {
    const DONE: &[u8] = b"data: [DONE]";
    const ERROR: &[u8] = b"event: error";
    let mut last = None;
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| "cut".to_string())?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let now = Instant::now();
        match last.replace(now) {
            None => sample.first = Some(now - due),
            Some(before) => sample.between.push(now - before),
        }
        tail.clear();
        tail.extend_from_slice(data);
    }
    let has = |what: &[u8]| tail.windows(what.len()).any(|window| window == what);
    if has(ERROR) {
        return Err("error event".into());
    }
    if has(DONE) {
        return Ok(());
    }
    Err("cut".into())
}
