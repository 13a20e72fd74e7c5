//! What the sidecar's tasks share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use jujube_core::at_most_once;
use jujube_core::delta::Delta;
use jujube_core::delta::History;
use jujube_core::fence::Gate;
use jujube_core::head;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::ledger::Ledger;
use jujube_core::ledger::Limits;
use jujube_core::request::BootId;
use jujube_program::clock;
use jujube_program::counters::Counters;
use jujube_program::event;
use jujube_wire::connection::Patience;
use jujube_wire::outbox::Outboxes;

use crate::engine::Engine;
use crate::perform::ToEntry;
use crate::perform::ToStage;
use crate::settings::Settings;

/// The state of a sidecar.
#[derive(Clone)]
pub(crate) struct State(Arc<Inner>);

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) incarnation: BootId,
    pub(crate) http: SocketAddr,
    pub(crate) engine: Engine,
    pub(crate) counters: Counters,
    pub(crate) healthy: AtomicBool,
    pub(crate) draining: AtomicBool,
    /// Whether a response of the service told where its body ends.
    pub(crate) shows_ends: AtomicBool,
    ledger: Mutex<Ledger>,
    deduplicator: Mutex<at_most_once::Deduplicator>,
    gate: Mutex<Gate>,
    history: Mutex<History>,
    outboxes: Mutex<Option<(Outboxes<ToStage>, Outboxes<ToEntry>)>>,
}

impl std::ops::Deref for State {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

/// Slots until the first configuration is applied.
const FIRST_SLOTS: usize = 64;

impl State {
    pub(crate) fn new(settings: Settings, http: SocketAddr, counters: Counters) -> Self {
        let incarnation = clock::incarnation();
        let limits = Limits::default();
        let state = Self(Arc::new(Inner {
            incarnation,
            http,
            engine: Engine::new(&settings.backend, settings.engine_patience),
            counters,
            healthy: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            shows_ends: AtomicBool::new(false),
            ledger: Mutex::new(Ledger::new(settings.server.clone(), limits)),
            deduplicator: Mutex::new(at_most_once::Deduplicator::new(incarnation, FIRST_SLOTS)),
            gate: Mutex::default(),
            history: Mutex::default(),
            outboxes: Mutex::default(),
            settings,
        }));
        let patience = Patience::default();
        let stages = Outboxes::new(ToStage(state.clone()), patience);
        let entries = Outboxes::new(ToEntry(state.clone()), patience);
        *lock(&state.outboxes) = Some((stages, entries));
        state
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    pub(crate) fn deduplicator(&self) -> MutexGuard<'_, at_most_once::Deduplicator> {
        lock(&self.deduplicator)
    }

    pub(crate) fn gate(&self) -> MutexGuard<'_, Gate> {
        lock(&self.gate)
    }

    pub(crate) fn outboxes(&self) -> Option<(Outboxes<ToStage>, Outboxes<ToEntry>)> {
        lock(&self.outboxes).clone()
    }

    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        lock(&self.history).last().cloned()
    }

    pub(crate) fn generation(&self) -> Generation {
        lock(&self.history).generation()
    }

    /// Returns what somebody at a generation lacks.
    pub(crate) fn delta(&self, since: Generation) -> Option<Delta> {
        lock(&self.history).since(since)
    }

    /// Applies a difference, if it starts from what is in force.
    pub(crate) fn apply_delta(&self, delta: &Delta) {
        let config = self.config().and_then(|base| delta.apply(&base));
        if let Some(config) = config {
            self.apply(config);
        }
    }

    /// Applies a configuration if it is newer and holds; peers often offer what is known.
    pub(crate) fn apply(&self, config: Config) {
        let mut history = lock(&self.history);
        let accepted = head::accept(history.generation(), &config, &self.settings.trust);
        let bundle = match accepted {
            Ok(bundle) => bundle,
            Err(error) => {
                event!(Debug, "config-refused", error);
                return;
            }
        };
        if let Some(member) = bundle.servers.get(&self.settings.server) {
            self.ledger().set_slots(member.slots as usize);
            self.deduplicator().set_slots(member.slots as usize);
        }
        event!(Info, "config", generation = config.head.generation);
        history.push(Arc::new(config));
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.ledger().drain();
        self.deduplicator().drain();
    }

    /// Tells whether nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.ledger().is_empty() && self.deduplicator().busy() == 0
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic under one of these locks ends that call only; the ledgers change in whole steps.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
