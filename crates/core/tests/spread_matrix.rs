//! The fault matrix of configurations on their way between processes.

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

/// Something on its way to a peer.
#[derive(Clone)]
enum Message {
    /// The key-value service has a new head; only the first two peers watch it.
    Published(Config),
    /// A peer tells its generation to another.
    Beat(usize, Generation),
    Delta(Delta),
    Whole(Config),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Lose,
    Double,
    Late,
    /// The peer stands still for a while, and then goes on with what was sent to it.
    Pause(usize),
    /// The peer comes back without memory.
    Restart(usize),
    /// The key-value service is away: nobody hears of the next publication from it but the first.
    Outage,
    /// The next difference is damaged on its way.
    Damage,
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
    damage: bool,
    configs: Vec<Config>,
    trust: Trust,
    steps: usize,
    /// How many steps there are before faults end.
    struck_until: usize,
    broken: Vec<String>,
}

impl World {
    fn new(configs: &[Config]) -> Self {
        Self {
            peers: (0..PEERS).map(|_| Peer::default()).collect(),
            queue: VecDeque::new(),
            outage: false,
            damage: false,
            configs: configs.to_vec(),
            trust: trust(),
            steps: 0,
            struck_until: 0,
            broken: Vec::new(),
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

    /// Every peer tells its neighbours its generation, as heartbeats and their answers do.
    fn beat_all(&mut self) {
        for from in 0..PEERS {
            let generation = self.peers[from].history.generation();
            for to in [(from + 1) % PEERS, (from + PEERS - 1) % PEERS] {
                self.queue.push_back((to, Message::Beat(from, generation)));
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
            self.broken
                .push(format!("peer {to}: {before}, then {after}"));
        }
        true
    }

    fn handle(&mut self, to: usize, message: Message) {
        match message {
            Message::Published(config) | Message::Whole(config) => self.take(to, config),
            Message::Delta(mut delta) => {
                if std::mem::take(&mut self.damage) {
                    delta.pieces.pop();
                }
                let base = self.peers[to].history.last().cloned();
                if let Some(config) = base.and_then(|base| delta.apply(&base)) {
                    self.take(to, config);
                }
            }
            Message::Beat(from, theirs) => self.answer(to, from, theirs),
        }
    }

    /// Sends what the other lacks: the difference, or the whole when that is too long ago.
    fn answer(&mut self, own: usize, other: usize, theirs: Generation) {
        let history = &self.peers[own].history;
        if theirs >= history.generation() {
            return;
        }
        let message = match history.since(theirs) {
            // Every other time the whole goes along, as when a difference did not help.
            Some(delta) if self.steps % 2 == 0 => Message::Delta(delta),
            _ => Message::Whole(history.last().unwrap().as_ref().clone()),
        };
        self.queue.push_back((other, message));
    }

    fn take(&mut self, to: usize, config: Config) {
        let history = &mut self.peers[to].history;
        if let Ok(bundle) = accept(history.generation(), &config, &self.trust) {
            if bundle.serial != config.head.generation.0 {
                self.broken
                    .push(format!("peer {to}: text of another generation"));
            }
            history.push(Arc::new(config));
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Lose => {
                self.queue.pop_front();
            }
            Fault::Double => {
                if let Some(message) = self.queue.front().cloned() {
                    self.queue.push_front(message);
                }
            }
            Fault::Late => {
                if let Some(message) = self.queue.pop_front() {
                    self.queue.push_back(message);
                }
            }
            Fault::Pause(peer) => {
                self.peers[peer].paused.get_or_insert_default();
            }
            Fault::Restart(peer) => self.peers[peer] = Peer::default(),
            Fault::Outage => self.outage = true,
            Fault::Damage => self.damage = true,
        }
    }

    /// Ends all pauses; what was sent meanwhile comes late.
    fn thaw(&mut self) {
        for (index, peer) in self.peers.iter_mut().enumerate() {
            for message in peer.paused.take().unwrap_or_default() {
                self.queue.push_back((index, message));
            }
        }
    }
}

/// Publishes four generations with heartbeats in between, and strikes at given steps.
fn run(configs: &[Config], strikes: &[(usize, Fault)]) -> World {
    const ROUNDS: usize = 6;
    let mut world = World::new(configs);
    let mut strikes = strikes.to_vec();
    for generation in 1..=LAST {
        world.publish(generation);
        world.beat_all();
        drain(&mut world, &mut strikes);
    }
    // From here on no fault strikes: heartbeats go on, as they do in earnest.
    strikes.clear();
    world.struck_until = world.steps;
    world.thaw();
    // The service is back: whoever watches it reads the head. Had the one process that heard of a
    // generation died in an outage, nobody else could know of it until now.
    world.outage = false;
    world.publish(LAST);
    for _ in 0..ROUNDS {
        world.beat_all();
        drain(&mut world, &mut strikes);
    }
    for (index, peer) in world.peers.iter().enumerate() {
        let generation = peer.history.generation();
        if generation != Generation(LAST) {
            world
                .broken
                .push(format!("peer {index}: left behind at {generation}"));
        }
    }
    world
}

fn drain(world: &mut World, strikes: &mut Vec<(usize, Fault)>) {
    loop {
        while strikes.first().is_some_and(|(at, _)| *at <= world.steps) {
            let (_, fault) = strikes.remove(0);
            world.strike(fault);
        }
        if !world.step() {
            return;
        }
    }
}

fn faults() -> Vec<Fault> {
    let mut faults = vec![
        Fault::Lose,
        Fault::Double,
        Fault::Late,
        Fault::Outage,
        Fault::Damage,
    ];
    faults.extend((0..PEERS).map(Fault::Pause));
    faults.extend((0..PEERS).map(Fault::Restart));
    faults
}

/// Every process ends at the last generation, and none goes back while it lives.
///
/// Two of four peers hear of each publication, the others from their neighbours. A peer that stood
/// still wakes with old messages in its hands and an old configuration to offer; one that restarted
/// starts from nothing; a damaged difference does not fit its signatures.
#[test]
fn every_fault_at_every_step() {
    let configs: Vec<Config> = (1..=LAST).map(config).collect();
    let length = run(&configs, &[]).struck_until;
    let mut runs = 0;
    for fault in faults() {
        for step in 0..length {
            let world = run(&configs, &[(step, fault)]);
            assert!(
                world.broken.is_empty(),
                "{fault:?} at {step}: {:?}",
                world.broken
            );
            runs += 1;
        }
    }
    println!("faults {} steps {length} runs {runs}", faults().len());
}

#[test]
fn pairs_of_faults() {
    let configs: Vec<Config> = (1..=LAST).map(config).collect();
    let length = run(&configs, &[]).struck_until;
    for first in faults() {
        for second in faults() {
            for step in (0..length).step_by(7) {
                let strikes = [(step, first), (step + 3, second)];
                let world = run(&configs, &strikes);
                assert!(world.broken.is_empty(), "{strikes:?}: {:?}", world.broken);
            }
        }
    }
}
