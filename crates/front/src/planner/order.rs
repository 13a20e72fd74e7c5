//! Delivery of placement orders to engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use jujube_core::layer::Range;
use jujube_core::pipeline::placement;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Feed;

use crate::dialect::Dialect;
use crate::head;
use crate::pool;
use crate::probe;
use crate::store_watch;
use crate::strangers;

use super::term::Term;

/// The timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Orders and questions that a planner has under way at the same time. An entry with a tenth of a
/// core completes each in some 6 ms, so that all end well within their timeouts.
pub(super) const MAX_EXCHANGES: usize = 32;
/// The pause before a refused or unanswered order is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The answer to an order.
enum Answer {
    /// Nothing is left to do: it was accepted, or is not to be given any more.
    Settled,
    /// The server still executes another order, or has executed one that this planner does not know.
    Conflict,
    /// There is none, or one that says nothing about the order.
    Inconclusive,
}

/// What a server reports about an order that it did not accept.
enum Progress {
    /// It holds the layers.
    Held,
    /// It does not answer.
    Unknown,
    /// It has accepted no order since.
    Refused,
    /// It has accepted another order.
    Overtaken,
}

impl<D: Dialect, F: Feed> Term<D, F> {
    /// Starts the delivery of an order unless it was given already.
    pub(super) fn start_order(self: &Rc<Self>, order: Order) {
        let server = self.state.roster.borrow().get(&order.server).cloned();
        let Some(server) = server else {
            return;
        };
        let is_new = self
            .orders
            .borrow_mut()
            .record(clock::now(), &order, server.held);
        if !is_new {
            return;
        }
        let address = server.address;
        tokio::task::spawn_local(self.clone().deliver(order, address));
    }

    /// Delivers one order; after a failure the server's report decides what to do next.
    async fn deliver(self: Rc<Self>, order: Order, address: SocketAddr) {
        let mut accepted = None;
        // What is known of the server at first may be old, so it is corrected without a pause, once.
        let mut was_corrected = false;
        while self.is_current(&order) {
            if !self.may_order() {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let answer = self.attempt(&order, address, &mut accepted).await;
            match answer {
                Answer::Settled => return,
                Answer::Conflict => {}
                Answer::Inconclusive => tokio::time::sleep(RETRY_PAUSE).await,
            }
            match self.ask(&order, address, &mut accepted).await {
                Progress::Held => return,
                Progress::Unknown => tokio::time::sleep(RETRY_PAUSE).await,
                Progress::Refused => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    self.wait_until_idle(&order, address).await;
                }
                Progress::Overtaken => {
                    if std::mem::replace(&mut was_corrected, true) {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                    self.wait_until_idle(&order, address).await;
                }
            }
        }
    }

    /// Sends an order once. `accepted` is the number of orders that the server has accepted, if it
    /// is known.
    async fn attempt(
        &self,
        order: &Order,
        address: SocketAddr,
        accepted: &mut Option<u64>,
    ) -> Answer {
        let server = &order.server;
        let _exchange = self.exchanges.acquire().await;
        if !self.is_current(order) {
            return Answer::Settled;
        }
        if !self.may_order() {
            return Answer::Inconclusive;
        }
        let taken = match *accepted {
            Some(taken) => taken,
            None => self.orders_accepted(server, address).await,
        };
        *accepted = Some(taken);
        let handover = self.handover(order);
        let sent = self.send(order, handover, address, taken);
        let answer = tokio::time::timeout(ORDER_TIMEOUT, sent).await;
        let outcome = match &answer {
            Ok(Ok(response)) => response.status().as_u16().to_string(),
            Ok(Err(error)) => format!("{error:#}"),
            Err(_) => "timeout".into(),
        };
        event!(
            Info,
            "order",
            server,
            layers = order.layers,
            handover = format_args!("{handover:?}"),
            held = self
                .state
                .roster
                .borrow()
                .held(&server.server)
                .unwrap_or_default(),
            requests = self.state.load.borrow().requests(server),
            token = self.lease.get().token,
            taken,
            outcome
        );
        let Ok(Ok(response)) = answer else {
            return Answer::Inconclusive;
        };
        match response.status() {
            status @ (StatusCode::ACCEPTED | StatusCode::OK) => {
                self.accepted
                    .borrow_mut()
                    .insert(server.clone(), taken.saturating_add(1));
                let mut orders = self.orders.borrow_mut();
                match status {
                    StatusCode::ACCEPTED => orders.begin(clock::now(), order),
                    _ => orders.accept(order),
                }
                Answer::Settled
            }
            StatusCode::PRECONDITION_FAILED => {
                // A later planner has given orders, so this term is over.
                self.is_over.set(true);
                self.state.leadership.refused(self.lease.get().token);
                Answer::Settled
            }
            StatusCode::MISDIRECTED_REQUEST => {
                let names = D::NAMES;
                if head::names_other(response.headers(), &names.server, &server.server) {
                    store_watch::displace(&self.state, server);
                    return Answer::Settled;
                }
                strangers::doubted(&self.state, server);
                Answer::Inconclusive
            }
            StatusCode::CONFLICT => Answer::Conflict,
            _ => Answer::Inconclusive,
        }
    }

    /// Asks a server what became of an order that it did not accept.
    async fn ask(
        &self,
        order: &Order,
        address: SocketAddr,
        accepted: &mut Option<u64>,
    ) -> Progress {
        let _exchange = self.exchanges.acquire().await;
        let Ok(report) = probe::report(&self.state, &order.server, address).await else {
            return Progress::Unknown;
        };
        let is_unchanged = *accepted == Some(report.orders);
        *accepted = Some(report.orders);
        if report.held == Some(order.layers) {
            return Progress::Held;
        }
        if !is_unchanged {
            return Progress::Overtaken;
        }
        self.orders.borrow_mut().refuse(order);
        Progress::Refused
    }

    /// Waits until a server that refused an order is done with the one that it executes, and its
    /// registration shows what it holds then. If that is not what the plan was made from, the order
    /// is not the latest one any more.
    async fn wait_until_idle(&self, order: &Order, address: SocketAddr) {
        while self.is_current(order) && !self.is_idle(&order.server, address).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns how many orders a server has accepted.
    ///
    /// A server that holds layers has accepted orders of an earlier planner and would refuse an
    /// order with another count.
    async fn orders_accepted(&self, server: &Incarnation, address: SocketAddr) -> u64 {
        if let Some(accepted) = self.accepted.borrow().get(server) {
            return *accepted;
        }
        let held = self.state.roster.borrow().held(&server.server);
        if held.is_none_or(Range::is_empty) {
            return 0;
        }
        let report = probe::report(&self.state, server, address).await;
        report.map_or(0, |report| report.orders)
    }

    /// Returns whether a server executes no order and its registration shows the layers that it holds.
    async fn is_idle(&self, server: &Incarnation, address: SocketAddr) -> bool {
        let _exchange = self.exchanges.acquire().await;
        let Ok(report) = probe::report(&self.state, server, address).await else {
            return true;
        };
        let registered = self.state.roster.borrow().held(&server.server);
        let is_shown = report.held.is_none() || report.held == registered;
        !report.busy && is_shown
    }

    /// Returns what happens to requests on the layers that an order releases, if it is sent now.
    ///
    /// A server without layers has no requests, so it needs no check: with a check of all servers
    /// for each order, a planner of a thousand empty servers was busy for longer than its orders
    /// may take.
    fn handover(&self, order: &Order) -> Handover {
        let held = self.state.roster.borrow().held(&order.server.server);
        if held.is_none_or(Range::is_empty) || order.handover == Handover::Drain {
            return order.handover;
        }
        order.effective_handover(self.has_no_path(order))
    }

    /// Returns whether no path exists through the model that an order belongs to.
    fn has_no_path(&self, order: &Order) -> bool {
        let server = self.state.roster.borrow().get(&order.server).cloned();
        let (Some(server), Some(table)) = (server, self.state.table()) else {
            return false;
        };
        let backend = table.document.services.get(&server.service);
        let Some(model) = backend.and_then(|backend| backend.model.as_ref()) else {
            return false;
        };
        !placement::has_path(model, &self.holders(&server.service, model))
    }

    /// Returns whether an order is still the latest one for its server.
    fn is_current(&self, order: &Order) -> bool {
        !self.is_over.get() && self.orders.borrow().is_latest(order)
    }

    async fn send(
        &self,
        order: &Order,
        handover: Handover,
        address: SocketAddr,
        accepted: u64,
    ) -> anyhow::Result<Response<Bytes>> {
        self.state.metrics.count("orders");
        let body = D::place(
            order.layers,
            handover,
            self.lease.get().token,
            Some(accepted),
        );
        let pool = &self.state.pool;
        pool::send_order::<D>(pool, &order.server, address, body).await
    }
}
