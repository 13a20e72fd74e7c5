//! Orders to hold layers that were given and do not show in the registrations yet.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::placement::Handover;
use crate::pipeline::placement::Order;
use crate::pipeline::placement::Phase;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long an order may take to show in the registrations before it is given again.
const CARRIED_OUT: Span = Span(45_000);
/// The same for an order of the planner before, which nobody sees through: three times what loading the
/// layers of one server takes.
const INHERITED: Span = Span(5_000);
/// How long after a server has loaded its registration shows it.
const SHOWN: Span = Span(1_500);

/// An order that does not show yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// What the server is to hold.
    pub layers: Range,
    /// What it held when the order was given.
    before: Range,
    handover: Handover,
    since: Instant,
    /// For how long it is believed to be under way.
    lasts: Span,
    is_accepted: bool,
    /// Whether the server refused it, since it carries out another order.
    is_refused: bool,
}

impl Assignment {
    /// Returns what the server is about while so many requests pass through it; `loads` are under way.
    ///
    /// An order counts as good as done only if nothing holds it up. One that waits for requests takes as long as these
    /// run, and runs that nobody knows of any more show only by the time that it takes.
    #[must_use]
    pub fn phase(&self, now: Instant, requests: u64, model: &Model, loads: usize) -> Phase {
        let gives_up = !self.before.is_empty() && !self.layers.contains(self.before);
        let is_held_up = gives_up && self.handover == Handover::Drain && requests > 0;
        let is_overdue = now.since(self.since) > due(model, self.layers, loads);
        match self.is_refused || is_held_up || is_overdue {
            true => Phase::Blocked,
            false => Phase::Loading,
        }
    }
}

/// Returns how long after an order a server holds its layers that waits for nothing, while `loads` are under way.
fn due(model: &Model, layers: Range, loads: usize) -> Span {
    const MILLISECONDS: f64 = 1e3;
    let share = f64::from(layers.len()) / f64::from(model.layers.max(1));
    let queue = match model.concurrent_loads {
        0 => 1.0,
        at_once => (loads as f64 / f64::from(at_once)).max(1.0),
    };
    let load = model.load_seconds * MILLISECONDS * share * queue;
    Span(load as u64 + SHOWN.0)
}

/// The orders of one planner that do not show yet.
///
/// # Examples
///
/// ```
/// # use std::collections::BTreeMap;
/// # use jujube_core::layer::Range;
/// # use jujube_core::pipeline::assignment::Assignments;
/// # use jujube_core::pipeline::placement::Order;
/// # use jujube_core::time::Instant;
/// let mut orders = Assignments::default();
/// let order = Order::new("a".into(), Range::new(0, 8));
/// assert!(orders.record(Instant(0), &order, Range::default()));
/// assert!(!orders.record(Instant(10), &order, Range::default()), "it is under way");
/// assert_eq!(orders.accepted(), BTreeMap::new());
/// orders.accept(&order);
/// assert_eq!(orders.accepted(), BTreeMap::from([("a".into(), Range::new(0, 8))]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    given: BTreeMap<Incarnation, Assignment>,
}

impl Assignments {
    /// Returns the orders that servers accepted from the planner before.
    ///
    /// A server that loads layers shows what it held before until it has them. Ordered elsewhere by a planner
    /// that does not know, it would have loaded in vain; entries that restart one after the other give the
    /// office on every second or so, and each planner would undo the moves of the one before.
    #[must_use]
    pub fn inherited(now: Instant, accepted: &BTreeMap<Incarnation, Range>) -> Self {
        let given = accepted.iter().map(|(server, layers)| {
            let assignment = Assignment {
                layers: *layers,
                before: Range::default(),
                handover: Handover::Drain,
                since: now,
                lasts: INHERITED,
                is_accepted: true,
                is_refused: false,
            };
            (server.clone(), assignment)
        });
        Self {
            given: given.collect(),
        }
    }

    /// Books an order to a server that holds other layers; `false` when it was given already.
    pub fn record(&mut self, now: Instant, order: &Order, held: Range) -> bool {
        let assignment = Assignment {
            layers: order.layers,
            before: held,
            handover: order.handover,
            since: now,
            lasts: CARRIED_OUT,
            is_accepted: false,
            is_refused: false,
        };
        let before = self.given.insert(order.server.clone(), assignment);
        before.is_none_or(|before| before.layers != order.layers || before.lasts != CARRIED_OUT)
    }

    /// Books that a server accepted an order.
    pub fn accept(&mut self, order: &Order) {
        if let Some(assignment) = self.last(order) {
            assignment.is_accepted = true;
            assignment.is_refused = false;
        }
    }

    /// Books that a server refused an order, since it carries out another one first.
    pub fn refuse(&mut self, order: &Order) {
        if let Some(assignment) = self.last(order) {
            assignment.is_refused = true;
        }
    }

    fn last(&mut self, order: &Order) -> Option<&mut Assignment> {
        let last = self.given.get_mut(&order.server)?;
        (last.layers == order.layers).then_some(last)
    }

    /// Tells whether an order is the last one for its server.
    #[must_use]
    pub fn is_latest(&self, order: &Order) -> bool {
        let last = self.given.get(&order.server);
        last.is_some_and(|last| last.layers == order.layers)
    }

    /// Drops the orders that show, or that have been under way for too long; returns those that show, and how long
    /// they took. `held` tells what a server holds.
    pub fn settle(
        &mut self,
        now: Instant,
        held: impl Fn(&Incarnation) -> Option<Range>,
    ) -> Vec<(Incarnation, Range, Span)> {
        let mut shown = Vec::new();
        self.given.retain(|server, assignment| {
            let took = now.since(assignment.since);
            let held = held(server);
            if held == Some(assignment.layers) {
                shown.push((server.clone(), assignment.layers, took));
            }
            held.is_some_and(|held| held != assignment.layers) && took <= assignment.lasts
        });
        shown
    }

    /// Returns the order to a server that does not show yet.
    #[must_use]
    pub fn get(&self, server: &Incarnation) -> Option<&Assignment> {
        self.given.get(server)
    }

    /// Returns how many orders are under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.given.len()
    }

    /// Tells whether no order is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.given.is_empty()
    }

    /// Returns what servers have accepted to hold, for the next planner.
    ///
    /// What they have not accepted nobody carries out once this planner is gone. Believed, it would keep gaps open that
    /// the next planner takes for closed.
    #[must_use]
    pub fn accepted(&self) -> BTreeMap<Incarnation, Range> {
        let accepted = self.given.iter().filter(|(_, given)| given.is_accepted);
        accepted
            .map(|(server, given)| (server.clone(), given.layers))
            .collect()
    }
}
