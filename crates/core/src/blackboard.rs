//! The blackboard: the state that the control thread's controllers read and write, and the
//! immutable snapshot that traffic threads read.

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

/// Where a plain service's backend server takes calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The backend server.
    pub server: Server,
    /// Where its sidecar answers control calls.
    pub address: Arc<str>,
    /// Where its sidecar takes HTTP.
    pub http: Arc<str>,
    /// The run of the sidecar that the call is meant for.
    pub sidecar: BootId,
    /// Requests that it last said it holds.
    pub held: u64,
}

/// What traffic threads see; it is replaced, never changed.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub generation: Generation,
    /// Its content.
    pub bundle: Arc<Bundle>,
    /// Customers by the digest of an API key.
    pub keys: Arc<BTreeMap<Arc<str>, Customer>>,
    /// By model.
    pub models: BTreeMap<Service, Arc<Table>>,
    /// By plain service.
    pub plain: BTreeMap<Service, Vec<Target>>,
    /// Backend servers that may get new work.
    pub usable: BTreeSet<Server>,
}

/// The state of an entry's control thread.
#[derive(Debug)]
pub struct Blackboard {
    /// The keys that sign configurations.
    pub trust: Trust,
    /// The configuration in force and a few before, as peers pass them on.
    pub history: History,
    /// Its content.
    pub bundle: Arc<Bundle>,
    /// The backend servers of the bundle that this entry speaks to.
    pub members: Arc<BTreeMap<Server, Member>>,
    /// Who is there.
    pub membership: Membership,
    entry: BootId,
    subset: subset::Settings,
    keys: Arc<BTreeMap<Arc<str>, Customer>>,
    solved: BTreeMap<Service, Solved>,
}

/// A solved flow and what it was solved for.
#[derive(Debug)]
struct Solved {
    candidates: Vec<Candidate>,
    fleet: Fleet,
    table: Arc<Table>,
}

/// Seconds between tokens that slots are reckoned with; see `docs/PATHS.md`.
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
            solved: BTreeMap::new(),
        }
    }

    /// Returns the generation in force; 0 before the first.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.history.generation()
    }

    /// Applies a configuration if it is newer and holds.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]; what is in force stays.
    pub fn apply(&mut self, config: Config) -> Result<(), ConfigError> {
        let bundle = accept(self.generation(), &config, &self.trust)?;
        self.members = Arc::new(subset(&bundle, self.entry, &self.subset));
        self.membership.set_servers(self.members.keys().cloned());
        self.keys = Arc::new(index(&bundle));
        self.bundle = Arc::new(bundle);
        self.history.push(Arc::new(config));
        Ok(())
    }

    /// Returns a snapshot for the traffic threads, solving again what has changed.
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
        self.solved
            .retain(|service, _| bundle.services.contains_key(service));
        snapshot
    }

    fn target(&self, server: &Server) -> Option<Target> {
        let beat = self.membership.last(server)?;
        Some(Target {
            server: server.clone(),
            address: self.bundle.servers.get(server)?.address.clone(),
            http: beat.http.clone(),
            sidecar: beat.incarnation,
            held: beat.held,
        })
    }

    /// Returns a model's table; it is solved again only when its own part of the fleet has changed,
    /// not for every generation.
    fn table(&mut self, service: &Service, usable: &BTreeSet<Server>) -> Arc<Table> {
        let members = self
            .members
            .iter()
            .filter(|(server, _)| usable.contains(*server));
        let candidates = members.map(|(server, member)| candidate(&self.bundle, server, member, 0));
        let candidates: Vec<Candidate> = candidates.collect();
        let fleet = fleet(&self.bundle, service);
        let solved = self.solved.get(service);
        let same = solved.filter(|s| s.candidates == candidates && s.fleet == fleet);
        let table = match same {
            Some(solved) => solved.table.clone(),
            None => self.solve(service, candidates, fleet),
        };
        let held = |server: &Server| self.membership.last(server).map_or(0, |beat| beat.held);
        Arc::new(table.with_loads(held))
    }

    fn solve(&mut self, service: &Service, candidates: Vec<Candidate>, fleet: Fleet) -> Arc<Table> {
        let table = Arc::new(Table::build(candidates.clone(), fleet.clone()));
        let solved = Solved {
            candidates,
            fleet,
            table: table.clone(),
        };
        self.solved.insert(service.clone(), solved);
        table
    }
}

fn index(bundle: &Bundle) -> BTreeMap<Arc<str>, Customer> {
    let customers = bundle.customers.iter();
    let keys = customers
        .flat_map(|(name, tenant)| tenant.keys.iter().map(|key| (key.clone(), name.clone())));
    keys.collect()
}

/// Returns a backend server of a bundle as a candidate.
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

/// Returns what a bundle says of a model, for the bound; without the groups.
#[must_use]
pub fn fleet(bundle: &Bundle, service: &Service) -> Fleet {
    let offer = bundle.services.get(service).cloned().unwrap_or_default();
    let both = bundle.links.iter().flat_map(|((one, other), link)| {
        let there = (one.clone(), other.clone(), link.bytes);
        let back = (other.clone(), one.clone(), link.bytes);
        [there, back]
    });
    Fleet {
        layers: offer.layers,
        activation_bytes: offer.activation_bytes,
        token_seconds: TOKEN_SECONDS,
        groups: Vec::new(),
        links: both.collect(),
    }
}
