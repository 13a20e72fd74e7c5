//! The control thread: membership, configuration and snapshots.

mod tasks;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::blackboard::Blackboard;
use jujube_core::blackboard::Snapshot;
use jujube_core::delta::Delta;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::membership;
use jujube_core::membership::Heartbeat;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path::Table;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;
use jujube_program::shutdown::Signal;
use jujube_wire::connection::Error;
use jujube_wire::connection::Peer;
use jujube_wire::heartbeat::Answer;
use jujube_wire::heartbeat::Ask;
use jujube_wire::service::SidecarClient;
use serde_json::json;
use tokio::sync::mpsc;

use crate::state::State;
use crate::state::lock;
use tasks::News;
use tasks::PATIENCE;

const TICK: Duration = Duration::from_millis(25);
/// How often loads are published when nothing else changes.
const LOADS: u64 = 100;

/// Runs until told to stop.
pub(crate) async fn run(state: State, mut stop: Signal) {
    let (news, mut received) = mpsc::unbounded_channel();
    tokio::spawn(tasks::follow(state.clone(), news.clone()));
    tokio::spawn(tasks::ask_seeds(state.clone(), news.clone()));
    if !state.settings.vms.is_empty() {
        tokio::spawn(tasks::list_vms(state.settings.vms.clone(), news.clone()));
    }
    let mut control = Control::new(state, news);
    let mut tick = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            news = received.recv() => match news {
                Some(news) => control.take(news),
                None => return,
            },
            _ = tick.tick() => control.tick(),
            () = stop.stopped() => return,
        }
    }
}

struct Control {
    state: State,
    board: Blackboard,
    news: mpsc::UnboundedSender<News>,
    peers: HashMap<Server, Peer<SidecarClient>>,
    asked: HashMap<Server, Instant>,
    asking: HashSet<Server>,
    states: HashMap<Server, membership::State>,
    published: Instant,
    changed: bool,
}

impl Control {
    fn new(state: State, news: mpsc::UnboundedSender<News>) -> Self {
        let trust = state.settings.trust.clone();
        let subset = state.settings.subset.clone();
        let entry = state.incarnation;
        let board = Blackboard::new(trust, state.settings.membership, entry, subset);
        Self {
            state,
            board,
            news,
            peers: HashMap::new(),
            asked: HashMap::new(),
            asking: HashSet::new(),
            states: HashMap::new(),
            published: Instant(0),
            changed: false,
        }
    }

    fn take(&mut self, news: News) {
        match news {
            News::Beat(server, answer) => self.beat(server, answer),
            News::Config(config) => self.apply(config),
            News::Delta(delta) => self.apply_delta(&delta),
            News::Vms(leaving) => self.board.membership.set_leaving(&leaving),
        }
    }

    fn apply_delta(&mut self, delta: &Delta) {
        let base = self.board.history.last();
        if let Some(config) = base.and_then(|base| delta.apply(base)) {
            self.apply(config);
        }
    }

    fn apply(&mut self, config: Config) {
        let generation = config.head.generation;
        match self.board.apply(config) {
            Ok(()) => {
                event!(Info, "config", generation);
                self.state.counters.add("configs_applied", 1);
                self.changed = true;
                self.forget_unnamed();
            }
            Err(error) => event!(Debug, "config-refused", error),
        }
    }

    fn forget_unnamed(&mut self) {
        let bundle = self.board.bundle.clone();
        let members = self.board.members.clone();
        let named = |server: &Server| members.contains_key(server);
        self.asked.retain(|server, _| named(server));
        self.states.retain(|server, _| named(server));
        // An address may have changed: connections are made anew.
        self.peers.clear();
        let addresses: HashSet<Arc<str>> = bundle
            .servers
            .values()
            .map(|member| member.address.clone())
            .collect();
        self.state
            .keep_sidecars(|address| addresses.contains(address));
    }

    fn beat(&mut self, server: Server, answer: Result<Answer, Error>) {
        self.asking.remove(&server);
        let now = clock::now();
        match answer {
            Ok(answer) => {
                let generation = answer.generation;
                let beat = Heartbeat::from(answer);
                if self.board.membership.record_heartbeat(now, &server, beat) {
                    event!(Info, "sidecar-restarted", server);
                    self.state.tell_all_down(&server);
                    self.changed = true;
                }
                self.spread(&server, generation);
            }
            Err(Error::Refused) => self.board.membership.record_refusal(&server),
            Err(Error::Silent) => {}
        }
    }

    /// Passes the newer configuration on, in whichever direction.
    fn spread(&self, server: &Server, theirs: Generation) {
        let ours = self.board.generation();
        let Some(peer) = self.peers.get(server).cloned() else {
            return;
        };
        if theirs > ours {
            tokio::spawn(tasks::pull(peer, ours, self.news.clone()));
        } else if theirs < ours
            && let Some(config) = self.board.history.last().cloned()
        {
            let delta = self.board.history.since(theirs);
            let state = self.state.clone();
            tokio::spawn(tasks::push(state, peer, delta, config));
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.ask(now);
        self.notice(now);
        self.publish(now);
        let snapshot = self.state.snapshot();
        let entries = self.entries();
        self.state.admission.tick(|service| {
            let all = match snapshot.models.get(service) {
                Some(table) => bottleneck(table),
                None => plain_slots(&snapshot, service)?,
            };
            Some((all / entries).max(1))
        });
    }

    /// Returns how many entries share the backend servers, by what these say.
    fn entries(&self) -> u64 {
        let servers = self.board.members.keys();
        let beats = servers.filter_map(|server| self.board.membership.last_heartbeat(server));
        beats.map(|beat| beat.entries).max().unwrap_or(1).max(1)
    }

    /// Asks those sidecars whose turn it is.
    fn ask(&mut self, now: Instant) {
        let settings = self.state.settings.membership;
        let members = self.board.members.clone();
        for (server, member) in members.iter() {
            let busy = self.state.admission.in_flight(&member.service, server) > 0;
            let trouble = self.states.get(server) == Some(&membership::State::Suspect);
            let interval = if busy || trouble {
                settings.busy_interval
            } else {
                settings.idle_interval
            };
            let due = self
                .asked
                .get(server)
                .is_none_or(|asked| now.since(*asked) >= interval);
            if !due || !self.asking.insert(server.clone()) {
                continue;
            }
            self.asked.insert(server.clone(), now);
            self.board.membership.record_poll(now, server);
            let new = || Peer::new(member.address.clone(), PATIENCE);
            let peer = self.peers.entry(server.clone()).or_insert_with(new).clone();
            let ask = Ask {
                entry: self.state.incarnation,
                generation: self.board.generation(),
            };
            tokio::spawn(tasks::heartbeat(
                peer,
                server.clone(),
                ask,
                self.news.clone(),
            ));
        }
    }

    /// Compares each backend server's state with what it was.
    fn notice(&mut self, now: Instant) {
        let servers: Vec<Server> = self.board.members.keys().cloned().collect();
        for server in servers {
            let is = self.board.membership.state(now, &server);
            let was = self.states.insert(server.clone(), is);
            if was == Some(is) {
                continue;
            }
            self.changed = true;
            event!(Info, "member", server, state = format_args!("{is:?}"));
            if is == membership::State::Down && was.is_some() {
                self.state.counters.add("members_down", 1);
                self.state.tell_all_down(&server);
            }
        }
    }

    fn publish(&mut self, now: Instant) {
        let due = now.since(self.published).0 >= LOADS;
        if !self.changed && !due {
            return;
        }
        self.changed = false;
        self.published = now;
        let snapshot = self.board.snapshot(now);
        *lock(&self.state.servers) = self.describe(now);
        self.state
            .publish(snapshot, self.board.history.last().cloned());
    }

    fn describe(&self, now: Instant) -> serde_json::Value {
        let servers = self.board.members.iter().map(|(server, member)| {
            let beat = self.board.membership.last_heartbeat(server);
            let state = self.board.membership.state(now, server);
            json!({
                "server": server,
                "service": member.service,
                "zone": member.zone,
                "layers": member.layers.to_string(),
                "in_use": member.in_use,
                "state": format!("{state:?}").to_lowercase(),
                "generation": beat.map(|beat| beat.generation),
                "held": beat.map(|beat| beat.held),
                "slots": member.slots,
            })
        });
        servers.collect()
    }
}

/// Returns how many requests the backend servers of a plain service can hold.
fn plain_slots(snapshot: &Snapshot, service: &Service) -> Option<u64> {
    let targets = snapshot.plain.get(service)?;
    let members = targets
        .iter()
        .filter_map(|target| snapshot.bundle.servers.get(&target.server));
    Some(members.map(|member| member.slots).sum())
}

/// Returns how many requests the scarcest layer of a model can hold.
fn bottleneck(table: &Table) -> u64 {
    let slots = |layer: u32| -> u64 {
        let holds = |range: jujube_core::layer::Range| range.start <= layer && layer < range.end;
        table
            .candidates
            .iter()
            .filter(|c| holds(c.layers))
            .map(|c| c.slots)
            .sum()
    };
    (0..table.layers).map(slots).min().unwrap_or(0)
}

/// Returns the services of a snapshot that have no usable backend server; for the status page.
pub(crate) fn unserved(state: &State) -> Vec<Service> {
    let snapshot = state.snapshot();
    let models = snapshot
        .models
        .iter()
        .filter(|(_, table)| table.rate <= 0.0);
    let plain = snapshot
        .plain
        .iter()
        .filter(|(_, targets)| targets.is_empty());
    let models = models.map(|(service, _)| service.clone());
    models
        .chain(plain.map(|(service, _)| service.clone()))
        .collect()
}
