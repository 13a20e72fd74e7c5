//! The stand-in model engine: it holds a range of layers, batches what has gathered, and refuses to
//! run a position twice or with a gap.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujube_core::fence::Token;
use jujube_core::layer::Range;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_program::shutdown::Signal;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::fault::Fault;
use crate::fault::Switch;
use crate::model;

/// What an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The model's layers.
    pub layers: u32,
    /// The layers held.
    pub held: Range,
    /// Microseconds that one layer takes for a batch of any size. The users' figures were cut off:
    /// an assumption.
    pub base_micros: u64,
    /// Layer-tokens a second at the plateau; an assumption as well.
    pub layer_tokens: u64,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            layers: 12,
            held: Range::new(0, 12),
            base_micros: 20,
            layer_tokens: 100_000,
            fences: true,
        }
    }
}

/// `POST /v1/step`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Which request.
    pub request: String,
    /// Which layers.
    pub layers: Range,
    /// The position of the first input.
    pub first: u64,
    /// Tokens or activations.
    pub inputs: Vec<u64>,
    /// Whether these positions ran before elsewhere.
    pub rebuild: bool,
}

/// Its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stepped {
    /// Activations, or tokens from the last layer.
    pub outputs: Vec<u64>,
}

/// `POST /v1/free`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Free {
    /// Which request.
    pub request: String,
}

/// `POST /v1/order`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub token: Token,
    /// The layers to hold.
    pub layers: Range,
}

/// `GET /v1/state`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The layers held.
    pub held: Range,
    /// Requests with a cache.
    pub requests: usize,
    /// Layer-positions run for the first time.
    pub ran: u64,
    /// Layer-positions run to rebuild a cache.
    pub rebuilt: u64,
    /// Steps refused because a position was repeated or left out.
    pub violations: u64,
    /// The largest fencing number of an order.
    pub token: Token,
}

#[derive(Default)]
struct Sequence {
    position: u64,
    caches: HashMap<u32, model::Cache>,
    layers: Option<Range>,
}

#[derive(Default)]
struct Inner {
    state: State,
    sequences: HashMap<String, Sequence>,
}

struct Job {
    step: Step,
    answer: oneshot::Sender<Option<Stepped>>,
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    settings: Settings,
    inner: Arc<Mutex<Inner>>,
    jobs: mpsc::UnboundedSender<Job>,
    /// The faults.
    pub switch: Switch,
}

impl Engine {
    /// Starts an engine. Must be called inside a runtime.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let mut inner = Inner::default();
        inner.state.held = settings.held;
        let engine = Self {
            settings,
            inner: Arc::new(Mutex::new(inner)),
            jobs,
            switch: Switch::default(),
        };
        tokio::spawn(engine.clone().batch(receiver));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counters.
    #[must_use]
    pub fn state(&self) -> State {
        let inner = self.lock();
        State {
            requests: inner.sequences.len(),
            ..inner.state.clone()
        }
    }

    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// The listener fails for good.
    pub async fn serve(self, listener: TcpListener, stop: Signal) -> io::Result<()> {
        let handler = move |request| {
            let engine = self.clone();
            async move { engine.answer(request).await }
        };
        http::serve(listener, stop, handler).await
    }

    /// Runs what has gathered in one batch after the other.
    async fn batch(self, mut receiver: mpsc::UnboundedReceiver<Job>) {
        const LARGEST: usize = 64;
        const GRAIN_MICROS: i64 = 1_000;
        const IDLE: Duration = Duration::from_micros(200);
        let mut debt = 0;
        let mut batch = Vec::new();
        let mut waiting_since = tokio::time::Instant::now();
        while receiver.recv_many(&mut batch, LARGEST).await > 0 {
            // Time that a timer overslept counts for the next batch, but not across an idle spell:
            // a busy engine would else lose up to a millisecond in each batch.
            if waiting_since.elapsed() > IDLE {
                debt = debt.max(0);
            }
            debt += self.takes(&batch).as_micros() as i64;
            // The timer's grain is a millisecond: shorter steps are saved up.
            if debt >= GRAIN_MICROS {
                let start = tokio::time::Instant::now();
                tokio::time::sleep(Duration::from_micros(debt.unsigned_abs())).await;
                debt -= start.elapsed().as_micros() as i64;
            }
            for job in batch.drain(..) {
                let stepped = self.run(&job.step);
                let _caller_gone = job.answer.send(stepped);
            }
            waiting_since = tokio::time::Instant::now();
        }
    }

    fn takes(&self, batch: &[Job]) -> Duration {
        let deepest = batch
            .iter()
            .map(|job| u64::from(job.step.layers.len()))
            .max();
        let work = batch.iter().map(|job| {
            let tokens = job.step.inputs.len() as u64;
            u64::from(job.step.layers.len()) * tokens
        });
        let work: u64 = work.sum();
        let base = deepest.unwrap_or(0) * self.settings.base_micros;
        Duration::from_micros(base + work * 1_000_000 / self.settings.layer_tokens.max(1))
    }

    fn run(&self, step: &Step) -> Option<Stepped> {
        let mut inner = self.lock();
        let held = inner.state.held.contains(step.layers);
        let sequence = inner.sequences.entry(step.request.clone()).or_default();
        let same_layers = sequence.layers.is_none_or(|layers| layers == step.layers);
        if !held || !same_layers || sequence.position != step.first {
            inner.state.violations += 1;
            return None;
        }
        sequence.layers = Some(step.layers);
        let outputs = step
            .inputs
            .iter()
            .map(|input| self.position(sequence, step, *input));
        let outputs: Vec<u64> = outputs.collect();
        let work = u64::from(step.layers.len()) * outputs.len() as u64;
        if step.rebuild {
            inner.state.rebuilt += work;
        } else {
            inner.state.ran += work;
        }
        Some(Stepped { outputs })
    }

    fn position(&self, sequence: &mut Sequence, step: &Step, input: u64) -> u64 {
        let position = sequence.position;
        sequence.position += 1;
        let mut value = input;
        if step.layers.start == 0 {
            value = model::embed(value, position);
        }
        for number in step.layers.start..step.layers.end {
            let cache = sequence.caches.entry(number).or_default();
            value = model::layer(number, position, value, cache);
        }
        if step.layers.end == self.settings.layers {
            value = model::sample(value);
        }
        value
    }

    fn order(&self, order: &Order) -> bool {
        let mut inner = self.lock();
        if self.settings.fences && order.token < inner.state.token {
            return false;
        }
        inner.state.token = inner.state.token.max(order.token);
        inner.state.held = order.layers;
        true
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        if parts.uri.path() == "/faults" {
            return set_faults(&self.switch, &body);
        }
        if !self.switch.pass().await {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        match parts.uri.path() {
            "/v1/step" => self.answer_step(&body).await,
            "/v1/free" => match serde_json::from_slice::<Free>(&body) {
                Ok(free) => {
                    self.lock().sequences.remove(&free.request);
                    http::json(StatusCode::OK, &true)
                }
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/v1/order" => match serde_json::from_slice::<Order>(&body) {
                Ok(order) if self.order(&order) => http::json(StatusCode::OK, &true),
                Ok(_) => http::text(StatusCode::CONFLICT, "old fencing number"),
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/v1/state" => http::json(StatusCode::OK, &self.state()),
            "/healthz" => http::json(StatusCode::OK, &true),
            _ => http::text(StatusCode::NOT_FOUND, "not found"),
        }
    }

    async fn answer_step(&self, body: &Bytes) -> Response<Body> {
        let step = match serde_json::from_slice::<Step>(body) {
            Ok(step) => step,
            Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let (answer, stepped) = oneshot::channel();
        let _batch_loop_lives_as_long_as_the_engine = self.jobs.send(Job { step, answer });
        match stepped.await {
            Ok(Some(stepped)) => http::json(StatusCode::OK, &stepped),
            _ => http::text(
                StatusCode::CONFLICT,
                "position or layers do not fit the cache",
            ),
        }
    }
}

/// Answers `POST /faults`.
pub(crate) fn set_faults(switch: &Switch, body: &Bytes) -> Response<Body> {
    match serde_json::from_slice::<Fault>(body) {
        Ok(fault) => {
            switch.set(fault);
            http::json(StatusCode::OK, &true)
        }
        Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
