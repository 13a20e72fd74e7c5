//! Orders to hold layers that were sent and are not visible in the registrations yet.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::pipeline::model::Model;
use crate::pipeline::placement::Handover;
use crate::pipeline::placement::Order;
use crate::pipeline::placement::Phase;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long an order may take to appear in the registrations before it is sent again.
const ORDER_TIMEOUT: Span = Span(45_000);
/// Timeout of an order inherited from the previous planner, which this one does not send again.
const INHERITED_TIMEOUT: Span = Span(5_000);
/// Delay until a completed load appears in the registrations.
const REGISTRATION_DELAY: Span = Span(1_500);

/// An order in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// The layers that the server is to hold.
    pub layers: Range,
    /// The layers that it held when the order was sent.
    before: Range,
    handover: Handover,
    since: Instant,
    /// How long the order is assumed to be in progress.
    timeout: Span,
    /// Whether an earlier planner sent it.
    is_inherited: bool,
    is_accepted: bool,
    /// When the server began to carry it out, if this planner knows.
    begun: Option<Instant>,
    /// Whether the server refused the order because it still executes another one.
    is_refused: bool,
    /// Whether the server refused it at any time. The order that it executed then may have loaded a
    /// part of the layers.
    was_refused: bool,
}

/// An order whose layers appeared in its server's registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completed {
    /// The server.
    pub server: Incarnation,
    /// The layers that it holds now.
    pub layers: Range,
    /// The time from the plan until the registration showed them.
    pub took: Span,
    /// The load, if this planner knows when the server began it.
    pub load: Option<Load>,
}

/// A load that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The number of layers loaded.
    pub layers: u32,
    /// The time from the server's acceptance until its registration showed them.
    pub took: Span,
}

impl Assignment {
    /// Returns the server's phase while it serves `requests` requests and `loads` orders are in
    /// progress.
    ///
    /// An order that waits for requests takes as long as they run. Requests that no entry tracks
    /// any more show only as an overdue order.
    #[must_use]
    pub fn phase(&self, now: Instant, requests: u64, model: &Model, loads: usize) -> Phase {
        let releases_layers = !self.before.is_empty() && !self.layers.contains(self.before);
        let is_blocked = releases_layers && self.handover == Handover::Drain && requests > 0;
        let is_overdue = now.since(self.since) > expected_duration(model, self.layers, loads);
        if self.is_refused && self.before.is_empty() && !is_overdue {
            return Phase::Busy;
        }
        match self.is_refused || is_blocked || is_overdue {
            true => Phase::Blocked,
            false => Phase::Loading,
        }
    }

    /// Returns the load that has ended by now, if this planner knows when it began.
    fn load(&self, now: Instant) -> Option<Load> {
        let kept = self.layers.intersection(self.before);
        Some(Load {
            layers: self.layers.len() - kept.len(),
            took: now.since(self.begun?),
        })
    }
}

/// Returns the time that an order takes if nothing blocks it, while `loads` orders are in progress.
#[must_use]
pub fn expected_duration(model: &Model, layers: Range, loads: usize) -> Span {
    let queue = match model.concurrent_loads {
        0 => 1.0,
        concurrent => (loads as f64 / f64::from(concurrent)).max(1.0),
    };
    let load = model.load_ms(layers.len()) * queue;
    Span((load as u64).saturating_add(REGISTRATION_DELAY.0))
}

/// The orders in progress of one planner.
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
/// assert!(!orders.record(Instant(10), &order, Range::default()), "already sent");
/// assert_eq!(orders.accepted(), BTreeMap::new());
/// orders.accept(&order);
/// assert_eq!(orders.accepted(), BTreeMap::from([("a".into(), Range::new(0, 8))]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    assignments: BTreeMap<Incarnation, Assignment>,
}

impl Assignments {
    /// Returns the orders that servers accepted from the previous planner.
    ///
    /// A loading server's registration shows its old layers. Without this, every new planner would
    /// undo the moves of the previous one during a rolling restart of the entries. `expected` is the
    /// time that an order takes, in which it is not given again.
    #[must_use]
    pub fn inherited(
        now: Instant,
        accepted: &BTreeMap<Incarnation, Range>,
        expected: impl Fn(&Incarnation, Range) -> Span,
    ) -> Self {
        let assignments = accepted.iter().map(|(server, layers)| {
            let assignment = Assignment {
                layers: *layers,
                before: Range::default(),
                handover: Handover::Drain,
                since: now,
                timeout: INHERITED_TIMEOUT.max(expected(server, *layers)),
                is_inherited: true,
                is_accepted: true,
                begun: None,
                is_refused: false,
                was_refused: false,
            };
            (server.clone(), assignment)
        });
        Self {
            assignments: assignments.collect(),
        }
    }

    /// Records an order to a server that holds the layers `held`. Returns `false` if the same order
    /// is already in progress.
    pub fn record(&mut self, now: Instant, order: &Order, held: Range) -> bool {
        let assignment = Assignment {
            layers: order.layers,
            before: held,
            handover: order.handover,
            since: now,
            timeout: ORDER_TIMEOUT,
            is_inherited: false,
            is_accepted: false,
            begun: None,
            is_refused: false,
            was_refused: false,
        };
        let previous = self.assignments.insert(order.server.clone(), assignment);
        previous.is_none_or(|previous| previous.layers != order.layers || previous.is_inherited)
    }

    /// Records that a server accepted an order.
    pub fn accept(&mut self, order: &Order) {
        if let Some(assignment) = self.last(order) {
            assignment.is_accepted = true;
            assignment.is_refused = false;
        }
    }

    /// Records that a server accepted an order and begins to carry it out.
    pub fn begin(&mut self, now: Instant, order: &Order) {
        self.accept(order);
        if let Some(assignment) = self.last(order) {
            assignment.begun = (!assignment.was_refused).then_some(now);
        }
    }

    /// Records that a server refused an order because it still executes another one.
    pub fn refuse(&mut self, order: &Order) {
        if let Some(assignment) = self.last(order) {
            assignment.is_refused = true;
            assignment.was_refused = true;
        }
    }

    fn last(&mut self, order: &Order) -> Option<&mut Assignment> {
        let last = self.assignments.get_mut(&order.server)?;
        (last.layers == order.layers).then_some(last)
    }

    /// Returns whether a server has refused an order, although it may have accepted it since.
    #[must_use]
    pub fn was_refused(&self, order: &Order) -> bool {
        let last = self.assignments.get(&order.server);
        last.is_some_and(|last| last.layers == order.layers && last.was_refused)
    }

    /// Returns whether an order is the latest one for its server.
    #[must_use]
    pub fn is_latest(&self, order: &Order) -> bool {
        let last = self.assignments.get(&order.server);
        last.is_some_and(|last| last.layers == order.layers)
    }

    /// Removes completed, outdated and timed-out orders, and returns the completed ones.
    ///
    /// `held` returns the layers that a server holds, or `None` if it is gone.
    pub fn settle(
        &mut self,
        now: Instant,
        held: impl Fn(&Incarnation) -> Option<Range>,
    ) -> Vec<Completed> {
        let mut completed = Vec::new();
        self.assignments.retain(|server, assignment| {
            let took = now.since(assignment.since);
            let held = held(server);
            if held == Some(assignment.layers) {
                completed.push(Completed {
                    server: server.clone(),
                    layers: assignment.layers,
                    took,
                    load: assignment.load(now),
                });
            }
            let is_in_progress = held.is_some_and(|held| held != assignment.layers);
            // What it refused the order for has ended, with layers that the plan did not know of.
            let is_outdated = assignment.is_refused && held != Some(assignment.before);
            is_in_progress && !is_outdated && took <= assignment.timeout
        });
        completed
    }

    /// Returns the order in progress for a server.
    #[must_use]
    pub fn get(&self, server: &Incarnation) -> Option<&Assignment> {
        self.assignments.get(server)
    }

    /// Returns the number of orders in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.assignments.len()
    }

    /// Returns whether no order is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.assignments.is_empty()
    }

    /// Returns the layers of the accepted orders, for the next planner.
    ///
    /// Orders that were not accepted are lost with this planner. If the next one counted on them,
    /// their gaps would stay open.
    #[must_use]
    pub fn accepted(&self) -> BTreeMap<Incarnation, Range> {
        let accepted = self.assignments.iter().filter(|(_, a)| a.is_accepted);
        accepted
            .map(|(server, assignment)| (server.clone(), assignment.layers))
            .collect()
    }
}
