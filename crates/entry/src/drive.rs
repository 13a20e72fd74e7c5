//! Driving one session: events in, actions out.

use std::sync::Arc;
use std::time::Duration;

use jujube_core::ledger;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path::Route;
use jujube_core::path::Stage;
use jujube_core::refusal::Refusal;
use jujube_core::request::Epoch;
use jujube_core::request::Request;
use jujube_core::session::Action;
use jujube_core::session::Session;
use jujube_core::session::Spec;
use jujube_program::clock;
use jujube_wire::service::SidecarClient;
use jujube_wire::step;
use tokio::sync::mpsc;

use crate::outgoing::Message;
use crate::state::Event;
use crate::state::State;

/// What a caller's answer is made of.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    Tokens(Vec<u64>),
    Finish,
    Fail(Arc<Refusal>),
}

const TICK: Duration = Duration::from_millis(100);

/// Runs a session to its end; the outputs stop when the caller is gone.
pub(crate) async fn drive(
    state: State,
    service: Service,
    spec: Spec,
    outputs: mpsc::UnboundedSender<Output>,
) {
    let request = spec.request;
    let events = state.register(request);
    let mut driver = Driver {
        session: Session::new(spec, state.settings.session),
        stages: Vec::new(),
        service,
        outputs,
        state,
    };
    driver.run(events).await;
    driver.state.unregister(request);
    driver.state.admission.end(&driver.service, &driver.stages);
}

struct Driver {
    state: State,
    service: Service,
    session: Session,
    /// What is booked as in flight.
    stages: Vec<Stage>,
    outputs: mpsc::UnboundedSender<Output>,
}

impl Driver {
    async fn run(&mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        self.choose();
        let mut tick = tokio::time::interval(TICK);
        while !self.session.is_done() {
            let mut actions = Vec::new();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take(event, &mut actions),
                    None => return,
                },
                () = self.outputs.closed() => self.session.cancel(&mut actions),
                _ = tick.tick() => self.session.tick(clock::now(), &mut actions),
            }
            self.perform(actions);
        }
    }

    fn take(&mut self, event: Event, actions: &mut Vec<Action>) {
        let now = clock::now();
        match event {
            Event::Opened(server, epoch, opened) => {
                self.session.opened(now, &server, epoch, opened, actions);
            }
            Event::Lost(lost) => self.session.lost(now, &lost, actions),
            Event::Tokens(tokens) => self.session.tokens_received(now, &tokens, actions),
            Event::Down(server) => self.session.down(now, &server, actions),
        }
    }

    fn choose(&mut self) {
        let snapshot = self.state.snapshot();
        let table = snapshot.models.get(&self.service);
        let admission = &self.state.admission;
        let stages = table.and_then(|table| admission.choose(&self.service, table, &[]));
        self.route(stages);
    }

    fn reroute(&mut self, excluded: &[Server]) {
        self.state.counters.add("reroutes", 1);
        let snapshot = self.state.snapshot();
        let table = snapshot.models.get(&self.service);
        let admission = &self.state.admission;
        let stages =
            table.and_then(|table| admission.repair(&self.service, table, &self.stages, excluded));
        self.route(stages);
    }

    fn route(&mut self, stages: Option<Vec<Stage>>) {
        let route = stages.map(|stages| {
            self.stages = stages.clone();
            let entry = self.state.peer.clone();
            Arc::new(Route { entry, stages })
        });
        let mut actions = Vec::new();
        self.session.routed(clock::now(), route, &mut actions);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let Some(outboxes) = self.state.outboxes() else {
            return;
        };
        for action in actions {
            match action {
                Action::Open { stage, open } => {
                    tokio::spawn(open_stage(self.state.clone(), stage, open));
                }
                Action::Resume { stage, resume } => {
                    tokio::spawn(resume_stage(self.state.clone(), stage, resume));
                }
                Action::Feed { stage, frame } => {
                    let message = Message::Feed(stage.server, frame.into());
                    outboxes.put(&stage.address, message);
                }
                Action::Release {
                    stage,
                    request,
                    epoch,
                } => {
                    let release = step::Release { request, epoch };
                    outboxes.put(&stage.address, Message::Release(release));
                }
                Action::Reroute { excluded } => self.reroute(&excluded),
                Action::Emit { tokens, .. } => self.say(Output::Tokens(tokens)),
                Action::Finish => self.say(Output::Finish),
                Action::Fail(refusal) => self.say(Output::Fail(refusal)),
            }
        }
    }

    fn say(&self, output: Output) {
        let _caller_gone = self.outputs.send(output);
    }
}

async fn open_stage(state: State, stage: Stage, open: ledger::Open) {
    let request = open.request;
    let epoch = open.epoch;
    let open = step::Open::from(&open);
    let call = |client: SidecarClient, context| {
        let open = open.clone();
        async move { client.open(context, open).await }
    };
    match state.sidecar(&stage.address).call(call).await {
        Ok(Ok(opened)) => {
            state.tell(request, Event::Opened(stage.server, epoch, opened.into()));
        }
        Ok(Err(_)) => {
            state.counters.add("opens_refused", 1);
            tell_lost(&state, request, epoch, stage.server);
        }
        Err(_) => tell_lost(&state, request, epoch, stage.server),
    }
}

async fn resume_stage(state: State, stage: Stage, resume: ledger::Resume) {
    let resume = step::Resume::from(resume);
    let call = |client: SidecarClient, context| async move { client.resume(context, resume).await };
    let known = state.sidecar(&stage.address).call(call).await;
    if known != Ok(true) {
        tell_lost(&state, resume.request, resume.epoch, stage.server);
    }
}

fn tell_lost(state: &State, request: Request, epoch: Epoch, server: Server) {
    let lost = ledger::Lost {
        request,
        epoch,
        server,
    };
    state.tell(request, Event::Lost(lost));
}
