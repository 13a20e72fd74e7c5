//! A simulation of controllers, engines and the messages between them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use jujube_core::layer::Range;
use jujube_core::ledger;
use jujube_core::ledger::Frame;
use jujube_core::ledger::Ledger;
use jujube_core::ledger::Limits;
use jujube_core::ledger::Lost;
use jujube_core::ledger::Open;
use jujube_core::ledger::Opened;
use jujube_core::ledger::Received;
use jujube_core::ledger::Resume;
use jujube_core::ledger::Run;
use jujube_core::ledger::Tokens;
use jujube_core::name::Server;
use jujube_core::path::Candidate;
use jujube_core::path::Chooser;
use jujube_core::path::Fleet;
use jujube_core::path::Route;
use jujube_core::path::Settings as PathSettings;
use jujube_core::path::Stage;
use jujube_core::path::Table;
use jujube_core::request::BootId;
use jujube_core::request::Epoch;
use jujube_core::request::Position;
use jujube_core::request::Request;
use jujube_core::session;
use jujube_core::session::Session;
use jujube_core::session::Settings;
use jujube_core::session::Spec;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::model;
use super::observer::Observation;
use super::observer::Observer;

/// A message in transit.
#[derive(Clone, Debug)]
pub enum Message {
    Open(Stage, Open),
    Opened(Request, Server, Epoch, Option<Opened>),
    Resume(Stage, Resume),
    Frame(Server, Option<Server>, Frame),
    Tokens(Tokens),
    Lost(Lost),
    Down(Server),
    Engine(Server, u64, EngineRun),
    Ran(Server, u64, Request, Run, Option<Vec<u64>>),
    Release(Server, Request, Epoch),
    Free(Server, u64, Request),
}

#[derive(Clone, Debug)]
pub struct EngineRun {
    run: Run,
    request: Request,
    layers: Range,
    first: Position,
    inputs: Vec<u64>,
    rebuild: bool,
}

impl Message {
    /// Returns the name of the step that handles this message.
    pub fn step(&self) -> &'static str {
        match self {
            Self::Open(..) => "open",
            Self::Opened(..) => "opened",
            Self::Resume(..) => "resume",
            Self::Frame(_, None, _) => "feed",
            Self::Frame(_, Some(_), _) => "hand-on",
            Self::Tokens(..) => "deliver",
            Self::Lost(..) => "lost",
            Self::Down(..) => "down",
            Self::Engine(..) => "before engine",
            Self::Ran(..) => "after engine",
            Self::Release(..) => "release",
            Self::Free(..) => "free",
        }
    }
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A sidecar and its engine die.
    Kill(usize),
    /// A sidecar and its engine restart and lose their state.
    Restart(usize),
    /// An engine restarts and loses its state.
    EngineRestart(usize),
    /// A sidecar and its engine pause, and handle their messages later.
    Freeze(usize),
    /// The next message is lost.
    Lose,
    /// The next message is duplicated.
    Double,
    /// The next message arrives after all others.
    Late,
    /// The entry dies.
    EntryKilled,
    /// The caller of the first request disconnects.
    CallerGone,
}

struct Engine {
    sequences: BTreeMap<Request, Sequence>,
}

#[derive(Default)]
struct Sequence {
    position: u64,
    caches: BTreeMap<u32, u64>,
}

struct Node {
    ledger: Ledger,
    engine: Engine,
    life: u64,
    engine_life: u64,
    alive: bool,
    frozen: Option<Vec<Message>>,
}

/// Safeguards to disable, to check that each is needed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mutation {
    /// Frames and tokens are accepted with any epoch.
    pub ignore_epochs: bool,
    /// Engines run duplicate frames again, without the ledger.
    pub forget_ledger: bool,
    /// Stages resume from zero instead of the count of their successor.
    pub resume_from_zero: bool,
    /// Tokens are accepted as the next ones with any position.
    pub ignore_positions: bool,
}

/// The simulation.
pub struct World {
    pub now: Instant,
    pub observer: Observer,
    pub steps: Vec<&'static str>,
    nodes: Vec<(Stage, Node)>,
    sessions: BTreeMap<Request, (Session, Vec<Stage>)>,
    queue: VecDeque<Message>,
    known_down: BTreeSet<Server>,
    chooser: Chooser,
    table: Table,
    random: StdRng,
    shuffle: bool,
    entry_alive: bool,
    pub mutation: Mutation,
}

pub const LAYERS: u32 = 6;
const ENTRY: BootId = BootId(1);
const TICK: Span = Span(100);

/// Returns nine stages: three servers for each of three ranges of layers.
pub fn layout() -> Vec<Stage> {
    let held = [("a", "0-2"), ("b", "2-4"), ("c", "4-6")];
    let each = held.iter().flat_map(|(kind, layers)| {
        (1..=3).map(move |number| Stage {
            server: format!("{kind}{number}").into(),
            address: format!("{kind}{number}").into(),
            layers: layers.parse().unwrap(),
        })
    });
    each.collect()
}

fn ledger(server: &Server) -> Ledger {
    let limits = Limits {
        max_run_length: 2,
        ..Limits::default()
    };
    Ledger::new(server.clone(), limits)
}

impl World {
    pub fn new(seed: u64, shuffle: bool) -> Self {
        let nodes = layout().into_iter().map(|stage| {
            let node = Node {
                ledger: ledger(&stage.server),
                engine: Engine {
                    sequences: BTreeMap::new(),
                },
                life: 0,
                engine_life: 0,
                alive: true,
                frozen: None,
            };
            (stage, node)
        });
        let mut world = Self {
            now: Instant(0),
            observer: Observer {
                layers: LAYERS,
                ..Observer::default()
            },
            steps: Vec::new(),
            nodes: nodes.collect(),
            sessions: BTreeMap::new(),
            queue: VecDeque::new(),
            known_down: BTreeSet::new(),
            chooser: Chooser::new(PathSettings::default()),
            table: Table::default(),
            random: StdRng::seed_from_u64(seed),
            shuffle,
            entry_alive: true,
            mutation: Mutation::default(),
        };
        world.table = world.build_table();
        world
    }

    fn build_table(&self) -> Table {
        let up = self
            .nodes
            .iter()
            .filter(|(stage, _)| !self.known_down.contains(&stage.server));
        let candidates = up.map(|(stage, _)| Candidate {
            server: stage.server.clone(),
            address: stage.address.clone(),
            zone: "z".into(),
            accelerator: "x".into(),
            layers: stage.layers,
            speed: 100,
            slots: 8,
            others: 0,
        });
        let fleet = Fleet {
            layers: LAYERS,
            ..Fleet::default()
        };
        Table::build(candidates.collect(), fleet)
    }

    /// Accepts a request.
    pub fn accept(&mut self, number: u64, prompt: &[u64], max_tokens: usize) -> Request {
        let request = Request {
            entry: ENTRY,
            number,
        };
        let spec = Spec {
            request,
            prompt: prompt.to_vec(),
            max_tokens,
        };
        let seen = Observation {
            prompt: prompt.to_vec(),
            expected_tokens: max_tokens,
            ..Observation::default()
        };
        self.observer.requests.insert(request, seen);
        let session = Session::new(spec, Settings::default());
        self.sessions.insert(request, (session, Vec::new()));
        let stages = self.chooser.choose(&self.table, &[], &mut self.random);
        self.route(request, stages);
        request
    }

    fn route(&mut self, request: Request, stages: Option<Vec<Stage>>) {
        let now = self.now;
        let Some((session, chosen)) = self.sessions.get_mut(&request) else {
            return;
        };
        let route = stages.map(|stages| {
            *chosen = stages.clone();
            let entry = "entry".into();
            Arc::new(Route { entry, stages })
        });
        let mut actions = Vec::new();
        session.routed(now, route, &mut actions);
        self.perform(request, actions);
    }

    fn reroute(&mut self, request: Request, excluded: &[Server]) {
        self.table = self.build_table();
        let chosen = self.sessions[&request].1.clone();
        let stages = self
            .chooser
            .repair(&self.table, &chosen, excluded, &mut self.random);
        self.route(request, stages);
    }

    fn perform(&mut self, request: Request, actions: Vec<session::Action>) {
        for action in actions {
            match action {
                session::Action::Open { stage, open } => self.send(Message::Open(stage, open)),
                session::Action::Resume { stage, resume } => {
                    self.send(Message::Resume(stage, resume));
                }
                session::Action::Feed { stage, frame } => {
                    self.send(Message::Frame(stage.server, None, frame));
                }
                session::Action::Release {
                    stage,
                    request,
                    epoch,
                } => self.send(Message::Release(stage.server, request, epoch)),
                session::Action::Reroute { excluded } => self.reroute(request, &excluded),
                session::Action::Emit { first, tokens } => {
                    self.observer.emitted(request, first, &tokens);
                }
                session::Action::Finish => self.observer.finished(request),
                session::Action::Fail(refusal) => self.observer.failed(request, &refusal),
            }
        }
    }

    fn send(&mut self, message: Message) {
        self.queue.push_back(message);
    }

    fn with_session(
        &mut self,
        request: Request,
        work: impl FnOnce(&mut Session, Instant, &mut Vec<session::Action>),
    ) {
        if !self.entry_alive {
            return;
        }
        let now = self.now;
        let mut actions = Vec::new();
        if let Some((session, _)) = self.sessions.get_mut(&request) {
            work(session, now, &mut actions);
        }
        self.perform(request, actions);
    }

    fn index(&self, server: &Server) -> usize {
        self.nodes
            .iter()
            .position(|(stage, _)| &stage.server == server)
            .unwrap()
    }

    fn perform_ledger(&mut self, index: usize, actions: Vec<ledger::Action>) {
        let server = self.nodes[index].0.server.clone();
        let life = self.nodes[index].1.life;
        for action in actions {
            match action {
                ledger::Action::Run {
                    run,
                    request,
                    layers,
                    first,
                    inputs,
                    rebuild,
                } => {
                    let work = EngineRun {
                        run,
                        request,
                        layers,
                        first,
                        inputs,
                        rebuild,
                    };
                    self.send(Message::Engine(server.clone(), life, work));
                }
                ledger::Action::Send {
                    server: next,
                    frame,
                    ..
                } => self.send(Message::Frame(next, Some(server.clone()), frame)),
                ledger::Action::Deliver { tokens, .. } => self.send(Message::Tokens(tokens)),
                ledger::Action::Report { lost, .. } => self.send(Message::Lost(lost)),
                ledger::Action::Free { request } => {
                    self.send(Message::Free(server.clone(), life, request));
                }
            }
        }
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(index) => self.kill(*index),
            Fault::Restart(index) => {
                self.kill(*index);
                let stage = self.nodes[*index].0.clone();
                let node = &mut self.nodes[*index].1;
                node.alive = true;
                node.ledger = ledger(&stage.server);
                node.engine.sequences.clear();
            }
            Fault::EngineRestart(index) => {
                self.lose_life(*index);
                let node = &mut self.nodes[*index].1;
                node.engine_life += 1;
                node.engine.sequences.clear();
                if node.frozen.is_some() {
                    self.lose_life(*index);
                }
            }
            Fault::Freeze(index) => {
                self.lose_life(*index);
                let server = self.nodes[*index].0.server.clone();
                self.nodes[*index].1.frozen.get_or_insert_default();
                self.send(Message::Down(server));
            }
            Fault::Lose => {
                let lost = self.queue.pop_front();
                // A lost message to or from an engine loses the answer of the engine.
                if let Some(Message::Ran(server, ..) | Message::Engine(server, ..)) = &lost {
                    let index = self.index(server);
                    self.lose_life(index);
                    self.time_out_engine(lost.unwrap());
                }
            }
            Fault::Double => {
                if let Some(message) = self.queue.front().cloned()
                    && !matches!(message, Message::Engine(..))
                {
                    self.queue.push_front(message);
                }
            }
            Fault::Late => {
                if let Some(message) = self.queue.pop_front() {
                    self.queue.push_back(message);
                }
            }
            Fault::EntryKilled => {
                self.entry_alive = false;
                for seen in self.observer.requests.values_mut() {
                    seen.abandoned = !seen.finished && seen.failed.is_none();
                }
            }
            Fault::CallerGone => {
                let Some(request) = self.sessions.keys().next().copied() else {
                    return;
                };
                let seen = self.observer.requests.get_mut(&request).unwrap();
                seen.abandoned = !seen.finished && seen.failed.is_none();
                self.with_session(request, |session, _, actions| session.cancel(actions));
            }
        }
    }

    /// Times out the run of an engine that does not answer.
    fn time_out_engine(&mut self, message: Message) {
        let (server, life, request, run) = match message {
            Message::Ran(server, life, request, run, _) => (server, life, request, run),
            Message::Engine(server, life, work) => (server, life, work.request, work.run),
            _ => return,
        };
        self.send(Message::Ran(server, life, request, run, None));
    }

    fn lose_life(&mut self, index: usize) {
        let server = self.nodes[index].0.server.to_string();
        let life = self.nodes[index].1.engine_life;
        self.observer.lost.insert((server, life));
    }

    fn kill(&mut self, index: usize) {
        self.lose_life(index);
        let server = self.nodes[index].0.server.clone();
        let node = &mut self.nodes[index].1;
        node.alive = false;
        node.life += 1;
        node.engine_life += 1;
        node.frozen = None;
        self.send(Message::Down(server));
    }

    /// Handles one message; returns `false` if there is none.
    pub fn step(&mut self) -> bool {
        if self.shuffle && self.queue.len() > 1 {
            let drawn = self.random.random_range(0..self.queue.len());
            self.queue.swap(0, drawn);
        }
        let Some(message) = self.queue.pop_front() else {
            return false;
        };
        self.steps.push(message.step());
        self.handle(message);
        true
    }

    /// Returns the name of the next step.
    pub fn next_step(&self) -> &'static str {
        self.queue.front().map_or("idle", Message::step)
    }

    /// Queues a message for a frozen node; returns whether it was queued.
    fn queue_if_frozen(&mut self, server: &Server, message: &Message) -> bool {
        let index = self.index(server);
        match &mut self.nodes[index].1.frozen {
            Some(held) => {
                held.push(message.clone());
                true
            }
            None => false,
        }
    }

    fn handle(&mut self, message: Message) {
        match message.clone() {
            Message::Open(stage, open) => {
                let (request, epoch) = (open.request, open.epoch);
                if self.queue_if_frozen(&stage.server, &message) {
                    return;
                }
                let opened = self.at(&stage.server, |node, now, actions| {
                    node.ledger.open(now, open, actions).ok()
                });
                let opened = opened.flatten();
                self.send(Message::Opened(request, stage.server, epoch, opened));
            }
            Message::Opened(request, server, epoch, Some(opened)) => {
                self.with_session(request, |session, now, actions| {
                    session.opened(now, &server, epoch, opened, actions);
                });
            }
            Message::Opened(request, server, epoch, None) => {
                self.send(Message::Lost(Lost {
                    request,
                    epoch,
                    server,
                }));
            }
            Message::Resume(stage, mut resume) => {
                if self.queue_if_frozen(&stage.server, &message) {
                    return;
                }
                if self.mutation.resume_from_zero {
                    resume.downstream = Position(0);
                    resume.rebuild_until = Position(0);
                }
                let received = self.at(&stage.server, |node, now, actions| {
                    node.ledger.resume(now, resume, actions)
                });
                if received.is_none_or(|received| received == Received::Unknown) {
                    self.send(Message::Lost(Lost {
                        request: resume.request,
                        epoch: resume.epoch,
                        server: stage.server,
                    }));
                }
            }
            Message::Frame(server, from, frame) => {
                if self.queue_if_frozen(&server, &message) {
                    return;
                }
                self.frame(server, from, frame);
            }
            Message::Tokens(mut tokens) => {
                let request = tokens.request;
                let ignore = self.mutation.ignore_epochs;
                if self.mutation.ignore_positions {
                    let seen = &self.observer.requests[&request];
                    let next = seen.prompt.len() + seen.tokens.len() - 1;
                    tokens.first = Position(next as u64);
                }
                self.with_session(request, |session, now, actions| {
                    if ignore {
                        tokens.epoch = session.epoch();
                    }
                    session.tokens_received(now, &tokens, actions);
                });
            }
            Message::Lost(lost) => {
                self.with_session(lost.request, |session, now, actions| {
                    session.lost(now, &lost, actions);
                });
            }
            Message::Down(server) => self.down(&server),
            Message::Engine(server, life, work) => {
                if !self.queue_if_frozen(&server, &message) {
                    self.engine(server, life, &work);
                }
            }
            Message::Ran(server, life, request, run, outputs) => {
                if self.queue_if_frozen(&server, &message) {
                    return;
                }
                if self.nodes[self.index(&server)].1.life != life {
                    return;
                }
                self.at(&server, |node, now, actions| match outputs {
                    Some(outputs) => node.ledger.ran(now, request, run, &outputs, actions),
                    None => node.ledger.failed(request, run, actions),
                });
            }
            Message::Release(server, request, epoch) => {
                if self.queue_if_frozen(&server, &message) {
                    return;
                }
                self.at(&server, |node, now, actions| {
                    node.ledger.release(now, request, epoch, actions);
                });
            }
            Message::Free(server, life, request) => {
                let index = self.index(&server);
                let node = &mut self.nodes[index].1;
                if node.life == life {
                    node.engine.sequences.remove(&request);
                    node.ledger.freed(request);
                }
            }
        }
    }

    /// Runs a function on a node if it is alive, and sends its actions.
    fn at<T>(
        &mut self,
        server: &Server,
        work: impl FnOnce(&mut Node, Instant, &mut Vec<ledger::Action>) -> T,
    ) -> Option<T> {
        let index = self.index(server);
        let now = self.now;
        if !self.nodes[index].1.alive {
            return None;
        }
        let mut actions = Vec::new();
        let result = work(&mut self.nodes[index].1, now, &mut actions);
        self.perform_ledger(index, actions);
        Some(result)
    }

    fn frame(&mut self, server: Server, from: Option<Server>, mut frame: Frame) {
        let (request, epoch) = (frame.request, frame.epoch);
        if self.mutation.ignore_epochs
            && let Some((session, _)) = self.sessions.get(&request)
        {
            frame.epoch = session.epoch();
        }
        if self.mutation.forget_ledger {
            self.run_without_ledger(&server, &frame);
        }
        let received = self.at(&server, |node, now, actions| {
            node.ledger.frame(now, &frame, actions)
        });
        if received.is_some_and(|received| received != Received::Unknown) {
            return;
        }
        match from {
            None => self.send(Message::Lost(Lost {
                request,
                epoch,
                server,
            })),
            Some(from) => {
                self.at(&from, |node, _, actions| {
                    node.ledger.successor_lost(request, epoch, &server, actions);
                });
            }
        }
    }

    /// Runs a frame as a sidecar without a ledger would.
    fn run_without_ledger(&mut self, server: &Server, frame: &Frame) {
        let index = self.index(server);
        let layers = self.nodes[index].0.layers;
        let life = (server.to_string(), self.nodes[index].1.engine_life);
        for offset in 0..frame.values.len() {
            let position = frame.first.plus(offset).0;
            self.observer
                .ran(&life, frame.request, layers, position, false);
        }
    }

    fn down(&mut self, server: &Server) {
        self.known_down.insert(server.clone());
        let requests: Vec<Request> = self.sessions.keys().copied().collect();
        for request in requests {
            self.with_session(request, |session, now, actions| {
                session.down(now, server, actions);
            });
        }
    }

    fn engine(&mut self, server: Server, life: u64, work: &EngineRun) {
        let index = self.index(&server);
        let node = &mut self.nodes[index].1;
        if node.life != life || !node.alive {
            return;
        }
        let engine_life = (server.to_string(), node.engine_life);
        let sequence = node.engine.sequences.entry(work.request).or_default();
        let mut outputs = None;
        if sequence.position == work.first.0 {
            let sampler = index as u64 * 100 + node.engine_life;
            let layers = work.layers;
            let values = work
                .inputs
                .iter()
                .map(|input| run(sequence, layers, *input, sampler));
            outputs = Some(values.collect());
            if !self.mutation.forget_ledger {
                for offset in 0..work.inputs.len() {
                    let position = work.first.plus(offset).0;
                    let (request, rebuild) = (work.request, work.rebuild);
                    self.observer
                        .ran(&engine_life, request, work.layers, position, rebuild);
                }
            }
        } else if sequence.position > work.first.0 || node.engine_life == 0 {
            // A restarted engine refuses sequences that it did not start; any other has run them.
            let what = format!("{server}: position {} does not fit", work.first);
            self.observer.violations.push(what);
        }
        self.send(Message::Ran(server, life, work.request, work.run, outputs));
    }

    /// Advances the time and resumes frozen nodes.
    fn tick(&mut self) {
        self.now = self.now.plus(TICK);
        let requests: Vec<Request> = self.sessions.keys().copied().collect();
        for request in requests {
            self.with_session(request, |session, now, actions| session.tick(now, actions));
        }
        for index in 0..self.nodes.len() {
            if let Some(held) = self.nodes[index].1.frozen.take() {
                self.queue.extend(held);
                let server = self.nodes[index].0.server.clone();
                self.known_down.remove(&server);
            }
            if !self.nodes[index].1.alive {
                continue;
            }
            let server = self.nodes[index].0.server.clone();
            let renews = self.entry_alive;
            self.at(&server, |node, now, actions| {
                if renews {
                    node.ledger.renew(now, ENTRY);
                }
                node.ledger.tick(now, actions);
            });
        }
    }

    fn all_done(&self) -> bool {
        !self.entry_alive || self.sessions.values().all(|(session, _)| session.is_done())
    }

    /// Runs to the end and until leases have expired; requests that are open then are leaked.
    pub fn finish(&mut self) {
        const MAX_TICKS: usize = 200;
        const LEASE_TICKS: usize = 200;
        const MAX_STEPS: usize = 20_000;
        let mut steps = 0;
        for _ in 0..MAX_TICKS {
            while self.step() {
                steps += 1;
                if steps > MAX_STEPS {
                    self.observer
                        .violations
                        .push("more than the maximum number of steps".into());
                    return;
                }
            }
            if self.all_done() {
                break;
            }
            self.tick();
        }
        for _ in 0..LEASE_TICKS {
            self.tick();
            while self.step() {}
        }
        for (stage, node) in &self.nodes {
            if node.alive && !node.ledger.is_empty() {
                self.observer
                    .violations
                    .push(format!("{}: holds a leaked request", stage.server));
            }
        }
    }
}

fn run(sequence: &mut Sequence, layers: Range, input: u64, sampler: u64) -> u64 {
    sequence.position += 1;
    let mut value = input;
    for number in layers.start..layers.end {
        let cache = sequence.caches.entry(number).or_default();
        value = model::layer(number, value, cache);
    }
    if layers.end == LAYERS {
        value = model::sample(value, sampler);
    }
    value
}
