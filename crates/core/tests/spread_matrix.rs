//! Fault matrix for the distribution of configurations between processes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::VecDeque;
use std::sync::Arc;

use jujube_core::bundle;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::delta::Delta;
use jujube_core::delta::History;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::head::Head;
use jujube_core::head::accept;

const SECRETS: [[u8; 32]; 2] = [[1; 32], [2; 32]];
const PEERS: usize = 4;
const LAST: u64 = 4;

fn trust() -> Trust {
    let keys = SECRETS.map(|secret| bundle::sign(&secret, &bundle::digest("")).key);
    Trust {
        keys: keys.into_iter().map(Into::into).collect(),
    }
}

fn config(generation: u64) -> Config {
    let text = format!(
        "[bundle]\nserial = {generation}\n[service desk]\nkind = plain\n[server d]\n\
         service = desk\naddress = 127.0.0.1:{}\nzone = z\n",
        1000 + generation
    );
    let digest = bundle::digest(&text);
    let head = Head {
        generation: Generation(generation),
        bundle: digest.to_string(),
        ..Head::default()
    };
    Config {
        head: head.signed(&SECRETS[0]),
        signed: Signed {
            text: text.into(),
            signatures: SECRETS
                .iter()
                .map(|secret| bundle::sign(secret, &digest))
                .collect(),
        },
    }
}

/// A message in transit to a peer.
#[derive(Clone)]
enum Message {
    /// The key-value service announces a new head to its watchers, the first two peers.
    Published(Config),
    /// A peer sends its generation to another.
    Heartbeat(usize, Generation),
    Delta(Delta),
    Full(Config),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Lose,
    Duplicate,
    Delay,
    /// The peer pauses, and later handles the messages sent meanwhile.
    Pause(usize),
    /// The peer restarts without state.
    Restart(usize),
    /// The key-value service is unreachable for all peers but the first.
    Outage,
    /// The next delta is corrupted in transit.
    Corrupt,
}

#[derive(Default)]
struct Peer {
    history: History,
    paused: Option<Vec<Message>>,
}

struct World {
    peers: Vec<Peer>,
    queue: VecDeque<(usize, Message)>,
    outage: bool,
    corrupt: bool,
    configs: Vec<Config>,
    trust: Trust,
    steps: usize,
    /// Number of steps before faults end.
    faulty_steps: usize,
    violations: Vec<String>,
}

impl World {
    fn new(configs: &[Config]) -> Self {
        Self {
            peers: (0..PEERS).map(|_| Peer::default()).collect(),
            queue: VecDeque::new(),
            outage: false,
            corrupt: false,
            configs: configs.to_vec(),
            trust: trust(),
            steps: 0,
            faulty_steps: 0,
            violations: Vec::new(),
        }
    }

    fn publish(&mut self, generation: u64) {
        let config = self.configs[generation as usize - 1].clone();
        self.queue
            .push_back((0, Message::Published(config.clone())));
        if !self.outage {
            self.queue.push_back((1, Message::Published(config)));
        }
    }

    /// Sends every peer's generation to its neighbours, like heartbeats and their replies.
    fn send_heartbeats(&mut self) {
        for from in 0..PEERS {
            let generation = self.peers[from].history.generation();
            for to in [(from + 1) % PEERS, (from + PEERS - 1) % PEERS] {
                self.queue
                    .push_back((to, Message::Heartbeat(from, generation)));
            }
        }
    }

    fn step(&mut self) -> bool {
        let Some((to, message)) = self.queue.pop_front() else {
            return false;
        };
        self.steps += 1;
        if let Some(held) = &mut self.peers[to].paused {
            held.push(message);
            return true;
        }
        let before = self.peers[to].history.generation();
        self.handle(to, message);
        let after = self.peers[to].history.generation();
        if after < before {
            self.violations
                .push(format!("peer {to}: {before}, then {after}"));
        }
        true
    }

    fn handle(&mut self, to: usize, message: Message) {
        match message {
            Message::Published(config) | Message::Full(config) => self.accept(to, config),
            Message::Delta(mut delta) => {
                if std::mem::take(&mut self.corrupt) {
                    delta.pieces.pop();
                }
                let base = self.peers[to].history.last().cloned();
                if let Some(config) = base.and_then(|base| delta.apply(&base)) {
                    self.accept(to, config);
                }
            }
            Message::Heartbeat(from, theirs) => self.reply(to, from, theirs),
        }
    }

    /// Sends a peer that is behind the delta, or the full configuration if the history is too
    /// short.
    fn reply(&mut self, own: usize, other: usize, theirs: Generation) {
        let history = &self.peers[own].history;
        if theirs >= history.generation() {
            return;
        }
        let message = match history.since(theirs) {
            // Every other reply is a full configuration, as after a delta that did not apply.
            Some(delta) if self.steps % 2 == 0 => Message::Delta(delta),
            _ => Message::Full(history.last().unwrap().as_ref().clone()),
        };
        self.queue.push_back((other, message));
    }

    fn accept(&mut self, to: usize, config: Config) {
        let history = &mut self.peers[to].history;
        if let Ok(bundle) = accept(history.generation(), &config, &self.trust) {
            if bundle.serial != config.head.generation.0 {
                self.violations
                    .push(format!("peer {to}: text of another generation"));
            }
            history.push(Arc::new(config));
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Lose => {
                self.queue.pop_front();
            }
            Fault::Duplicate => {
                if let Some(message) = self.queue.front().cloned() {
                    self.queue.push_front(message);
                }
            }
            Fault::Delay => {
                if let Some(message) = self.queue.pop_front() {
                    self.queue.push_back(message);
                }
            }
            Fault::Pause(peer) => {
                self.peers[peer].paused.get_or_insert_default();
            }
            Fault::Restart(peer) => self.peers[peer] = Peer::default(),
            Fault::Outage => self.outage = true,
            Fault::Corrupt => self.corrupt = true,
        }
    }

    /// Ends all pauses and delivers the messages sent meanwhile.
    fn resume_all(&mut self) {
        for (index, peer) in self.peers.iter_mut().enumerate() {
            for message in peer.paused.take().unwrap_or_default() {
                self.queue.push_back((index, message));
            }
        }
    }
}

/// Publishes four generations with heartbeats in between, and injects faults at the given steps.
fn run(configs: &[Config], faults: &[(usize, Fault)]) -> World {
    const ROUNDS: usize = 6;
    let mut world = World::new(configs);
    let mut faults = faults.to_vec();
    for generation in 1..=LAST {
        world.publish(generation);
        world.send_heartbeats();
        drain(&mut world, &mut faults);
    }
    // Faults end here, and only heartbeats follow.
    faults.clear();
    world.faulty_steps = world.steps;
    world.resume_all();
    // After the outage the watchers read the head again. Otherwise a generation would be lost whose
    // only recipient died during the outage.
    world.outage = false;
    world.publish(LAST);
    for _ in 0..ROUNDS {
        world.send_heartbeats();
        drain(&mut world, &mut faults);
    }
    for (index, peer) in world.peers.iter().enumerate() {
        let generation = peer.history.generation();
        if generation != Generation(LAST) {
            world
                .violations
                .push(format!("peer {index}: stuck at {generation}"));
        }
    }
    world
}

fn drain(world: &mut World, faults: &mut Vec<(usize, Fault)>) {
    loop {
        while faults.first().is_some_and(|(at, _)| *at <= world.steps) {
            let (_, fault) = faults.remove(0);
            world.inject(fault);
        }
        if !world.step() {
            return;
        }
    }
}

fn faults() -> Vec<Fault> {
    let mut faults = vec![
        Fault::Lose,
        Fault::Duplicate,
        Fault::Delay,
        Fault::Outage,
        Fault::Corrupt,
    ];
    faults.extend((0..PEERS).map(Fault::Pause));
    faults.extend((0..PEERS).map(Fault::Restart));
    faults
}

/// Guards against a peer that ends at an old generation, or that returns to one while it runs.
#[test]
fn every_fault_at_every_step() {
    let configs: Vec<Config> = (1..=LAST).map(config).collect();
    let length = run(&configs, &[]).faulty_steps;
    let mut runs = 0;
    for fault in faults() {
        for step in 0..length {
            let world = run(&configs, &[(step, fault)]);
            assert!(
                world.violations.is_empty(),
                "{fault:?} at {step}: {:?}",
                world.violations
            );
            runs += 1;
        }
    }
    println!("faults {} steps {length} runs {runs}", faults().len());
}

#[test]
fn pairs_of_faults() {
    let configs: Vec<Config> = (1..=LAST).map(config).collect();
    let length = run(&configs, &[]).faulty_steps;
    for first in faults() {
        for second in faults() {
            for step in (0..length).step_by(7) {
                let faults = [(step, first), (step + 3, second)];
                let world = run(&configs, &faults);
                assert!(
                    world.violations.is_empty(),
                    "{faults:?}: {:?}",
                    world.violations
                );
            }
        }
    }
}
