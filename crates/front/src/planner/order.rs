//! Orders to engines, each seen through.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jujube_core::layer::Range;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;
use jujube_store::kv::Feed;

use crate::dialect::Dialect;
use crate::pool;
use crate::probe;

use super::term::Term;

/// How long an order may take to be answered.
const ANSWER: Duration = Duration::from_millis(800);
/// How long to wait before an order that was refused or lost is given again.
const AGAIN: Duration = Duration::from_millis(700);

impl<D: Dialect, F: Feed> Term<D, F> {
    /// Gives an order, unless it was given already.
    pub(super) fn give(self: &Rc<Self>, order: Order) {
        let known = self.state.roster.borrow().get(&order.server).cloned();
        let Some(known) = known else {
            return;
        };
        let is_new = self
            .orders
            .borrow_mut()
            .give(clock::now(), &order, known.held);
        if !is_new {
            return;
        }
        let address = known.address;
        tokio::task::spawn_local(self.clone().place(order, address));
    }

    /// Sees one order through: what happened is read from the server, never assumed.
    async fn place(self: Rc<Self>, order: Order, address: SocketAddr) {
        let name = &order.server;
        let mut known = self.orders_taken(name, address).await;
        while self.is_wanted(&order) {
            if !self.may_order() {
                tokio::time::sleep(AGAIN).await;
                continue;
            }
            let handover = order.handover_now(self.is_dark(&order));
            let sent = self.send(&order, handover, address, known);
            let answer = tokio::time::timeout(ANSWER, sent).await;
            let outcome = match &answer {
                Ok(Ok(status)) => status.as_u16().to_string(),
                Ok(Err(error)) => format!("{error:#}").replace(' ', "-"),
                Err(_) => "timeout".into(),
            };
            log::info!(
                "event=order server={name} layers={} handover={handover:?} held={} requests={} token={} taken={known} outcome={outcome}",
                order.layers,
                self.state
                    .roster
                    .borrow()
                    .held(&name.server)
                    .unwrap_or_default(),
                self.state.load.borrow().requests(name),
                self.lead.get().token
            );
            match answer {
                Ok(Ok(StatusCode::ACCEPTED | StatusCode::OK)) => {
                    self.taken.borrow_mut().insert(name.clone(), known + 1);
                    self.orders.borrow_mut().accept(&order);
                    return;
                }
                Ok(Ok(StatusCode::PRECONDITION_FAILED)) => {
                    // A later planner has given orders: this term is over.
                    self.is_over.set(true);
                    self.state.leadership.refused(self.lead.get().token);
                    return;
                }
                _ => {}
            }
            if !matches!(answer, Ok(Ok(StatusCode::CONFLICT))) {
                tokio::time::sleep(AGAIN).await;
            }
            let Ok(report) = probe::report(&self.state, name, address).await else {
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            let was_known = known == report.orders;
            known = report.orders;
            if report.held == Some(order.layers) {
                return;
            }
            if was_known {
                self.orders.borrow_mut().refuse(&order);
                tokio::time::sleep(AGAIN).await;
            }
            while self.is_wanted(&order) && self.is_busy(name, address).await {
                tokio::time::sleep(AGAIN).await;
            }
        }
    }

    /// Returns how many orders a server is known to have taken.
    ///
    /// One that holds layers has taken orders of a planner before, and would refuse an order that names another number.
    async fn orders_taken(&self, name: &Incarnation, address: SocketAddr) -> u64 {
        if let Some(taken) = self.taken.borrow().get(name) {
            return *taken;
        }
        let held = self.state.roster.borrow().held(&name.server);
        if held.is_none_or(Range::is_empty) {
            return 0;
        }
        let report = probe::report(&self.state, name, address).await;
        report.map_or(0, |report| report.orders)
    }

    async fn is_busy(&self, name: &Incarnation, address: SocketAddr) -> bool {
        let report = probe::report(&self.state, name, address).await;
        report.is_ok_and(|report| report.busy)
    }

    /// Tells whether no request can pass through the whole model whose layers an order is about.
    fn is_dark(&self, order: &Order) -> bool {
        let roster = self.state.roster.borrow();
        let fleets = self.state.fleets.borrow();
        let service = roster.get(&order.server).map(|server| &server.service);
        let fleet = service.and_then(|service| fleets.get(service));
        fleet.is_some_and(|fleet| !fleet.is_whole())
    }

    /// Tells whether an order is still the last one for its server.
    fn is_wanted(&self, order: &Order) -> bool {
        !self.is_over.get() && self.orders.borrow().is_wanted(order)
    }

    async fn send(
        &self,
        order: &Order,
        handover: Handover,
        address: SocketAddr,
        taken: u64,
    ) -> anyhow::Result<StatusCode> {
        self.state.metrics.count("orders");
        let body = D::place(order.layers, handover, self.lead.get().token, Some(taken));
        let pool = &self.state.pool;
        let (status, _) = pool::send_order::<D>(pool, &order.server, address, body).await?;
        Ok(status)
    }
}
