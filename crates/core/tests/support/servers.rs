//! A simulation of backend servers that load and unload layers, and of their planner.

#![allow(dead_code, reason = "each test file uses its part")]
#![allow(clippy::expect_used, reason = "a fixture that fails must panic")]

use std::collections::BTreeMap;

use jujube_core::layer::Range;
use jujube_core::layer::gaps;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::assignment::expected_duration;
use jujube_core::pipeline::bandwidth::Bandwidth;
use jujube_core::pipeline::missing::Missing;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::placement::Phase;
use jujube_core::pipeline::placement::has_path;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::placement::schedule;
use jujube_core::pipeline::placement::served_tokens;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server as Registration;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::settling::Settling;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fleets::Fleet;
use super::pipeline::carried_out;
use super::pipeline::holders;
use super::pipeline::model;
use super::pipeline::region;

/// The duration of a simulation step.
pub const STEP_MS: u64 = 50;
/// The maximum duration of a simulation.
pub const MAX_DURATION_MS: u64 = 60_000;
/// The interval between plans, and between attempts to send a refused order.
const PLAN_INTERVAL_MS: u64 = 250;
const RETRY_INTERVAL_MS: u64 = 700;
/// The maximum duration of a request.
const MAX_REQUEST_MS: u64 = 20_000;
/// The interval between checks of servers that lost their registrations.
const CHECK_INTERVAL_MS: u64 = 500;
/// How long after its due time a load counts as blocked.
const BLOCKED_AFTER_MS: u64 = 1_500;
/// The maximum delay of registrations.
const MAX_LAG_MS: u64 = 1_000;
/// The time in which the registrations of a storm lapse, one after the other.
const STORM_MS: u64 = 1_500;
/// The time in which all servers register after a loss of power.
const RETURN_MS: u64 = 1_000;
/// The maximum share of servers that do not return from a loss of power.
const MAX_LOST_SHARE: f64 = 0.2;
/// The maximum duration of a request that starts while a simulation runs.
const MAX_NEW_REQUEST_MS: u64 = 6_000;
/// The probability that a server gets a request in a step.
const NEW_REQUEST_CHANCE: f64 = 0.3;
/// KV memory of the requests in flight at normal traffic, in tokens: 79 streams per second of two
/// seconds and 974 tokens each.
const NORMAL_TOKENS: f64 = 154_000.0;

/// A request that uses layers of a server.
#[derive(Clone, Debug)]
struct Passing {
    layers: Range,
    ends: u64,
    /// Whether an entry reports it.
    is_known: bool,
}

/// A server's answer to an order.
enum Answer {
    Begins,
    Holds,
    /// It still executes another order.
    Refuses,
}

/// An order in progress at a server.
#[derive(Clone, Debug)]
struct Move {
    layers: Range,
    /// The remaining load time at full speed.
    left_ms: f64,
}

#[derive(Clone, Debug)]
struct Server {
    holder: Holder,
    held: Range,
    /// The layers that it reports to hold: those that it releases too until it starts to load.
    shown: Range,
    passing: Vec<Passing>,
    moving: Option<Move>,
    /// When it is not registered, from and to.
    lapses: Vec<(u64, u64)>,
}

impl Server {
    fn is_registered(&self, now: u64) -> bool {
        !self
            .lapses
            .iter()
            .any(|(from, to)| (*from..*to).contains(&now))
    }

    fn kept(&self, layers: Range) -> Range {
        let start = self.held.start.max(layers.start);
        let end = self.held.end.min(layers.end);
        if start < end {
            Range::new(start, end)
        } else {
            Range::default()
        }
    }

    fn is_waiting(&self) -> bool {
        let layers = self.moving.as_ref().map(|moving| moving.layers);
        layers.is_some_and(|layers| self.passing.iter().any(|p| !layers.contains(p.layers)))
    }
}

/// The servers of a model.
#[derive(Clone, Debug)]
pub struct Servers {
    model: Model,
    all: Vec<Server>,
    /// The number of interrupted requests.
    pub broken_off: usize,
}

impl Servers {
    /// Returns whether the servers hold all layers of the model.
    pub fn carries(&self) -> bool {
        gaps(self.model.layers, self.all.iter().map(|server| server.held)).is_empty()
    }

    fn holder(&self, server: &Incarnation) -> &Holder {
        let found = self.all.iter().map(|s| &s.holder);
        let mut found = found.filter(|holder| holder.server == *server);
        found.next().expect("servers of the simulation only")
    }

    /// Returns whether registered servers hold all layers of the model.
    fn serves(&self, now: u64) -> bool {
        let registered = self.all.iter().filter(|server| server.is_registered(now));
        gaps(self.model.layers, registered.map(|server| server.held)).is_empty()
    }

    fn step(&mut self, now: u64) {
        let loading = self
            .all
            .iter()
            .filter(|s| s.moving.is_some() && !s.is_waiting())
            .count();
        let rate = (f64::from(self.model.concurrent_loads) / loading.max(1) as f64).min(1.0);
        for server in &mut self.all {
            server.passing.retain(|passing| passing.ends > now);
            if server.is_waiting() {
                continue;
            }
            server.shown = server.held;
            let Some(moving) = &mut server.moving else {
                continue;
            };
            moving.left_ms -= STEP_MS as f64 * rate;
            if moving.left_ms <= 0.0 {
                server.held = moving.layers;
                server.shown = server.held;
                server.moving = None;
            }
        }
    }

    /// Returns the share of normal traffic for which registered servers have KV capacity on complete
    /// paths, within availability zones or, if none has one, across them.
    fn served_share(&self, now: u64, normal_tokens: f64) -> f64 {
        let registered = self.all.iter().filter(|server| server.is_registered(now));
        let holders = registered.map(|server| Holder {
            assigned: server.held,
            serving: server.held,
            ..server.holder.clone()
        });
        let tokens = served_tokens(&self.model, &holders.collect::<Vec<_>>());
        (tokens / normal_tokens).min(1.0)
    }

    /// Starts requests on the layers that servers hold.
    fn arrive(&mut self, now: u64, random: &mut StdRng) {
        for server in &mut self.all {
            let takes_requests = server.is_registered(now) && !server.held.is_empty();
            if takes_requests && random.random_bool(NEW_REQUEST_CHANCE) {
                server.passing.push(Passing {
                    layers: server.held,
                    ends: now + random.random_range(0..MAX_NEW_REQUEST_MS),
                    is_known: true,
                });
            }
        }
    }

    /// Returns whether a server reports the same layers as its registration.
    fn shows(&self, server: &Incarnation, registered: Option<Range>) -> bool {
        let found = self.all.iter().find(|s| s.holder.server == *server);
        found.is_some_and(|found| Some(found.shown) == registered)
    }

    /// Sends an order to a server.
    fn order(&mut self, order: &Order) -> Answer {
        let per_layer_ms = self.model.load_seconds * 1e3 / f64::from(self.model.layers);
        let found = self
            .all
            .iter_mut()
            .find(|s| s.holder.server == order.server);
        let Some(server) = found.filter(|server| server.moving.is_none()) else {
            return Answer::Refuses;
        };
        if server.held == order.layers {
            return Answer::Holds;
        }
        if order.handover == Handover::Break {
            let before = server.passing.len();
            server
                .passing
                .retain(|passing| order.layers.contains(passing.layers));
            self.broken_off += before - server.passing.len();
        }
        let kept = server.kept(order.layers);
        let new = order.layers.len() - kept.len();
        server.held = kept;
        server.moving = Some(Move {
            layers: order.layers,
            left_ms: f64::from(new) * per_layer_ms,
        });
        Answer::Begins
    }
}

/// Servers and their planner.
pub struct Site {
    pub servers: Servers,
    orders: Assignments,
    /// Orders to send, and when.
    to_give: BTreeMap<Incarnation, (u64, Order)>,
    /// Registrations of the servers, oldest first.
    registered: Vec<(u64, BTreeMap<Incarnation, Range>)>,
    lag_ms: u64,
    /// The registrations that the planner saw last.
    known: BTreeMap<Incarnation, Range>,
    missing: Missing,
    /// Draws the requests that start while the simulation runs, if any do.
    arrivals: Option<StdRng>,
    /// KV memory of the requests in flight at normal traffic, in tokens.
    normal_tokens: f64,
    bandwidth: Bandwidth,
    settling: Settling,
    /// When the planner first plans.
    planned_from: u64,
}

/// Returns the registration of a server that holds the layers `held`.
fn registration(holder: &Holder, held: Range) -> Registration {
    Registration {
        incarnation: holder.server.clone(),
        service: "writer".into(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: holder.zone.clone(),
        state: State::Ready,
        slots: 4,
        accelerator: None,
        held,
        warm_up: Span(0),
    }
}

impl Site {
    /// Draws servers of three availability zones with all layers placed, requests of entries that
    /// were killed a moment ago, and two storms in which registrations lapse and come back.
    pub fn draw_storms(random: &mut StdRng, load_seconds: f64) -> Self {
        let model = Model {
            load_seconds,
            ..model()
        };
        let placed = carried_out(&region(), &plan(&model, &region()));
        let mut site = Self::of(model, placed, random);
        for passing in site.servers.all.iter_mut().flat_map(|s| &mut s.passing) {
            passing.is_known = false;
        }
        let first = random.random_range(0..3_000);
        let first_ends = first + random.random_range(2_000..6_000);
        let second = first_ends + random.random_range(0..3_000);
        let second_ends = second + random.random_range(4_000..16_000);
        for (from, to) in [(first, first_ends), (second, second_ends)] {
            let share = random.random_range(0.3..0.7);
            for server in &mut site.servers.all {
                if random.random_bool(share) {
                    let lapses = from + random.random_range(0..STORM_MS);
                    let returns = to + random.random_range(0..STORM_MS);
                    server.lapses.push((lapses, returns));
                }
            }
        }
        site.arrivals = Some(StdRng::seed_from_u64(random.random()));
        site
    }

    /// Draws servers that return without layers, one after the other, from a loss of power.
    ///
    /// A planner first plans at a random time up to `planned_by`. Some servers do not return, and
    /// some still hold layers if `survivors` is the probability.
    pub fn draw_return(
        random: &mut StdRng,
        fleet: &Fleet,
        survivors: f64,
        planned_by: u64,
    ) -> Self {
        let placed = carried_out(&fleet.holders, &plan(&fleet.model, &fleet.holders));
        let mut returned = placed;
        let lost_share = random.random_range(0.0..MAX_LOST_SHARE);
        returned.retain(|_| !random.random_bool(lost_share));
        for holder in &mut returned {
            if !random.random_bool(survivors) {
                *holder = Holder::new(
                    holder.server.clone(),
                    holder.zone.clone(),
                    holder.profile,
                    Range::default(),
                );
            }
        }
        let mut site = Self::of(fleet.model.clone(), returned, random);
        for server in &mut site.servers.all {
            server.lapses.push((0, random.random_range(0..RETURN_MS)));
        }
        site.arrivals = Some(StdRng::seed_from_u64(random.random()));
        site.normal_tokens = fleet.normal_tokens;
        site.planned_from = random.random_range(0..planned_by / STEP_MS) * STEP_MS;
        site
    }

    /// Returns the share of normal traffic that can be served.
    pub fn served_share(&self, now: u64) -> f64 {
        self.servers.served_share(now, self.normal_tokens)
    }

    /// Simulates one step without a planner.
    pub fn step_unplanned(&mut self, now: u64) {
        self.servers.step(now);
    }

    /// Draws servers with random layers, requests and orders in progress.
    pub fn draw(random: &mut StdRng, load_seconds: f64) -> Self {
        let model = Model {
            load_seconds,
            ..model()
        };
        let mut all = holders("a", &[("a100", 1), ("l40s", 3), ("l4", 4)]);
        all.extend(holders("b", &[("a100", 1), ("l40s", 2), ("l4", 5)]));
        for holder in &mut all {
            let most = model.max_layers(holder.profile, 0.9);
            let count = random.random_range(0..=most);
            let start = random.random_range(0..=model.layers - count);
            if count > 0 {
                holder.assigned = Range::new(start, start + count);
            }
        }
        let mut site = Self::of(model, all, random);
        for server in &mut site.servers.all {
            if random.random_bool(0.15) {
                // It has an order in progress from an unknown planner.
                let layers = server.held;
                server.held = Range::default();
                server.shown = server.held;
                server.moving = Some(Move {
                    layers,
                    left_ms: 500.0,
                });
            }
        }
        site
    }

    fn of(model: Model, all: Vec<Holder>, random: &mut StdRng) -> Self {
        let mut servers = Vec::new();
        for holder in all {
            let mut passing = Vec::new();
            for _ in 0..random.random_range(0..12) {
                passing.push(Passing {
                    layers: holder.assigned,
                    ends: random.random_range(0..MAX_REQUEST_MS),
                    is_known: random.random_bool(0.5),
                });
            }
            if holder.assigned.is_empty() {
                passing.clear();
            }
            servers.push(Server {
                held: holder.assigned,
                shown: holder.assigned,
                holder,
                passing,
                moving: None,
                lapses: Vec::new(),
            });
        }
        Self {
            servers: Servers {
                model,
                all: servers,
                broken_off: 0,
            },
            orders: Assignments::default(),
            to_give: BTreeMap::new(),
            registered: Vec::new(),
            lag_ms: random.random_range(0..MAX_LAG_MS),
            known: BTreeMap::new(),
            missing: Missing::default(),
            arrivals: None,
            normal_tokens: NORMAL_TOKENS,
            bandwidth: Bandwidth::default(),
            settling: Settling::default(),
            planned_from: 0,
        }
    }

    /// Replaces the planner by another, which may know the accepted orders.
    pub fn replace_planner(&mut self, now: u64, knows: bool) {
        let accepted = if knows {
            self.orders.accepted()
        } else {
            BTreeMap::new()
        };
        let model = &self.servers.model;
        let expected = |_: &Incarnation, layers| expected_duration(model, layers, accepted.len());
        self.orders = Assignments::inherited(Instant(now), &accepted, expected);
        self.bandwidth = Bandwidth::default();
        self.settling = Settling::default();
        self.to_give.clear();
    }

    /// Returns the time until a complete path must exist, in milliseconds.
    ///
    /// Allows for two plans, the second after loads of the first are seen to be blocked, each of which loads all memory
    /// at the shared rate. If that takes longer than the interval between plans, a path may exist for a short time
    /// meanwhile, and orders sent then wait for requests.
    pub fn bound_ms(&self) -> u64 {
        let model = &self.servers.model;
        let fits = self
            .servers
            .all
            .iter()
            .map(|s| model.max_layers(s.holder.profile, 1.0));
        let layers = f64::from(fits.sum::<u32>()) / f64::from(model.layers);
        let all_ms = (model.load_seconds * 1e3 * layers / f64::from(model.concurrent_loads)) as u64;
        let waits = if all_ms > PLAN_INTERVAL_MS {
            MAX_REQUEST_MS
        } else {
            0
        };
        2 * (MAX_LAG_MS + PLAN_INTERVAL_MS + all_ms) + BLOCKED_AFTER_MS + waits
    }

    /// Simulates one step.
    pub fn step(&mut self, now: u64) {
        self.servers.step(now);
        if let Some(random) = &mut self.arrivals {
            self.servers.arrive(now, random);
        }
        let registered = self.servers.all.iter().filter(|s| s.is_registered(now));
        let shown = |server: &Server| (server.holder.server.clone(), server.shown);
        let held = registered.map(shown).collect();
        self.registered.push((now, held));
        if now % PLAN_INTERVAL_MS == 0 && now >= self.planned_from {
            self.look(now);
        }
        self.give(now);
    }

    /// Records which servers lost their registrations or are back, and checks the missing ones.
    fn observe(&mut self, now: Instant, known: &BTreeMap<Incarnation, Range>) {
        for server in &self.servers.all {
            let name = &server.holder.server;
            if known.contains_key(name) {
                self.missing.registered(now, &name.server);
            } else if let Some(held) = self.known.get(name) {
                let registration = registration(&server.holder, *held);
                self.missing.lapsed(now, registration);
            }
            if now.0 % CHECK_INTERVAL_MS == 0 && !known.contains_key(name) {
                self.missing.checked(name, server.held);
            }
        }
        self.missing.expire(now);
        self.known = known.clone();
    }

    fn look(&mut self, now: u64) {
        let seen = now.saturating_sub(self.lag_ms);
        let known = self.registered.iter().rfind(|(at, _)| *at <= seen);
        let Some((_, known)) = known else {
            return;
        };
        let loads = self.orders.len();
        let shown = self
            .orders
            .settle(Instant(now), |server| known.get(server).copied());
        for load in shown.iter().filter_map(|completed| completed.load) {
            let model = &self.servers.model;
            self.bandwidth.record(Instant(now), model, load, loads);
        }
        let known = known.clone();
        self.observe(Instant(now), &known);
        let missing_phase = match self.missing.is_lapsing(Instant(now)) {
            true => Phase::Lapsing,
            false => Phase::Missing,
        };
        let missing = self.missing.servers().map(|server| Holder {
            assigned: server.held,
            serving: Range::default(),
            phase: missing_phase,
            ..self.servers.holder(&server.incarnation).clone()
        });
        let registered = self.servers.all.iter();
        let registered = registered.filter(|server| known.contains_key(&server.holder.server));
        let registered = registered.map(|server| {
            let name = &server.holder.server;
            let carried = known[name];
            let requests = server.passing.iter().filter(|p| p.is_known).count() as u64;
            let order = self.orders.get(name);
            let model = &self.servers.model;
            let loads = self.orders.len();
            let phase = order.map(|o| o.phase(Instant(now), requests, model, loads));
            Holder {
                assigned: order.map_or(carried, |order| order.layers),
                serving: carried,
                requests,
                phase: phase.unwrap_or(Phase::Settled),
                ..server.holder.clone()
            }
        });
        let holders: Vec<Holder> = registered.chain(missing).collect();
        let model = &self.servers.model;
        let has_path = has_path(model, &holders);
        let settling = &mut self.settling;
        if settling.must_wait(Instant(now), None, has_path, holders.len()) {
            return;
        }
        let concurrent = self.bandwidth.concurrent_loads(Instant(now), model);
        for order in schedule(model, &holders, plan(model, &holders), concurrent) {
            let known = known[&order.server];
            if self.orders.record(Instant(now), &order, known) {
                self.to_give.insert(order.server.clone(), (now, order));
            }
        }
    }

    fn give(&mut self, now: u64) {
        let due = self.to_give.iter().filter(|(_, (at, _))| *at <= now);
        let due: Vec<Order> = due.map(|(_, (_, order))| order.clone()).collect();
        let is_unserved = !self.servers.serves(now);
        for order in due {
            if !self.orders.is_latest(&order) {
                self.to_give.remove(&order.server);
                continue;
            }
            let given = Order {
                handover: order.effective_handover(is_unserved),
                ..order.clone()
            };
            let shown = self.known.get(&order.server).copied();
            if self.orders.was_refused(&order) && !self.servers.shows(&order.server, shown) {
                continue;
            }
            match self.servers.order(&given) {
                Answer::Begins => self.orders.begin(Instant(now), &order),
                Answer::Holds => self.orders.accept(&order),
                Answer::Refuses => {
                    self.orders.refuse(&order);
                    let again = (now + RETRY_INTERVAL_MS, order.clone());
                    self.to_give.insert(order.server, again);
                    continue;
                }
            }
            self.to_give.remove(&order.server);
        }
    }
}
