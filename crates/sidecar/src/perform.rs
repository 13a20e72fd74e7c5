//! Carrying out the ledger's actions.

use std::sync::atomic::Ordering;

use jujube_core::ledger;
use jujube_core::ledger::Action;
use jujube_core::name::Server;
use jujube_core::request::Request;
use jujube_program::clock;
use jujube_program::http;
use jujube_wire::connection::Error;
use jujube_wire::connection::Peer;
use jujube_wire::outbox::Deliver;
use jujube_wire::service::EntryClient;
use jujube_wire::service::SidecarClient;
use jujube_wire::step;

use crate::engine::Work;
use crate::state::State;

/// A frame for another stage.
#[derive(Clone)]
pub(crate) struct StageMessage {
    server: Server,
    frame: step::Frame,
}

/// Something for an entry.
#[derive(Clone)]
pub(crate) enum EntryMessage {
    Tokens(step::Tokens),
    Lost(step::Lost),
}

/// Sends frames to other stages.
#[derive(Clone)]
pub(crate) struct ToStage(pub(crate) State);

/// Sends tokens and bad news to entries.
#[derive(Clone)]
pub(crate) struct ToEntry(pub(crate) State);

impl Deliver for ToStage {
    type Message = StageMessage;
    type Client = SidecarClient;

    async fn send(&self, peer: &Peer<SidecarClient>, batch: &[StageMessage]) -> Result<(), Error> {
        let frames: Vec<step::Frame> = batch.iter().map(|m| m.frame.clone()).collect();
        let call = |client: SidecarClient, context| {
            let frames = frames.clone();
            async move { client.frames(context, frames).await }
        };
        let unknown = peer.call(call).await?;
        if unknown.is_empty() {
            return Ok(());
        }
        let Some(server) = batch.first().map(|message| message.server.clone()) else {
            return Ok(());
        };
        let lost = unknown.into_iter().map(|u| (u.request, u.epoch));
        self.report(lost.collect(), &server);
        Ok(())
    }

    fn give_up(&self, batch: Vec<StageMessage>, _error: Error) {
        self.0.counters.add("successor_unreachable", 1);
        let Some(server) = batch.first().map(|message| message.server.clone()) else {
            return;
        };
        let lost = batch.into_iter().map(|m| (m.frame.request, m.frame.epoch));
        self.report(lost.collect(), &server);
    }
}

impl ToStage {
    fn report(&self, lost: Vec<(Request, jujube_core::request::Epoch)>, server: &Server) {
        let mut actions = Vec::new();
        let mut ledger = self.0.ledger();
        for (request, epoch) in lost {
            ledger.successor_lost(request, epoch, server, &mut actions);
        }
        drop(ledger);
        perform(&self.0, actions);
    }
}

impl Deliver for ToEntry {
    type Message = EntryMessage;
    type Client = EntryClient;

    async fn send(&self, peer: &Peer<EntryClient>, batch: &[EntryMessage]) -> Result<(), Error> {
        let mut tokens = Vec::new();
        let mut lost = Vec::new();
        for message in batch {
            match message {
                EntryMessage::Tokens(some) => tokens.push(some.clone()),
                EntryMessage::Lost(one) => lost.push(one.clone()),
            }
        }
        if !tokens.is_empty() {
            let call = |client: EntryClient, context| {
                let tokens = tokens.clone();
                async move { client.tokens(context, tokens).await }
            };
            peer.call(call).await?;
        }
        if !lost.is_empty() {
            let call = |client: EntryClient, context| {
                let lost = lost.clone();
                async move { client.lost(context, lost).await }
            };
            peer.call(call).await?;
        }
        Ok(())
    }

    fn give_up(&self, _batch: Vec<EntryMessage>, _error: Error) {
        // The entry is gone or cannot be reached; a live one asks again when its answers stall, and
        // the lease frees a dead one's requests.
        self.0.counters.add("entry_unreachable", 1);
    }
}

/// Carries out actions; engine runs go on in tasks of their own.
pub(crate) fn perform(state: &State, actions: Vec<Action>) {
    let Some((stages, entries)) = state.outboxes() else {
        return;
    };
    for action in actions {
        match action {
            Action::Run { .. } => {
                tokio::spawn(run(state.clone(), action));
            }
            Action::Send { server, to, frame } => {
                let frame = frame.into();
                stages.put(&to, StageMessage { server, frame });
            }
            Action::Deliver { to, tokens } => {
                state.counters.add("tokens", tokens.values.len() as u64);
                entries.put(&to, EntryMessage::Tokens(tokens.into()));
            }
            Action::Report { to, lost } => {
                state.counters.add("requests_lost", 1);
                entries.put(&to, EntryMessage::Lost(lost.into()));
            }
            Action::Free { request } => {
                tokio::spawn(free(state.clone(), request));
            }
        }
    }
}

async fn run(state: State, action: Action) {
    let Action::Run {
        run,
        request,
        layers,
        first,
        inputs,
        rebuild,
    } = action
    else {
        return;
    };
    let work = Work {
        request,
        layers,
        first,
        inputs: &inputs,
        rebuild,
    };
    let counter = if rebuild {
        "positions_rebuilt"
    } else {
        "positions_run"
    };
    let answer = state.engine.run(&work).await;
    let mut actions = Vec::new();
    match answer {
        Ok(outputs) => {
            state.counters.add(counter, outputs.len() as u64);
            state
                .ledger()
                .ran(clock::now(), request, run, &outputs, &mut actions);
        }
        Err(error) => {
            state.counters.add("engine_failures", 1);
            if matches!(error, http::Error::NotSent(_)) {
                state.healthy.store(false, Ordering::Relaxed);
            }
            state.ledger().failed(request, run, &mut actions);
        }
    }
    perform(&state, actions);
}

async fn free(state: State, request: Request) {
    if state.engine.free(request).await.is_err() {
        state.counters.add("engine_free_failures", 1);
    }
    state.ledger().freed(request);
}

/// Turns what became of a frame into the answer to its sender.
pub(crate) fn unknown(received: ledger::Received, frame: &step::Frame) -> Option<step::Unknown> {
    (received == ledger::Received::Unknown).then_some(step::Unknown {
        request: frame.request,
        epoch: frame.epoch,
    })
}
