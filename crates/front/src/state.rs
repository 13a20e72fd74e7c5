//! The state shared by an entry's tasks, all of which run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;

use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::descriptors::Descriptors;
use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::era::Settling;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::framing::Framings;
use jujube_core::pipeline::limits::Limits;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::local_health::LocalHealth;
use jujube_core::pipeline::memory::MemoryBudget;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::quarantine::Quarantine;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::share;
use jujube_core::pipeline::share::StoreLimits;
use jujube_core::pipeline::stalls::Stalls;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;

use crate::crowd::Crowd;
use crate::departure::Exit;
use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::feed::kind;
use crate::fleet::Gaps;
use crate::gossip::Peers;
use crate::hold::Held;
use crate::malformed::Malformed;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::planner::Leadership;
use crate::pool::Pool;
use crate::probe::Probes;
use crate::reason::Reason;
use crate::retries::Retries;
use crate::retries::Retry;
use crate::settings::Settings;
use crate::vitals;
use crate::waiting::Waiting;
use crate::watchdog;
use crate::watchdog::Streams;

/// The stages of a process, from its start to a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lifecycle {
    /// The address for callers cannot be had yet.
    #[default]
    Starting,
    /// The entry is ready and serves callers.
    Serving,
    /// The entry reports not ready; new requests that can end in time are still served.
    Draining,
    /// New requests are refused: they might not complete before the process is killed.
    Closing,
}

/// The state shared by an entry's tasks.
pub struct State<D> {
    /// The dialect, whose functions need no value.
    pub dialect: PhantomData<D>,
    /// When the process started.
    pub started: Instant,
    pub settings: Settings,
    /// The address at which other entries find this one; `None` until it has internal sockets.
    pub internal: Cell<Option<SocketAddr>>,
    /// The configuration in force.
    pub table: RefCell<Option<Rc<Table>>>,
    /// What is known of the store, and passed on to other entries.
    pub feed: Rc<Feed>,
    /// The registered backend servers.
    pub roster: RefCell<Roster>,
    /// Whether pieces of an earlier era may still be in use.
    pub settling: Cell<Settling>,
    /// The values in the store that could not be decoded, already logged.
    pub malformed: Malformed,
    /// Whether the registrations have been read at least once.
    pub registrations_read: Cell<bool>,
    /// The servers of each model that paths are chosen from.
    pub fleets: RefCell<BTreeMap<Service, Rc<Fleet>>>,
    /// The models with layers that no server holds.
    pub gaps: Gaps,
    /// The requests in flight at each backend server.
    pub load: RefCell<Load>,
    /// The suspected backend servers.
    pub suspicion: RefCell<Suspicion>,
    /// Detects stalls of this process.
    pub local_health: RefCell<LocalHealth>,
    /// How long the event loop did not run.
    pub stalls: RefCell<Stalls>,
    /// The failure rates of backend servers.
    pub outliers: RefCell<Outliers>,
    /// The services whose servers state where the bodies of their responses end.
    pub framings: RefCell<Framings>,
    /// The requests that crash backend servers.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when a request was quarantined and is to be written to the store.
    pub quarantine_added: tokio::sync::Notify,
    /// Notified when a request found a server closed by its limit, so that others may lend.
    pub loan_wanted: tokio::sync::Notify,
    /// Notified when a crash or a refusal should be reported to the other entries at once.
    pub urgent_report: tokio::sync::Notify,
    /// The layers that servers reported to this entry, as the planner, while the store is
    /// unavailable.
    pub reported_layers: RefCell<BTreeMap<Incarnation, Range>>,
    /// The layers that the planner has ordered servers to hold, until the servers report them.
    pub ordered_layers: RefCell<BTreeMap<Incarnation, Range>>,
    /// The KV capacity for requests that arrive now, in tokens, as this entry saw it when it last
    /// planned.
    pub served_tokens: Cell<f64>,
    /// The retry budget, including this entry's pieces of the slack.
    pub retries: Retries,
    /// The connections to backend servers.
    pub pool: Pool,
    /// The probes of backend servers in progress.
    pub probes: Probes,
    /// The other entries.
    pub peers: Peers,
    /// The requests that wait for what they need to become known.
    pub held: Held,
    /// The memory held for callers and servers.
    pub memory: Rc<Memory>,
    /// The connections and requests of callers.
    pub crowd: Crowd,
    /// How the descriptors are shared out.
    pub descriptors: Descriptors,
    /// The requests waiting for capacity.
    pub waiting: Waiting,
    /// The streams in flight.
    pub streams: Streams<D>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// The stage of a graceful shutdown.
    pub lifecycle: Cell<Lifecycle>,
    /// When the process exits, once it stops.
    pub exit: Exit,
    /// Notified when a call to the store has failed or timed out.
    pub store_call_failed: tokio::sync::Notify,
    /// What is known about the planner.
    pub leadership: Leadership,
    /// The number of requests in flight.
    pub in_flight: Rc<Cell<u64>>,
    /// Notified when the placement of layers may have to change.
    pub roster_changed: tokio::sync::Notify,
}

impl<D: Dialect> State<D> {
    /// Creates the state of an entry that has read nothing from the store yet.
    pub fn new(settings: Settings) -> Self {
        let place = Location {
            zone: settings.zone.clone(),
            address: settings.gossip,
        };
        let bounds = Bounds::new(settings.limits.contact, settings.limits.apply);
        let capacity = MemoryBudget::capacity_of(settings.memory);
        let crowd = Crowd::new(settings.memory);
        let descriptors = settings.descriptors.or_else(vitals::descriptors);
        let descriptors = Descriptors::new(descriptors);
        crowd.limit_descriptors(descriptors.callers());
        let idle_connections = share::idle_connections(settings.memory);
        let idle_connections = idle_connections.min(descriptors.idle_connections());
        Self {
            dialect: PhantomData,
            started: clock::now(),
            retries: Retries::new(settings.retry),
            peers: Peers::new(settings.name.clone(), place, settings.memory),
            feed: Rc::new(Feed::new(
                settings.name.clone(),
                bounds,
                kind::of::<D>,
                StoreLimits::of(settings.memory).snapshot,
            )),
            settings,
            internal: Cell::default(),
            table: RefCell::default(),
            roster: RefCell::default(),
            settling: Cell::default(),
            malformed: Malformed::default(),
            registrations_read: Cell::new(false),
            fleets: RefCell::default(),
            gaps: Gaps::default(),
            load: RefCell::new(Load::new(Limits::started(clock::now(), rand::random()))),
            suspicion: RefCell::default(),
            local_health: RefCell::new(LocalHealth::new(watchdog::TICK)),
            stalls: RefCell::new(Stalls::new(clock::now(), watchdog::TICK)),
            outliers: RefCell::default(),
            framings: RefCell::default(),
            quarantine: RefCell::default(),
            quarantine_added: tokio::sync::Notify::new(),
            loan_wanted: tokio::sync::Notify::new(),
            urgent_report: tokio::sync::Notify::new(),
            reported_layers: RefCell::default(),
            ordered_layers: RefCell::default(),
            served_tokens: Cell::default(),
            pool: Pool::new(idle_connections, crowd.total().clone()),
            probes: Probes::default(),
            held: Held::default(),
            memory: Rc::new(Memory::new(capacity).within(crowd.total().clone())),
            crowd,
            descriptors,
            waiting: Waiting::default(),
            streams: Streams::default(),
            metrics: Rc::new(Metrics::with_counters(Reason::ALL)),
            lifecycle: Cell::default(),
            exit: Exit::default(),
            store_call_failed: tokio::sync::Notify::new(),
            leadership: Leadership::default(),
            in_flight: Rc::default(),
            roster_changed: tokio::sync::Notify::new(),
        }
    }
}

impl<D> State<D> {
    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns whether the configuration and the registrations are known.
    pub fn is_initialized(&self) -> bool {
        self.table.borrow().is_some() && self.registrations_read.get()
    }

    /// Returns whether callers may be sent to this entry.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && self.lifecycle.get() == Lifecycle::Serving
    }

    /// Begins the next stage of a graceful shutdown.
    pub fn enter(&self, lifecycle: Lifecycle) {
        self.lifecycle.set(lifecycle);
        self.held.check();
    }

    /// Acquires a retry for a request; `None` if the retry budget is exhausted.
    pub fn take_retry(&self, service: &Service, request: &str) -> Option<Retry> {
        let (retry, decision) = self.retries.acquire(service);
        let (outcome, counter) = match retry {
            Some(_) => ("taken", "retries_taken"),
            None => ("denied", "retries_denied"),
        };
        self.metrics.count(counter);
        let balance = decision.balance;
        event!(
            Info,
            "retry",
            request,
            service,
            outcome,
            spent = balance.spent,
            paid = format_args!("{:.1}", balance.paid),
            share = format_args!("{:.1}", balance.share),
            pieces = decision.pieces,
            trusted = decision.is_trusted,
            age_ms = clock::now().since(self.started)
        );
        retry
    }

    /// Returns whether the store is unavailable to this entry.
    ///
    /// This includes an entry that starts during an outage. If it counted as connected, each restart
    /// would stop the other entries from continuing without the store.
    pub fn is_store_unavailable(&self) -> bool {
        !self.registrations_read.get() || self.roster.borrow().is_store_away()
    }

    /// Returns whether the store is unavailable to all entries, as far as this entry knows.
    pub fn is_store_unavailable_to_all(&self) -> bool {
        self.is_store_unavailable() && self.peers.is_store_unavailable()
    }

    /// Returns why no server may get a request: what of it is in quarantine.
    pub fn quarantine_cause(&self, features: &Features) -> Option<Digest> {
        self.quarantine.borrow().cause(features)
    }

    /// Returns the address of a registered backend server.
    pub fn address(&self, server: &Incarnation) -> Option<SocketAddr> {
        self.roster
            .borrow()
            .get(server)
            .map(|server| server.address)
    }

    /// Returns the assumed state of a backend server.
    pub fn liveness(&self, server: &Incarnation) -> Liveness {
        let (roster, suspicion) = (self.roster.borrow(), self.suspicion.borrow());
        Liveness::assess(
            server,
            clock::now(),
            &roster,
            &suspicion,
            &self.local_health.borrow(),
        )
    }

    /// Records a successful request at a backend server.
    pub fn served(&self, server: &Incarnation, request: Digest) {
        let mut outliers = self.outliers.borrow_mut();
        outliers.served(clock::now(), server, request);
    }

    /// Records a failed request at a backend server.
    pub fn failed(&self, server: &Incarnation, request: Digest) {
        let mut outliers = self.outliers.borrow_mut();
        outliers.failed(clock::now(), server, request);
    }

    /// Records that a backend server refused a request; the first refusal is reported to the other
    /// entries at once.
    pub fn refused(&self, server: &Incarnation) {
        let mut load = self.load.borrow_mut();
        if load.refusals.refused(clock::now(), server) {
            self.urgent_report.notify_waiters();
        }
    }

    /// Suspects a backend server.
    pub fn suspect(&self, server: &Incarnation, cause: &str) {
        let fresh = self.suspicion.borrow_mut().suspect(clock::now(), server);
        self.pool.close_idle(server);
        if fresh {
            self.load.borrow_mut().server_lost(clock::now(), server);
            self.urgent_report.notify_waiters();
            self.streams.request_check(server);
            self.metrics.count("servers_suspected");
            event!(Info, "suspected", server, cause);
        }
    }
}
