//! What the tasks of an entry share; all run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;

use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::belief::Belief;
use jujube_core::pipeline::cell::Place;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::era::Settling;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::pulse::Pulse;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_program::clock;

use crate::fleet::Gaps;
use crate::follow::Malformed;
use crate::gossip::Peers;
use crate::metrics::Metrics;
use crate::planner::Leadership;
use crate::pool::Pool;
use crate::probe::Probes;
use crate::retries::Retries;
use crate::retries::Retry;
use crate::settings::Settings;
use crate::waiting::Waiting;
use crate::watchdog;
use crate::watchdog::Streams;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Callers are served.
    #[default]
    Serving,
    /// The platform is told to send no more callers; those that come are served.
    Leaving,
    /// New requests would not end before the process is killed; they are turned away.
    Closing,
}

/// What the tasks of an entry share.
pub struct State<D> {
    /// What the platform calls things; its functions need no value.
    pub dialect: PhantomData<D>,
    /// When the process started.
    pub started: Instant,
    /// The settings.
    pub settings: Settings,
    /// The configuration in force.
    pub table: RefCell<Option<Rc<Table>>>,
    /// The backend servers.
    pub roster: RefCell<Roster>,
    /// Whether the store's era is settled.
    pub settling: Cell<Settling>,
    /// The values of the store that could not be read.
    pub malformed: Malformed,
    /// Whether the registrations were ever read.
    pub registered: Cell<bool>,
    /// The servers of each model, as path choice sees them.
    pub fleets: RefCell<BTreeMap<Service, Rc<Fleet>>>,
    /// The models with layers that no server holds.
    pub gaps: Gaps,
    /// What is in flight.
    pub load: RefCell<Load>,
    /// Who is suspected.
    pub suspicion: RefCell<Suspicion>,
    /// Whether this entry keeps up with its own work.
    pub pulse: RefCell<Pulse>,
    /// Who fails too often.
    pub outliers: RefCell<Outliers>,
    /// Told when the other entries should hear at once of a server that died or refuses.
    pub is_news: tokio::sync::Notify,
    /// What servers told this entry, as the planner, that they hold while the store is away.
    pub told: RefCell<BTreeMap<Incarnation, Range>>,
    /// What the planner has ordered servers to hold and they do not hold yet.
    pub ordered: RefCell<BTreeMap<Incarnation, Range>>,
    /// Retries, and this entry's part of their slack.
    pub retries: Retries,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Questions to backend servers that are under way.
    pub probes: Probes,
    /// The other entries.
    pub peers: Peers,
    /// Requests that wait for room.
    pub waiting: Waiting,
    /// Streams in flight.
    pub streams: Streams,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// How far a stop has come.
    pub phase: Cell<Phase>,
    /// Told when a call to the store went unanswered.
    pub store_doubted: tokio::sync::Notify,
    /// Whether there is a planner.
    pub leadership: Leadership,
    /// Requests in flight.
    pub in_flight: Cell<u64>,
    /// Told whenever placement may have to change.
    pub roster_changed: tokio::sync::Notify,
}

impl<D> State<D> {
    /// Returns the state of an entry that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        let place = Place {
            zone: settings.zone.clone(),
            address: settings.gossip,
        };
        Self {
            dialect: PhantomData,
            started: clock::now(),
            retries: Retries::new(settings.retry),
            peers: Peers::new(settings.name.clone(), place),
            settings,
            table: RefCell::default(),
            roster: RefCell::default(),
            settling: Cell::default(),
            malformed: Malformed::default(),
            registered: Cell::new(false),
            fleets: RefCell::default(),
            gaps: Gaps::default(),
            load: RefCell::default(),
            suspicion: RefCell::default(),
            pulse: RefCell::new(Pulse::new(watchdog::TICK)),
            outliers: RefCell::default(),
            is_news: tokio::sync::Notify::new(),
            told: RefCell::default(),
            ordered: RefCell::default(),
            pool: Pool::default(),
            probes: Probes::default(),
            waiting: Waiting::default(),
            streams: Streams::default(),
            metrics: Metrics::default(),
            phase: Cell::default(),
            store_doubted: tokio::sync::Notify::new(),
            leadership: Leadership::default(),
            in_flight: Cell::new(0),
            roster_changed: tokio::sync::Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.table.borrow().is_some() && self.registered.get();
        known && self.phase.get() == Phase::Serving
    }

    /// Takes one retry for a request; `None` when the retry budget has nothing left.
    pub fn take_retry(&self, service: &Service, request: &str) -> Option<Retry> {
        let (retry, decision) = self.retries.take(service);
        let (outcome, counter) = match retry {
            Some(_) => ("taken", "retries_taken"),
            None => ("denied", "retries_denied"),
        };
        self.metrics.count(counter);
        let grounds = decision.grounds;
        log::info!(
            "event=retry request={request} service={service} outcome={outcome} spent={} paid={:.1} \
             share={:.1} pieces={} trusted={} age_ms={}",
            grounds.spent,
            grounds.paid,
            grounds.share,
            decision.pieces,
            decision.is_trusted,
            clock::now().since(self.started)
        );
        retry
    }

    /// Tells whether the store does not answer this entry.
    ///
    /// An entry that starts in an outage has lost nothing yet. Were it taken for one that the store answers,
    /// each restart would stop the others from going on without the store.
    pub fn is_store_away(&self) -> bool {
        !self.registered.get() || self.roster.borrow().is_store_away()
    }

    /// Tells whether the store answers no entry at all, as far as is known here.
    pub fn is_store_away_for_all(&self) -> bool {
        self.is_store_away() && self.peers.is_store_away()
    }

    /// Returns where a registered backend server listens.
    pub fn address(&self, server: &Incarnation) -> Option<SocketAddr> {
        self.roster.borrow().get(server).map(|known| known.address)
    }

    /// Returns what is believed of a backend server.
    pub fn belief(&self, server: &Incarnation) -> Belief {
        let (roster, suspicion) = (self.roster.borrow(), self.suspicion.borrow());
        Belief::of(
            server,
            clock::now(),
            &roster,
            &suspicion,
            &self.pulse.borrow(),
        )
    }

    /// Books that a request ended well at a backend server.
    pub fn served(&self, server: &Incarnation) {
        self.outliers.borrow_mut().served(clock::now(), server);
    }

    /// Books that a request failed at a backend server.
    pub fn failed(&self, server: &Incarnation) {
        self.outliers.borrow_mut().failed(clock::now(), server);
    }

    /// Books that a backend server refused a request, and tells the other entries.
    pub fn refused(&self, server: &Incarnation) {
        let mut load = self.load.borrow_mut();
        if load.refusals.refused(clock::now(), server) {
            self.is_news.notify_waiters();
        }
    }

    /// Suspects a backend server.
    pub fn accuse(&self, server: &Incarnation, cause: &str) {
        let fresh = self.suspicion.borrow_mut().accuse(clock::now(), server);
        self.pool.close_idle(server);
        if fresh {
            self.load.borrow_mut().lost(clock::now(), server);
            self.is_news.notify_waiters();
            self.streams.request_check(server);
            self.metrics.count("servers_suspected");
            log::info!("event=suspected server={server} cause={cause}");
        }
    }
}
