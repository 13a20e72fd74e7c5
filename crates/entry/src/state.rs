//! What the entry's tasks share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jujube_core::blackboard::Snapshot;
use jujube_core::head::Config;
use jujube_core::ledger::Lost;
use jujube_core::ledger::Opened;
use jujube_core::ledger::Tokens;
use jujube_core::name::Server;
use jujube_core::request::BootId;
use jujube_core::request::Epoch;
use jujube_core::request::Request;
use jujube_core::retry::Budget;
use jujube_program::counters::Counters;
use jujube_store::claims::Claims;
use jujube_store::kv::Etcd;
use jujube_wire::connection::Patience;
use jujube_wire::connection::Peer;
use jujube_wire::outbox::Outboxes;
use jujube_wire::service::SidecarClient;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::admit::Admission;
use crate::api::Sender;
use crate::outgoing::ToSidecar;
use crate::settings::Settings;

/// Something that a session hears of.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A stage answered an open.
    Opened(Server, Epoch, Opened),
    /// A stage is gone, or did not open.
    Lost(Lost),
    /// Tokens came.
    Tokens(Tokens),
    /// A backend server is gone.
    Down(Server),
}

/// The state of an entry.
#[derive(Clone)]
pub(crate) struct State(Arc<Inner>);

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) incarnation: BootId,
    /// Where sidecars call.
    pub(crate) peer: Arc<str>,
    pub(crate) counters: Counters,
    pub(crate) draining: AtomicBool,
    pub(crate) in_flight: AtomicU64,
    pub(crate) claims: Claims<Etcd>,
    pub(crate) admission: Admission,
    pub(crate) sender: Sender,
    snapshot: watch::Sender<Arc<Snapshot>>,
    config: Mutex<Option<Arc<Config>>>,
    numbers: AtomicU64,
    sessions: Mutex<HashMap<u64, mpsc::UnboundedSender<Event>>>,
    peers: Mutex<HashMap<Arc<str>, Peer<SidecarClient>>>,
    budgets: Mutex<HashMap<jujube_core::name::Service, Budget>>,
    outboxes: Mutex<Option<Outboxes<ToSidecar>>>,
    /// What the control thread says of each backend server, for the status page.
    pub(crate) servers: Mutex<serde_json::Value>,
}

impl std::ops::Deref for State {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl State {
    pub(crate) fn new(settings: Settings, peer: Arc<str>, counters: Counters) -> Self {
        let claims = Claims::start(Etcd::new(&settings.kv), settings.grouping);
        let state = Self(Arc::new(Inner {
            incarnation: jujube_program::clock::incarnation(),
            peer,
            counters,
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            claims,
            admission: Admission::new(settings.path),
            sender: Sender::default(),
            snapshot: watch::channel(Arc::default()).0,
            config: Mutex::default(),
            numbers: AtomicU64::new(1),
            sessions: Mutex::default(),
            peers: Mutex::default(),
            budgets: Mutex::default(),
            outboxes: Mutex::default(),
            servers: Mutex::default(),
            settings,
        }));
        let outboxes = Outboxes::new(ToSidecar(state.clone()), Patience::default());
        *lock(&state.outboxes) = Some(outboxes);
        state
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    pub(crate) fn publish(&self, snapshot: Snapshot, config: Option<Arc<Config>>) {
        *lock(&self.config) = config;
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Tells whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && self.snapshot().generation.0 > 0
    }

    pub(crate) fn next_request(&self) -> Request {
        Request {
            entry: self.incarnation,
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Gives a session its mailbox.
    pub(crate) fn register(&self, request: Request) -> mpsc::UnboundedReceiver<Event> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.sessions).insert(request.number, sender);
        receiver
    }

    pub(crate) fn unregister(&self, request: Request) {
        lock(&self.sessions).remove(&request.number);
    }

    /// Puts an event into a session's mailbox; one that has ended hears nothing.
    pub(crate) fn tell(&self, request: Request, event: Event) {
        if request.entry != self.incarnation {
            return;
        }
        if let Some(session) = lock(&self.sessions).get(&request.number) {
            let _ended = session.send(event);
        }
    }

    /// Tells all sessions that a backend server is gone; those that do not use it take no notice.
    pub(crate) fn tell_all_down(&self, server: &Server) {
        for session in lock(&self.sessions).values() {
            let _ended = session.send(Event::Down(server.clone()));
        }
    }

    /// Returns the sidecar at an address.
    pub(crate) fn sidecar(&self, address: &Arc<str>) -> Peer<SidecarClient> {
        let mut peers = lock(&self.peers);
        let new = || Peer::new(address.clone(), Patience::default());
        peers.entry(address.clone()).or_insert_with(new).clone()
    }

    /// Forgets the sidecars that the bundle no longer names.
    pub(crate) fn keep_sidecars(&self, named: impl Fn(&Arc<str>) -> bool) {
        lock(&self.peers).retain(|address, _| named(address));
    }

    pub(crate) fn outboxes(&self) -> Option<Outboxes<ToSidecar>> {
        lock(&self.outboxes).clone()
    }

    /// Works on a service's retry budget.
    pub(crate) fn budget<T>(
        &self,
        service: &jujube_core::name::Service,
        work: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        work(lock(&self.budgets).entry(service.clone()).or_default())
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic under one of these locks ends that request only; what they guard changes in whole
    // steps.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
