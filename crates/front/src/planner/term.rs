//! A planner's term: its authority, and the orders that the current plan requires.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::fence::HeldLease;
use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::assignment::Completed;
use jujube_core::pipeline::assignment::Load;
use jujube_core::pipeline::assignment::expected_duration;
use jujube_core::pipeline::bandwidth::Bandwidth;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::placement;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Phase as Work;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::settling::SETTLE_TIME;
use jujube_core::pipeline::settling::Settling;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use tokio::sync::Semaphore;

use crate::dialect::Dialect;
use crate::state::Lifecycle;
use crate::state::State;
use crate::store_watch;

use super::LEASE_TTL;
use super::order::MAX_EXCHANGES;

/// How often the lease is renewed; two renewals may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// How often the plan is checked when nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const _: () = assert!(
    SETTLE_TIME.0 > store_watch::MAX_PLANNER_PAUSE.0,
    "the settle time must exceed the planner's pause between two calls"
);
/// How long a server that joined empty waits for the drain of the server that it replaces, which
/// usually follows within a second.
const JOIN_DELAY: Span = Span(1_300);

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
    planned: RefCell<BTreeMap<Service, Input>>,
    /// How fast the servers of each model load.
    bandwidths: RefCell<BTreeMap<Service, Bandwidth>>,
    settlings: RefCell<BTreeMap<Service, Settling>>,
}

/// What a model's orders are decided from.
#[derive(Clone, Debug)]
struct Input {
    holders: Vec<Holder>,
    /// The number of servers that may load at the same time.
    concurrent: usize,
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
        if let Authority::Lease(lease) = self.authority {
            tokio::task::spawn_local(self.clone().renew(lease));
        }
        tokio::task::spawn_local(self.clone().poll_servers());
        tokio::task::spawn_local(self.clone().log_servers());
        tokio::task::spawn_local(self.clone().check_missing());
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
        self.is_over.set(true);
        log::info!("event=planner-lost token={}", self.lease.get().token);
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
            Ok(()) => log::info!("event=planner-resigned token={}", self.lease.get().token),
            Err(error) => {
                let cause = error.to_string().replace(' ', "-");
                log::info!("event=planner-not-resigned cause={cause}");
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
                    let cause = error.to_string().replace(' ', "-");
                    log::info!("event=lease-not-renewed cause={cause}");
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

    /// Gives the orders that the current plan requires and that have their turn.
    fn plan(self: &Rc<Self>) {
        let Some(table) = self.state.table() else {
            return;
        };
        let services = table.document.services.iter();
        let models =
            services.filter_map(|(service, backend)| Some((service, backend.model.as_ref()?)));
        let models: Vec<_> = models
            .map(|(service, model)| (service, model, self.holders(service, model)))
            .collect();
        let loads = |holders: &[Holder]| holders.iter().filter(|h| h.is_loading()).count();
        let all_loads: usize = models.iter().map(|(.., holders)| loads(holders)).sum();
        for (service, model, holders) in models {
            let others = all_loads - loads(&holders);
            let concurrent = self.concurrent_loads(service, model, others);
            let input = Input {
                holders,
                concurrent,
            };
            self.plan_model(service, model, input);
        }
    }

    /// Returns how many servers of a model may load at the same time while `others` servers of other
    /// models load from the same storage.
    fn concurrent_loads(&self, service: &Service, model: &Model, others: usize) -> usize {
        let mut bandwidths = self.bandwidths.borrow_mut();
        let bandwidth = bandwidths.entry(service.clone()).or_default();
        let all = bandwidth.concurrent_loads(clock::now(), model);
        all.saturating_sub(others).max(1)
    }

    fn plan_model(self: &Rc<Self>, service: &Service, model: &Model, input: Input) {
        if self.must_wait(service, model, &input.holders) {
            return;
        }
        let mut planned = self.planned.borrow_mut();
        let last = planned.insert(service.clone(), input.clone());
        drop(planned);
        if last.is_some_and(|last| is_same_input(&last, &input)) {
            return;
        }
        let orders = placement::plan(model, &input.holders);
        let wanted = orders.len();
        let orders = placement::schedule(model, &input.holders, orders, input.concurrent);
        self.log_plan(service, model, &input, orders.len(), wanted);
        for order in orders {
            self.start_order(order);
        }
    }

    /// Returns whether to wait for more servers before the plan.
    fn must_wait(&self, service: &Service, model: &Model, holders: &[Holder]) -> bool {
        let has_path = placement::has_path(model, holders);
        let mut settlings = self.settlings.borrow_mut();
        let settling = settlings.entry(service.clone()).or_default();
        settling.must_wait(clock::now(), has_path, holders.len())
    }

    /// Logs what a plan was made from: the KV capacity for requests that arrive now, the orders under
    /// way, and the loads among them, which share a rate.
    fn log_plan(
        &self,
        service: &Service,
        model: &Model,
        input: &Input,
        orders: usize,
        wanted: usize,
    ) {
        let Input {
            holders,
            concurrent,
        } = input;
        let served = placement::served_tokens(model, holders);
        self.state.metrics.count("plans");
        self.state.served_tokens.set(served);
        let loading = holders.iter().filter(|holder| holder.is_loading());
        let loads: Vec<u32> = loading.map(Holder::layers_to_load).collect();
        log::info!(
            "event=planned service={service} orders={orders} servers={} missing={} \
             served_tokens={served:.0} under_way={} loads={} layers_loading={} wanted={wanted} \
             concurrent={concurrent}",
            holders.len(),
            self.state.roster.borrow().missing.servers().count(),
            self.orders.borrow().len(),
            loads.len(),
            loads.iter().sum::<u32>()
        );
    }

    /// Records how long a server loaded while `loads` servers did.
    fn record_load(&self, server: &Incarnation, load: Load, loads: usize) {
        let roster = self.state.roster.borrow();
        let service = roster.get(server).map(|server| server.service.clone());
        let (Some(service), Some(table)) = (service, self.state.table()) else {
            return;
        };
        let backend = table.document.services.get(&service);
        let Some(model) = backend.and_then(|backend| backend.model.as_ref()) else {
            return;
        };
        let mut bandwidths = self.bandwidths.borrow_mut();
        let bandwidth = bandwidths.entry(service).or_default();
        bandwidth.record(clock::now(), model, load, loads);
    }

    pub(super) fn holders(&self, service: &Service, model: &Model) -> Vec<Holder> {
        let roster = self.state.roster.borrow();
        let mut orders = self.orders.borrow_mut();
        let load = self.state.load.borrow();
        let now = clock::now();
        let held = |server: &Incarnation| roster.get(server).map(|server| server.held);
        let under_way = orders.len();
        for completed in orders.settle(now, held) {
            let Completed {
                server,
                layers,
                took,
                load,
            } = completed;
            log::info!(
                "event=order-shown server={server} layers={layers} took_ms={took} under_way={under_way}"
            );
            if let Some(load) = load {
                self.record_load(&server, load, under_way);
            }
        }
        self.state.ordered_layers.replace(orders.accepted());
        let servers = roster.usable().filter(|server| server.service == *service);
        let servers = servers.filter(|server| model.contains(server.held));
        let holders = servers.filter_map(|server| {
            let profile = model.profile(server.accelerator.as_ref())?;
            let order = orders.get(&server.incarnation);
            let requests = load.requests(&server.incarnation);
            let age = roster.age(now, &server.incarnation).unwrap_or_default();
            let phase = match order {
                Some(order) => order.phase(now, requests, model, orders.len()),
                None if server.held.is_empty() && age < JOIN_DELAY => Work::Joining,
                None => Work::Settled,
            };
            Some(Holder {
                server: server.incarnation.clone(),
                zone: server.zone.clone(),
                profile,
                assigned: order.map_or(server.held, |order| order.layers),
                serving: server.held,
                requests,
                phase,
            })
        });
        let suspicion = self.state.suspicion.borrow();
        let local_health = self.state.local_health.borrow();
        let trusted =
            holders.filter(|holder| !suspicion.is_replaceable(now, &holder.server, &local_health));
        let is_away = roster.is_store_away();
        let staying = trusted.filter(|holder| {
            let is_leaving = load.refusals.is_leaving(now, &holder.server);
            !(is_away && is_leaving)
        });
        let missing_phase = match roster.missing.is_lapsing(now) {
            true => Work::Lapsing,
            false => Work::Missing,
        };
        let missing = roster
            .missing
            .servers()
            .filter(|server| server.service == *service);
        let missing = missing.filter(|server| model.contains(server.held));
        let missing = missing.filter_map(|server| {
            let profile = model.profile(server.accelerator.as_ref())?;
            Some(Holder {
                server: server.incarnation.clone(),
                zone: server.zone.clone(),
                profile,
                assigned: server.held,
                serving: Range::default(),
                requests: 0,
                phase: missing_phase,
            })
        });
        staying.chain(missing).collect()
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

/// Returns whether two inputs give the same plan; the numbers of requests affect only which servers
/// move, not whether any do.
fn is_same_input(before: &Input, now: &Input) -> bool {
    let is_same = |(before, now): (&Holder, &Holder)| {
        let Holder {
            server,
            zone,
            profile,
            assigned,
            serving,
            requests: _,
            phase,
        } = before;
        let is_same_server = *server == now.server && *zone == now.zone && *profile == now.profile;
        is_same_server
            && *assigned == now.assigned
            && *serving == now.serving
            && *phase == now.phase
    };
    let is_same_size = before.holders.len() == now.holders.len();
    let mut pairs = before.holders.iter().zip(&now.holders);
    before.concurrent == now.concurrent && is_same_size && pairs.all(is_same)
}
