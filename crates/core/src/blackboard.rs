//! The blackboard: the shared state of the controllers on the control thread, and the immutable
//! snapshot of it that traffic threads read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::bundle::Bundle;
use crate::bundle::Kind;
use crate::bundle::Member;
use crate::bundle::Trust;
use crate::delta::History;
use crate::head::Config;
use crate::head::ConfigError;
use crate::head::Generation;
use crate::head::accept;
use crate::membership::Membership;
use crate::membership::Settings;
use crate::name::Customer;
use crate::name::Server;
use crate::name::Service;
use crate::path::Candidate;
use crate::path::Fleet;
use crate::path::Table;
use crate::request::BootId;
use crate::subset;
use crate::subset::subset;
use crate::time::Instant;

/// A backend server of a plain service that can be called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The backend server.
    pub server: Server,
    /// The address of its sidecar for control calls.
    pub address: Arc<str>,
    /// The address of its sidecar for HTTP.
    pub http: Arc<str>,
    /// The incarnation of the sidecar that a call is addressed to.
    pub sidecar: BootId,
    /// The number of requests that it holds, by its latest heartbeat.
    pub held: u64,
}

/// The state that traffic threads read. A snapshot is replaced as a whole, never modified.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The generation of the configuration in force.
    pub generation: Generation,
    /// The bundle of the configuration in force.
    pub bundle: Arc<Bundle>,
    /// The customers by digest of an API key.
    pub keys: Arc<BTreeMap<Arc<str>, Customer>>,
    /// The routing table of each model.
    pub models: BTreeMap<Service, Arc<Table>>,
    /// The usable targets of each plain service.
    pub plain: BTreeMap<Service, Vec<Target>>,
    /// Backend servers that may get new work.
    pub usable: BTreeSet<Server>,
}

/// The state of an entry's control thread.
#[derive(Debug)]
pub struct Blackboard {
    /// The keys that may sign configurations.
    pub trust: Trust,
    /// The configuration in force and its predecessors, for exchange with peers.
    pub history: History,
    /// The bundle of the configuration in force.
    pub bundle: Arc<Bundle>,
    /// The backend servers of the bundle that this entry connects to.
    pub members: Arc<BTreeMap<Server, Member>>,
    /// The states of these backend servers.
    pub membership: Membership,
    entry: BootId,
    subset: subset::Settings,
    keys: Arc<BTreeMap<Arc<str>, Customer>>,
    solutions: BTreeMap<Service, Solution>,
}

/// A solved table with its inputs.
#[derive(Debug)]
struct Solution {
    candidates: Vec<Candidate>,
    fleet: Fleet,
    table: Arc<Table>,
}

/// Seconds between tokens of one request, for converting slots to a token rate; see
/// `docs/PATHS.md`.
const TOKEN_SECONDS: f64 = 0.032;

impl Blackboard {
    /// Returns a blackboard without a configuration.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::blackboard::Blackboard;
    /// # use jujube_core::bundle::Trust;
    /// # use jujube_core::head::Generation;
    /// # use jujube_core::membership::Settings;
    /// # use jujube_core::request::BootId;
    /// let subset = jujube_core::subset::Settings::default();
    /// let board = Blackboard::new(Trust::default(), Settings::default(), BootId(1), subset);
    /// assert_eq!(board.generation(), Generation(0));
    /// ```
    #[must_use]
    pub fn new(trust: Trust, settings: Settings, entry: BootId, subset: subset::Settings) -> Self {
        Self {
            trust,
            history: History::default(),
            bundle: Arc::default(),
            members: Arc::default(),
            membership: Membership::new(settings),
            entry,
            subset,
            keys: Arc::default(),
            solutions: BTreeMap::new(),
        }
    }

    /// Returns the generation in force; 0 before the first.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.history.generation()
    }

    /// Applies a configuration if it is newer and valid.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]; the configuration in force stays unchanged.
    pub fn apply(&mut self, config: Config) -> Result<(), ConfigError> {
        let bundle = accept(self.generation(), &config, &self.trust)?;
        self.members = Arc::new(subset(&bundle, self.entry, &self.subset));
        self.membership.set_servers(self.members.keys().cloned());
        self.keys = Arc::new(index_keys(&bundle));
        self.bundle = Arc::new(bundle);
        self.history.push(Arc::new(config));
        Ok(())
    }

    /// Returns a snapshot for the traffic threads and recomputes the tables whose inputs have
    /// changed.
    pub fn snapshot(&mut self, now: Instant) -> Snapshot {
        let mut snapshot = Snapshot {
            generation: self.generation(),
            bundle: self.bundle.clone(),
            keys: self.keys.clone(),
            ..Snapshot::default()
        };
        let bundle = self.bundle.clone();
        for (service, offer) in &bundle.services {
            let own =
                |(_, member): &(&Server, &Member)| member.in_use && &member.service == service;
            let servers = self.members.iter().filter(own);
            let servers: Vec<Server> = servers.map(|(server, _)| server.clone()).collect();
            let usable = self.membership.usable(now, &servers);
            match offer.kind {
                Kind::Plain => {
                    let targets = usable.iter().filter_map(|server| self.target(server));
                    snapshot.plain.insert(service.clone(), targets.collect());
                }
                Kind::Model => {
                    let table = self.table(service, &usable);
                    snapshot.models.insert(service.clone(), table);
                }
            }
            snapshot.usable.extend(usable);
        }
        self.solutions
            .retain(|service, _| bundle.services.contains_key(service));
        snapshot
    }

    fn target(&self, server: &Server) -> Option<Target> {
        let beat = self.membership.last_heartbeat(server)?;
        Some(Target {
            server: server.clone(),
            address: self.bundle.servers.get(server)?.address.clone(),
            http: beat.http.clone(),
            sidecar: beat.incarnation,
            held: beat.held,
        })
    }

    /// Returns the table of a model. The flow is solved again only when the candidates or the links
    /// have changed, not for every generation.
    fn table(&mut self, service: &Service, usable: &BTreeSet<Server>) -> Arc<Table> {
        let members = self
            .members
            .iter()
            .filter(|(server, _)| usable.contains(*server));
        let candidates = members.map(|(server, member)| candidate(&self.bundle, server, member, 0));
        let candidates: Vec<Candidate> = candidates.collect();
        let fleet = fleet(&self.bundle, service);
        let solution = self.solutions.get(service);
        let unchanged = solution.filter(|s| s.candidates == candidates && s.fleet == fleet);
        let table = match unchanged {
            Some(solution) => solution.table.clone(),
            None => self.solve(service, candidates, fleet),
        };
        let held = |server: &Server| {
            self.membership
                .last_heartbeat(server)
                .map_or(0, |beat| beat.held)
        };
        Arc::new(table.with_loads(held))
    }

    fn solve(&mut self, service: &Service, candidates: Vec<Candidate>, fleet: Fleet) -> Arc<Table> {
        let table = Arc::new(Table::build(candidates.clone(), fleet.clone()));
        let solution = Solution {
            candidates,
            fleet,
            table: table.clone(),
        };
        self.solutions.insert(service.clone(), solution);
        table
    }
}

fn index_keys(bundle: &Bundle) -> BTreeMap<Arc<str>, Customer> {
    let customers = bundle.customers.iter();
    let keys = customers
        .flat_map(|(name, tenant)| tenant.keys.iter().map(|key| (key.clone(), name.clone())));
    keys.collect()
}

/// Converts a backend server of a bundle to a candidate.
#[must_use]
pub fn candidate(bundle: &Bundle, server: &Server, member: &Member, others: u64) -> Candidate {
    let capacity = bundle.accelerators.get(&member.accelerator);
    Candidate {
        server: server.clone(),
        address: member.address.clone(),
        zone: member.zone.clone(),
        accelerator: member.accelerator.clone(),
        layers: member.layers,
        speed: capacity.map_or(1, |capacity| capacity.layer_tokens),
        slots: member.slots,
        others,
    }
}

/// Returns the parameters of a model for computing the bound, without the groups.
#[must_use]
pub fn fleet(bundle: &Bundle, service: &Service) -> Fleet {
    let offer = bundle.services.get(service).cloned().unwrap_or_default();
    let links = bundle.links.iter().flat_map(|((one, other), link)| {
        let forward = (one.clone(), other.clone(), link.bytes);
        let backward = (other.clone(), one.clone(), link.bytes);
        [forward, backward]
    });
    Fleet {
        layers: offer.layers,
        activation_bytes: offer.activation_bytes,
        token_seconds: TOKEN_SECONDS,
        groups: Vec::new(),
        links: links.collect(),
    }
}
