//! A planner's term: its authority, and what it has planned.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::fence::HeldLease;
use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::assignment::expected_duration;
use jujube_core::pipeline::bandwidth::Bandwidth;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::settling::Settling;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use tokio::sync::Semaphore;

use crate::dialect::Dialect;
use crate::state::Lifecycle;
use crate::state::State;

use super::LEASE_TTL;
use super::order::MAX_EXCHANGES;
use super::plan::Input;

/// How often the lease is renewed; two renewals may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// How often the plan is checked when nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The source of a planner's authority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Authority {
    /// The planner's lease in the store.
    Lease(Lease),
    /// The planner is gone, and the store cannot elect another.
    Deputy,
}

/// The text of `tenure=` in logs.
impl Display for Authority {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lease(lease) => write!(f, "Lease(Lease({}))", lease.0),
            Self::Deputy => write!(f, "Deputy"),
        }
    }
}

/// A planner's term.
pub(super) struct Term<D, F> {
    pub(super) state: Rc<State<D>>,
    pub(super) store: F,
    pub(super) lease: Cell<HeldLease>,
    pub(super) authority: Authority,
    pub(super) is_over: Cell<bool>,
    /// How often the store had been restored when the term began.
    restores: u64,
    pub(super) orders: RefCell<Assignments>,
    /// Limits the exchanges with servers at the same time. A thousand orders sent at once time out
    /// on the planner's own processor.
    pub(super) exchanges: Semaphore,
    /// The number of orders that each server is known to have accepted.
    pub(super) accepted: RefCell<BTreeMap<Incarnation, u64>>,
    /// The input of the last plan of each model. Planning blocks the event loop for some
    /// milliseconds, and the same input gives the same plan.
    pub(super) planned: RefCell<BTreeMap<Service, Input>>,
    /// How fast the servers of each model load.
    pub(super) bandwidths: RefCell<BTreeMap<Service, Bandwidth>>,
    pub(super) settlings: RefCell<BTreeMap<Service, Settling>>,
}

/// Ends a term when it is dropped, also by a panic: a planner that renews its lease and no longer
/// plans, or the other way round, would keep others from planning.
struct Over<'a, D, F>(&'a Term<D, F>);

impl<D, F> Drop for Over<'_, D, F> {
    fn drop(&mut self) {
        self.0.is_over.set(true);
    }
}

impl<D: Dialect, F: Feed> Term<D, F> {
    pub(super) fn new(
        state: &Rc<State<D>>,
        store: &F,
        lease: HeldLease,
        authority: Authority,
    ) -> Self {
        Self {
            state: state.clone(),
            store: store.clone(),
            lease: Cell::new(lease),
            authority,
            is_over: Cell::new(false),
            restores: state.leadership.restores.get(),
            orders: RefCell::new(inherited_orders(state)),
            exchanges: Semaphore::new(MAX_EXCHANGES),
            accepted: RefCell::default(),
            planned: RefCell::default(),
            bandwidths: RefCell::default(),
            settlings: RefCell::default(),
        }
    }

    pub(super) async fn serve(self: &Rc<Self>) {
        let _over = Over(self);
        if let Authority::Lease(lease) = self.authority {
            self.spawn(self.clone().renew(lease));
        }
        self.spawn(self.clone().poll_servers());
        self.spawn(self.clone().log_servers());
        self.spawn(self.clone().check_missing());
        while !self.is_over.get() {
            if self.state.lifecycle.get() != Lifecycle::Serving {
                self.resign().await;
                break;
            }
            let is_redundant = self.authority == Authority::Deputy && !self.is_needed();
            if is_redundant || self.may_be_lost() {
                break;
            }
            let changed = self.state.roster_changed.notified();
            let _changed_or_timeout = tokio::time::timeout(CHECK_INTERVAL, changed).await;
            if self.may_order() {
                self.plan();
            }
        }
        event!(Info, "planner-lost", token = self.lease.get().token);
    }

    /// Begins one of the term's tasks; the term ends if it panics.
    fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let term = self.clone();
        tokio::task::spawn_local(async move {
            if tokio::task::spawn_local(task).await.is_err() {
                term.is_over.set(true);
            }
        });
    }

    /// Returns whether a deputy is still needed.
    ///
    /// The store recovers some seconds before the lease of the lost planner expires, and until then
    /// no other entry can acquire it. A deputy stops when a report from another planner or deputy
    /// arrives.
    fn is_needed(&self) -> bool {
        let now = clock::now();
        let state = &self.state;
        if state.leadership.election.get().planner(now).is_some() {
            return false;
        }
        if state.roster.borrow().is_store_away() {
            return state.is_store_unavailable_to_all();
        }
        let returned = state.roster.borrow().returned();
        let is_lapsing = returned.is_some_and(|returned| now.since(returned) <= LEASE_TTL);
        state.leadership.is_held.get() && is_lapsing
    }

    /// Returns whether orders may be given.
    ///
    /// While the store is unavailable to all entries, no other planner can be elected, and lost
    /// layers would stay without a holder. This planner then continues under its fencing token,
    /// which is still the highest. It stops once any entry can reach the store, because that entry
    /// may have become planner.
    pub(super) fn may_order(&self) -> bool {
        if self.may_be_lost() {
            return false;
        }
        let is_authorized =
            self.authority == Authority::Deputy || self.lease.get().may_order(clock::now());
        is_authorized || self.state.is_store_unavailable_to_all()
    }

    /// Returns whether a restored store may have lost this term's lease, so that another entry may
    /// hold it too.
    fn may_be_lost(&self) -> bool {
        self.restores != self.state.leadership.restores.get()
    }

    /// Gives up the planner's role before this process stops; otherwise layers would not be placed
    /// until the lease has expired.
    async fn resign(&self) {
        self.is_over.set(true);
        // Gossip reports the vacancy at once, even during an outage of the store.
        self.state.leadership.own.set(None);
        self.state.urgent_report.notify_waiters();
        let Authority::Lease(lease) = self.authority else {
            return;
        };
        match self.store.revoke(lease).await {
            Ok(()) => event!(Info, "planner-resigned", token = self.lease.get().token),
            Err(error) => {
                event!(Info, "planner-not-resigned", cause = error);
            }
        }
    }

    async fn renew(self: Rc<Self>, lease: Lease) {
        while !self.is_over.get() {
            tokio::time::sleep(RENEW_INTERVAL).await;
            let sent = clock::now();
            match self.store.renew(lease).await {
                Ok(true) => {
                    let mut held = self.lease.get();
                    held.renewed = sent;
                    self.lease.set(held);
                }
                Ok(false) => self.is_over.set(true),
                // The store is unavailable. Orders stop once the lease may have expired; after the
                // recovery, any entry that finds it free begins a new term.
                Err(error) => {
                    event!(Info, "lease-not-renewed", cause = error);
                    let held = self.lease.get();
                    let has_lapsed = clock::now().since(held.renewed) > held.ttl;
                    if has_lapsed && !self.state.is_store_unavailable_to_all() {
                        self.is_over.set(true);
                        self.state.leadership.is_held.set(false);
                    }
                }
            }
        }
    }
}

/// Returns the orders that servers accepted from the previous planner.
fn inherited_orders<D>(state: &State<D>) -> Assignments {
    let accepted = state.ordered_layers.borrow();
    let (roster, table) = (state.roster.borrow(), state.table());
    let expected = |server: &Incarnation, layers: Range| {
        let service = roster.get(server).map(|server| &server.service);
        let services = table.as_ref().map(|table| &table.document.services);
        let backend = service.and_then(|service| services?.get(service));
        let model = backend.and_then(|backend| backend.model.as_ref());
        model.map_or(Span::default(), |model| {
            expected_duration(model, layers, accepted.len())
        })
    };
    Assignments::inherited(clock::now(), &accepted, expected)
}
