//! Answering calls of entries and other sidecars.

use std::sync::atomic::Ordering;

use futures::StreamExt;
use jujube_core::head::Generation;
use jujube_core::ledger;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::event;
use jujube_wire::config::Config;
use jujube_wire::config::Delta;
use jujube_wire::heartbeat::Answer;
use jujube_wire::heartbeat::Ask;
use jujube_wire::heartbeat::Order;
use jujube_wire::heartbeat::OrderError;
use jujube_wire::heartbeat::Settle;
use jujube_wire::server;
use jujube_wire::service::Sidecar;
use jujube_wire::step;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;

use crate::perform::perform;
use crate::perform::unknown;
use crate::state::State;

/// The service that a sidecar gives.
#[derive(Clone)]
pub(crate) struct Handler(pub(crate) State);

/// Answers the calls of one connection.
pub(crate) async fn connection(stream: TcpStream, state: State) {
    let requests = server::channel(stream).execute(Handler(state).serve());
    // In this task: nearly every answer is at hand, and a task for each would cost more than it.
    requests.for_each_concurrent(None, |request| request).await;
}

impl Sidecar for Handler {
    async fn heartbeat(self, _: Context, ask: Ask) -> Answer {
        let state = &self.0;
        let mut ledger = state.ledger();
        ledger.renew(clock::now(), ask.entry);
        let entries = ledger.entries() as u64;
        let held = ledger.len() + state.deduplicator().busy();
        drop(ledger);
        Answer {
            incarnation: state.incarnation,
            generation: state.generation(),
            draining: state.draining.load(Ordering::Relaxed),
            healthy: state.healthy.load(Ordering::Relaxed),
            held: held as u64,
            http: state.http.to_string(),
            entries,
        }
    }

    async fn open(self, _: Context, open: step::Open) -> Result<step::Opened, step::OpenError> {
        let open = ledger::Open::try_from(open).map_err(|_| step::OpenError::Misrouted)?;
        let mut actions = Vec::new();
        let opened = self.0.ledger().open(clock::now(), open, &mut actions);
        perform(&self.0, actions);
        Ok(opened?.into())
    }

    async fn resume(self, _: Context, resume: step::Resume) -> bool {
        let mut actions = Vec::new();
        let received = self
            .0
            .ledger()
            .resume(clock::now(), resume.into(), &mut actions);
        perform(&self.0, actions);
        received != ledger::Received::Unknown
    }

    async fn frames(self, _: Context, frames: Vec<step::Frame>) -> Vec<step::Unknown> {
        let mut actions = Vec::new();
        let mut not_known = Vec::new();
        let mut stale = 0;
        let now = clock::now();
        let mut ledger = self.0.ledger();
        for frame in frames {
            let core = frame.clone().into();
            let received = ledger.frame(now, &core, &mut actions);
            stale += u64::from(received == ledger::Received::Stale);
            not_known.extend(unknown(received, &frame));
        }
        drop(ledger);
        self.0.counters.add("frames_stale", stale);
        perform(&self.0, actions);
        not_known
    }

    async fn release(self, _: Context, releases: Vec<step::Release>) {
        let mut actions = Vec::new();
        let now = clock::now();
        let mut ledger = self.0.ledger();
        for release in releases {
            ledger.release(now, release.request, release.epoch, &mut actions);
        }
        drop(ledger);
        perform(&self.0, actions);
    }

    async fn config(self, _: Context) -> Option<Config> {
        self.0.config().map(|config| Config::from(&*config))
    }

    async fn offer(self, _: Context, config: Config) -> u64 {
        match config.try_into() {
            Ok(config) => self.0.apply(config),
            Err(error) => event!(Warn, "config-malformed", error),
        }
        self.0.generation().0
    }

    async fn delta(self, _: Context, since: Generation) -> Option<Delta> {
        self.0.delta(since).map(|delta| Delta::from(&delta))
    }

    async fn offer_delta(self, _: Context, delta: Delta) -> u64 {
        match delta.try_into() {
            Ok(delta) => self.0.apply_delta(&delta),
            Err(error) => event!(Warn, "config-malformed", error),
        }
        self.0.generation().0
    }

    async fn settle(self, _: Context, settle: Settle) -> Verdict {
        let now = clock::now();
        self.0
            .deduplicator()
            .settle(now, settle.call, settle.sidecar)
    }

    async fn order(self, _: Context, order: Order) -> Result<(), OrderError> {
        let layers = order.layers.parse();
        let layers = layers.map_err(|_| OrderError::Engine("no layer range".into()))?;
        self.0.gate().admit(order.token)?;
        let answer = self.0.engine.order(order.token, layers).await;
        answer.map_err(|error| OrderError::Engine(error.to_string()))
    }
}
