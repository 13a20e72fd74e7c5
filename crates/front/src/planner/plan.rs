//! The plan of a term: what it is made from, and the orders that have their turn.

use std::rc::Rc;
use std::sync::Arc;

use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::assignment::Completed;
use jujube_core::pipeline::assignment::Load;
use jujube_core::pipeline::feed::bounds;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::placement;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Phase as Work;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::settling::SETTLE_TIME;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Feed;

use crate::dialect::Dialect;

use super::term::Term;

const _: () = assert!(
    SETTLE_TIME.0 > bounds::MAX_PAUSE.0,
    "the settle time must exceed the pause between two calls to the store"
);
/// How long a server that joined empty waits for the drain of the server that it replaces, which
/// usually follows within a second.
const JOIN_DELAY: Span = Span(1_300);

/// What a model's orders are decided from.
#[derive(Clone, Debug)]
pub(super) struct Input {
    model: Arc<Model>,
    holders: Vec<Holder>,
    /// The number of servers that may load at the same time.
    concurrent: usize,
}

impl<D: Dialect, F: Feed> Term<D, F> {
    /// Gives the orders that the current plan requires and that have their turn.
    pub(super) fn plan(self: &Rc<Self>) {
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
                model: model.clone(),
                holders,
                concurrent,
            };
            self.plan_model(service, input);
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

    fn plan_model(self: &Rc<Self>, service: &Service, input: Input) {
        let model = &*input.model;
        if self.must_wait(service, model, &input.holders) {
            return;
        }
        let mut planned = self.planned.borrow_mut();
        let last = planned.insert(service.clone(), input.clone());
        drop(planned);
        if last.is_some_and(|last| is_same_input(&last, &input)) {
            return;
        }
        if !model.is_placeable() {
            event!(Warn, "not-placed", service, layers = model.layers);
        }
        let orders = placement::plan(model, &input.holders);
        let wanted = orders.len();
        let orders = placement::schedule(model, &input.holders, orders, input.concurrent);
        self.log_plan(service, &input, orders.len(), wanted);
        for order in orders {
            self.start_order(order);
        }
    }

    /// Returns whether to wait for more servers before the plan.
    fn must_wait(&self, service: &Service, model: &Model, holders: &[Holder]) -> bool {
        let has_path = placement::has_path(model, holders);
        let entries = self.state.peers.directory.borrow().count();
        let told_through = self.state.feed.told_through(entries);
        let mut settlings = self.settlings.borrow_mut();
        let settling = settlings.entry(service.clone()).or_default();
        settling.must_wait(clock::now(), told_through, has_path, holders.len())
    }

    /// Logs what a plan was made from: the KV capacity for requests that arrive now, the orders under
    /// way, and the loads among them, which share a rate.
    fn log_plan(&self, service: &Service, input: &Input, orders: usize, wanted: usize) {
        let Input {
            model,
            holders,
            concurrent,
        } = input;
        let served = placement::served_tokens(model, holders);
        self.state.metrics.count("plans");
        self.state.served_tokens.set(served);
        let loading = holders.iter().filter(|holder| holder.is_loading());
        let loads: Vec<u32> = loading.map(Holder::layers_to_load).collect();
        event!(
            Info,
            "planned",
            service,
            orders,
            servers = holders.len(),
            missing = self.state.roster.borrow().missing.servers().count(),
            served_tokens = format_args!("{served:.0}"),
            under_way = self.orders.borrow().len(),
            loads = loads.len(),
            layers_loading = loads.iter().copied().map(u64::from).sum::<u64>(),
            wanted,
            concurrent
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

    /// Returns the servers of a model as the plan sees them.
    pub(super) fn holders(&self, service: &Service, model: &Model) -> Vec<Holder> {
        self.settle_orders();
        let mut holders = self.registered_holders(service, model);
        holders.extend(self.missing_holders(service, model));
        holders
    }

    /// Removes the orders that are done.
    fn settle_orders(&self) {
        let roster = self.state.roster.borrow();
        let mut orders = self.orders.borrow_mut();
        let held = |server: &Incarnation| roster.get(server).map(|server| server.held);
        let under_way = orders.len();
        for completed in orders.settle(clock::now(), held) {
            let Completed {
                server,
                layers,
                took,
                load,
            } = completed;
            event!(
                Info,
                "order-shown",
                server,
                layers,
                took_ms = took,
                under_way
            );
            if let Some(load) = load {
                self.record_load(&server, load, under_way);
            }
        }
        self.state.ordered_layers.replace(orders.accepted());
    }

    fn registered_holders(&self, service: &Service, model: &Model) -> Vec<Holder> {
        let roster = self.state.roster.borrow();
        let orders = self.orders.borrow();
        let load = self.state.load.borrow();
        let now = clock::now();
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
        staying.collect()
    }

    /// Returns the servers that lost their registrations and may be back soon.
    fn missing_holders(&self, service: &Service, model: &Model) -> Vec<Holder> {
        let roster = self.state.roster.borrow();
        let phase = match roster.missing.is_lapsing(clock::now()) {
            true => Work::Lapsing,
            false => Work::Missing,
        };
        let missing = roster
            .missing
            .servers()
            .filter(|server| server.service == *service)
            .filter(|server| model.contains(server.held));
        let missing = missing.filter_map(|server| {
            let profile = model.profile(server.accelerator.as_ref())?;
            Some(Holder {
                server: server.incarnation.clone(),
                zone: server.zone.clone(),
                profile,
                assigned: server.held,
                serving: Range::default(),
                requests: 0,
                phase,
            })
        });
        missing.collect()
    }
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
    let is_same_model = before.model == now.model && before.concurrent == now.concurrent;
    is_same_model && is_same_size && pairs.all(is_same)
}
