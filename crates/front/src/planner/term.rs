//! A term of office: the lease, and what the plan asks for now.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::fence::Holder as Lead;
use jujube_core::name::Service;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::engine::Engine;
use jujube_core::pipeline::placement;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Phase as Work;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;

use crate::dialect::Dialect;
use crate::follow;
use crate::probe;
use crate::state::Phase;
use crate::state::State;

use super::TTL;

/// How often it is renewed; two renewals may be lost.
const RENEW: Duration = Duration::from_millis(900);
/// How often the plan is looked at when nothing changes.
const LOOK: Duration = Duration::from_millis(250);
/// How long the registrations must have been quiet before empty servers are placed for the first
/// time: each placed too early would be placed without knowing the others.
const SETTLED: Span = Span(700);
const _: () = assert!(
    SETTLED.0 > follow::GATHER_PLANNER.0,
    "registrations are not quiet between two looks at them"
);
/// How long a server that joined empty waits for the word of the one that it replaces; in the users'
/// releases that comes a quarter of a second to a second later.
const JOINING: Span = Span(1_300);
/// How often all servers are asked what they hold while the store is away.
const ASK: Duration = Duration::from_millis(1_000);
/// By what right a term is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Tenure {
    /// The lease in the store.
    Lease(Lease),
    /// The planner is gone and the store can make no other.
    Deputy,
}

/// A term of office.
pub(super) struct Term<D, F> {
    pub(super) state: Rc<State<D>>,
    pub(super) store: F,
    pub(super) lead: Cell<Lead>,
    pub(super) tenure: Tenure,
    pub(super) is_over: Cell<bool>,
    /// How often the store had come back from an older copy when the term began.
    restores: u64,
    pub(super) orders: RefCell<Assignments>,
    /// How many orders each server is known to have taken.
    pub(super) taken: RefCell<BTreeMap<Incarnation, u64>>,
    /// What the last plan of each model was made from. Planning takes some milliseconds, in which
    /// no event is passed on, and the same holders give the same plan.
    pub(super) planned: RefCell<BTreeMap<Service, Vec<Holder>>>,
}

impl<D: Dialect, F: Feed> Term<D, F> {
    pub(super) fn new(state: &Rc<State<D>>, store: &F, lead: Lead, tenure: Tenure) -> Self {
        Self {
            state: state.clone(),
            store: store.clone(),
            lead: Cell::new(lead),
            tenure,
            is_over: Cell::new(false),
            restores: state.leadership.restores.get(),
            orders: RefCell::new(Assignments::inherited(
                clock::now(),
                &state.ordered.borrow(),
            )),
            taken: RefCell::default(),
            planned: RefCell::default(),
        }
    }

    pub(super) async fn serve(self: &Rc<Self>) {
        if let Tenure::Lease(lease) = self.tenure {
            tokio::task::spawn_local(self.clone().renew(lease));
        }
        tokio::task::spawn_local(self.clone().watch_holders());
        let mut quiet_since = clock::now();
        let mut known = 0;
        while !self.is_over.get() {
            if self.state.phase.get() != Phase::Serving {
                self.resign().await;
                break;
            }
            let is_needless = self.tenure == Tenure::Deputy && !self.is_needed();
            if is_needless || self.is_forgotten() {
                break;
            }
            let changed = self.state.roster_changed.notified();
            let _either = tokio::time::timeout(LOOK, changed).await;
            let count = self.state.roster.borrow().usable().count();
            if count != known {
                known = count;
                quiet_since = clock::now();
            }
            if self.may_order() {
                let is_settled = clock::now().since(quiet_since) >= SETTLED;
                self.look(is_settled);
            }
        }
        self.is_over.set(true);
        log::info!("event=planner-lost token={}", self.lead.get().token);
    }

    /// Tells whether a deputy is still needed.
    ///
    /// The store is back some seconds before the lease of the planner that is gone has run out; until
    /// then nobody else can have the office. A planner that is heard again has it, or another deputy.
    fn is_needed(&self) -> bool {
        let now = clock::now();
        let state = &self.state;
        if state.leadership.election.get().planner(now).is_some() {
            return false;
        }
        if state.roster.borrow().is_store_away() {
            return state.is_store_away_for_all();
        }
        let returned = state.roster.borrow().returned();
        let is_lapsing = returned.is_some_and(|returned| now.since(returned) <= TTL);
        state.leadership.is_held.get() && is_lapsing
    }

    /// Tells whether orders may be given.
    ///
    /// While the store answers nobody, no other planner can be made, and what dies would stay unmended
    /// until it is back: this one goes on, under the fencing number that is still the highest. An entry
    /// that the store serves may have been made planner, so one such entry ends this.
    pub(super) fn may_order(&self) -> bool {
        if self.is_forgotten() {
            return false;
        }
        let is_office_open =
            self.tenure == Tenure::Deputy || self.lead.get().may_order(clock::now());
        is_office_open || self.state.is_store_away_for_all()
    }

    /// Tells whether the store may have forgotten this term, so that another entry may have the office as well.
    fn is_forgotten(&self) -> bool {
        self.restores != self.state.leadership.restores.get()
    }

    /// Hands the office on before this process stops: else nobody places layers until the lease has
    /// run out.
    async fn resign(&self) {
        self.is_over.set(true);
        // The others hear at once that the office is free, also where the store does not.
        self.state.leadership.own.set(None);
        self.state.is_news.notify_waiters();
        let Tenure::Lease(lease) = self.tenure else {
            return;
        };
        match self.store.revoke(lease).await {
            Ok(()) => log::info!("event=planner-resigned token={}", self.lead.get().token),
            Err(error) => {
                let cause = error.to_string().replace(' ', "-");
                log::info!("event=planner-not-resigned cause={cause}");
            }
        }
    }

    async fn renew(self: Rc<Self>, lease: Lease) {
        while !self.is_over.get() {
            tokio::time::sleep(RENEW).await;
            let sent = clock::now();
            match self.store.renew(lease).await {
                Ok(true) => {
                    let mut lead = self.lead.get();
                    lead.renewed = sent;
                    self.lead.set(lead);
                }
                Ok(false) => self.is_over.set(true),
                // An outage of the store: no orders once the lease may have ended, and whoever
                // finds it free when the store is back begins a new term.
                Err(error) => {
                    let cause = error.to_string().replace(' ', "-");
                    log::info!("event=lease-not-renewed cause={cause}");
                    let lead = self.lead.get();
                    let has_lapsed = clock::now().since(lead.renewed) > lead.ttl;
                    if has_lapsed && !self.state.is_store_away_for_all() {
                        self.is_over.set(true);
                        self.state.leadership.is_held.set(false);
                    }
                }
            }
        }
    }

    /// Asks every server what it holds while the store, which would tell, is away, and those that are slow
    /// how slow they still are.
    ///
    /// The others are not asked: how fast they are shows in the streams that fall behind, and each question
    /// is paid for. Asking all once a second was a third of all questions, and served no more.
    async fn watch_holders(self: Rc<Self>) {
        while !self.is_over.get() {
            tokio::time::sleep(ASK).await;
            for (server, address) in self.doubtful() {
                if let Ok(report) = probe::report(&self.state, &server, address).await {
                    if let Some(held) = report.held {
                        follow::take_held(&self.state, &server, held);
                    }
                    let mut load = self.state.load.borrow_mut();
                    load.asked(clock::now(), &server, report.slowness);
                }
            }
            if !self.state.roster.borrow().is_store_away() {
                self.state.told.borrow_mut().clear();
            }
            let roster = self.state.roster.borrow();
            let mut told = self.state.told.borrow_mut();
            told.retain(|server, _| roster.get(server).is_some());
        }
        self.state.told.borrow_mut().clear();
    }

    /// Returns the servers to ask: those that are slow, and all of them while the store is away.
    fn doubtful(&self) -> Vec<(Incarnation, SocketAddr)> {
        let roster = self.state.roster.borrow();
        let load = self.state.load.borrow();
        let now = clock::now();
        let engines = roster
            .usable()
            .filter(|server| server.accelerator.is_some())
            .filter(|server| {
                roster.is_store_away() || load.slowness(now, &server.incarnation) > 1.0
            });
        let engines = engines.map(|server| (server.incarnation.clone(), server.address));
        engines.collect()
    }

    /// Gives the orders that the plan asks for now.
    fn look(self: &Rc<Self>, is_settled: bool) {
        let Some(table) = self.state.table() else {
            return;
        };
        for (service, backend) in &table.document.services {
            let Some(engine) = &backend.engine else {
                continue;
            };
            let holders = self.holders(service, engine);
            let is_first = holders.iter().all(|holder| holder.held.is_empty());
            if is_first && !is_settled {
                continue;
            }
            let last = self
                .planned
                .borrow_mut()
                .insert(service.clone(), holders.clone());
            if last.is_some_and(|last| is_same_to_plan(&last, &holders)) {
                continue;
            }
            for order in placement::plan(engine, &holders) {
                self.give(order);
            }
        }
    }

    fn holders(&self, service: &Service, engine: &Engine) -> Vec<Holder> {
        let roster = self.state.roster.borrow();
        let mut orders = self.orders.borrow_mut();
        let load = self.state.load.borrow();
        let now = clock::now();
        let held = |server: &Incarnation| roster.get(server).map(|server| server.held);
        for (server, layers, took) in orders.settle(now, held) {
            log::info!("event=order-shown server={server} layers={layers} took_ms={took}");
        }
        self.state.ordered.replace(orders.accepted());
        let servers = roster.usable().filter(|server| server.service == *service);
        let servers = servers.filter(|server| engine.has(server.held));
        let holders = servers.filter_map(|server| {
            let kind = engine.kind(server.accelerator.as_ref())?;
            let order = orders.get(&server.incarnation);
            let requests = load.requests(&server.incarnation);
            let age = roster.age(now, &server.incarnation).unwrap_or_default();
            let phase = match order {
                Some(order) => order.phase(now, requests, engine, orders.len()),
                None if server.held.is_empty() && age < JOINING => Work::Joining,
                None => Work::Settled,
            };
            Some(Holder {
                server: server.incarnation.clone(),
                zone: server.zone.clone(),
                kind,
                held: order.map_or(server.held, |order| order.layers),
                carried: server.held,
                requests,
                phase,
            })
        });
        let suspicion = self.state.suspicion.borrow();
        let pulse = self.state.pulse.borrow();
        let trusted =
            holders.filter(|holder| !suspicion.is_replaceable(now, &holder.server, &pulse));
        let is_away = roster.is_store_away();
        let staying = trusted.filter(|holder| {
            let is_leaving = load.refusals.is_leaving(now, &holder.server);
            !(is_away && is_leaving)
        });
        staying.collect()
    }
}

/// Tells whether a plan would be made from the same; how much passes decides only who moves, not whether anybody is to.
fn is_same_to_plan(before: &[Holder], now: &[Holder]) -> bool {
    let without_requests = |holders: &[Holder]| -> Vec<Holder> {
        let holders = holders.iter().cloned();
        holders
            .map(|holder| Holder {
                requests: 0,
                ..holder
            })
            .collect()
    };
    without_requests(before) == without_requests(now)
}
