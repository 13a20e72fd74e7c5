//! What a planner asks servers itself, besides reading their registrations.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Feed;

use crate::dialect::Dialect;
use crate::probe;
use crate::store_watch;

use super::term::Term;

/// How often servers that lost their registrations are checked. Two failed checks end the wait for
/// one.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often servers are asked for the layers they hold while the store is unavailable.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

impl<D: Dialect, F: Feed> Term<D, F> {
    /// Asks servers for the layers they hold while the store, the usual source, is unavailable, and
    /// slow servers for their current slowdown.
    ///
    /// Other servers are not asked, because requests cost bandwidth: a slowdown shows in streams
    /// that fall behind.
    pub(super) async fn poll_servers(self: Rc<Self>) {
        while !self.is_over.get() {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (server, address) in self.servers_to_poll() {
                if let Ok(report) = probe::report(&self.state, &server, address).await {
                    if let Some(held) = report.held {
                        store_watch::apply_reported_layers(&self.state, &server, held);
                    }
                    let mut load = self.state.load.borrow_mut();
                    load.record_direct_slowness(clock::now(), &server, report.slowness);
                }
            }
            if !self.state.roster.borrow().is_store_away() {
                self.state.reported_layers.borrow_mut().clear();
            }
            let roster = self.state.roster.borrow();
            let mut layers = self.state.reported_layers.borrow_mut();
            layers.retain(|server, _| roster.get(server).is_some());
        }
        self.state.reported_layers.borrow_mut().clear();
    }

    /// Logs what servers with layers are doing when the term begins. After the death of all entries,
    /// nobody knows their orders, and their requests are nobody's.
    pub(super) async fn log_servers(self: Rc<Self>) {
        for (server, address) in self.servers_with_layers() {
            let report = probe::report(&self.state, &server, address);
            let Ok(report) = report.await else {
                continue;
            };
            let held = report.held.unwrap_or_default();
            if report.busy || report.kv_used > 0.0 {
                event!(
                    Info,
                    "found",
                    server,
                    held,
                    busy = report.busy,
                    taken = report.orders,
                    tokens = format_args!("{:.0}", report.kv_used / f64::from(held.len().max(1))),
                    requests = self.state.load.borrow().requests(&server)
                );
            }
        }
    }

    fn servers_with_layers(&self) -> Vec<(Incarnation, SocketAddr)> {
        let roster = self.state.roster.borrow();
        let servers = roster.usable().filter(|server| !server.held.is_empty());
        let servers = servers.map(|server| (server.incarnation.clone(), server.address));
        servers.collect()
    }

    /// Checks the servers that lost their registrations, until the term is over.
    pub(super) async fn check_missing(self: Rc<Self>) {
        while !self.is_over.get() {
            tokio::time::sleep(MISSING_CHECK_INTERVAL).await;
            let missing: Vec<Server> = self
                .state
                .roster
                .borrow()
                .missing
                .servers()
                .cloned()
                .collect();
            let checks = missing.into_iter().map(|server| self.check(server));
            futures::future::join_all(checks).await;
        }
    }

    async fn check(&self, server: Server) {
        let report = probe::report(&self.state, &server.incarnation, server.address).await;
        let held = report.ok().and_then(|report| report.held);
        let mut roster = self.state.roster.borrow_mut();
        if roster
            .missing
            .checked(&server.incarnation, held.unwrap_or_default())
        {
            event!(Info, "missing-gone", server = server.incarnation);
            self.state.roster_changed.notify_waiters();
        }
    }

    /// Returns the servers to ask: all while the store is unavailable, otherwise the slow ones.
    fn servers_to_poll(&self) -> Vec<(Incarnation, SocketAddr)> {
        let roster = self.state.roster.borrow();
        let load = self.state.load.borrow();
        let now = clock::now();
        let servers = roster
            .usable()
            .filter(|server| server.accelerator.is_some())
            .filter(|server| {
                roster.is_store_away() || load.slowness(now, &server.incarnation) > 1.0
            });
        let servers = servers.map(|server| (server.incarnation.clone(), server.address));
        servers.collect()
    }
}
