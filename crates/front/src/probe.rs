//! Health checks of backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use futures::future::join_all;
use futures::future::select;
use hyper::Request;
use hyper::header::HOST;
use jujube_core::pipeline::carried::Exchange;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use tokio::time::error::Elapsed;

use crate::blocks::Blocks;
use crate::dialect::Dialect;
use crate::dialect::Report;
use crate::notices;
use crate::pool;
use crate::pool::Lease;
use crate::state::State;
use crate::store_watch;

/// Probe timeout; a report needs no slot, and a round trip takes two milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// When a second probe is sent, on a new connection: before a lost packet would be retransmitted,
/// and in case the pooled connection is dead.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(40);
/// How long a result is reused, so that the many streams stalled by one server share a probe.
const RESULT_TTL: Span = Span(400);
/// A server with at least this multiple of its usual request time counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// The health of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Responds at its usual speed.
    Healthy,
    /// Responds, but is much slower than usual.
    Slow,
    /// Does not respond.
    Dead,
}

#[derive(Clone, Copy)]
struct Outcome {
    at: Instant,
    health: Health,
}

/// Recent probe results.
#[derive(Default)]
pub struct Probes {
    results: RefCell<HashMap<Incarnation, Outcome>>,
}

impl Probes {
    /// Returns whether a probe sent to the server has succeeded since `since`.
    pub fn responded_since(&self, server: &Incarnation, since: Instant) -> bool {
        let results = self.results.borrow();
        results
            .get(server)
            .is_some_and(|result| result.at > since && result.health != Health::Dead)
    }

    /// Discards a successful result from before a run on the server was lost.
    fn discard_before(&self, server: &Incarnation, lost: Instant) {
        let mut results = self.results.borrow_mut();
        let is_stale = |result: &Outcome| result.at <= lost && result.health != Health::Dead;
        if results.get(server).is_some_and(is_stale) {
            results.remove(server);
        }
    }
}

/// Requests a server's report.
///
/// # Errors
///
/// The server does not respond in time, or not with a valid report.
pub async fn report<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
) -> anyhow::Result<Report> {
    let request = request_report::<D>(state, server, address);
    let body = prompt(state, request).await?;
    read_report(state, server, &body)
}

/// Waits for a report that comes in time.
async fn prompt<D>(
    state: &State<D>,
    request: impl Future<Output = anyhow::Result<Bytes>>,
) -> anyhow::Result<Bytes> {
    let sent = clock::now();
    let body = tokio::time::timeout(PROBE_TIMEOUT, request).await??;
    state.local_health.borrow_mut().record_answer(sent);
    Ok(body)
}

fn read_report<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    body: &[u8],
) -> anyhow::Result<Report> {
    let report = D::report(body)?;
    if server.conflicts_with(report.born) {
        handle_restart(state, server, &report);
        anyhow::bail!("restarted");
    }
    Ok(report)
}

/// Handles a server's own report that it has restarted.
///
/// While the store is unavailable, the server's new registration cannot be read, and without its
/// report it would get neither layers nor requests.
fn handle_restart<D: Dialect>(state: &State<D>, earlier: &Incarnation, report: &Report) {
    let later = Incarnation::new(earlier.server.clone(), report.born);
    store_watch::apply_reported_layers(state, &later, report.held.unwrap_or_default());
}

async fn request_report<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
) -> anyhow::Result<Bytes> {
    let first = std::pin::pin!(async {
        let lease = state.pool.lease(server, address, Exchange::Check).await?;
        let is_reused = lease.is_reused;
        let response = send_probe(state, server, lease, address).await;
        // The server may have closed the idle connection, which says nothing about its health.
        if response.is_ok() || !is_reused {
            return response;
        }
        let lease = state.pool.connect(server, address, Exchange::Check).await?;
        send_probe(state, server, lease, address).await
    });
    let pause = std::pin::pin!(tokio::time::sleep(SECOND_PROBE_DELAY));
    let first = match select(first, pause).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    let second = std::pin::pin!(async {
        let lease = state.pool.connect(server, address, Exchange::Check).await?;
        send_probe(state, server, lease, address).await
    });
    match select(first, second).await {
        Either::Left((Ok(body), _)) | Either::Right((Ok(body), _)) => Ok(body),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

async fn send_probe<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    lease: Lease,
    address: SocketAddr,
) -> anyhow::Result<Bytes> {
    let sent = clock::now();
    let request = Request::get(D::REPORT)
        .header(HOST, address.to_string())
        .body(Blocks::default())?;
    let response = pool::call::<D>(lease, request).await?;
    notices::observe_check(state, server, sent, &response);
    let status = response.status();
    if !status.is_success() {
        anyhow::bail!("status {status}");
    }
    Ok(response.into_body())
}

/// Returns the health of a server, and suspects it if it is dead.
pub async fn health<D: Dialect>(
    state: &Rc<State<D>>,
    server: &Incarnation,
    address: SocketAddr,
) -> Health {
    if state.roster.borrow().has_restarted(server) {
        // The restarted process does not know the requests of this incarnation.
        return Health::Dead;
    }
    let recent = state.probes.results.borrow().get(server).copied();
    if let Some(recent) = recent.filter(|recent| clock::now().since(recent.at) <= RESULT_TTL) {
        return recent.health;
    }
    state.metrics.count("probes");
    let sent = clock::now();
    let report = report(state, server, address).await;
    if report
        .as_ref()
        .is_err_and(|error| is_inconclusive(state, sent, error))
    {
        state.metrics.count("probes_void");
        return Health::Healthy;
    }
    let health = match &report {
        Ok(report) if report.slowness >= SLOW_FACTOR => Health::Slow,
        Ok(_) => Health::Healthy,
        Err(_) => Health::Dead,
    };
    let at = clock::now();
    let outcome = Outcome { at, health };
    state
        .probes
        .results
        .borrow_mut()
        .insert(server.clone(), outcome);
    match report {
        Ok(report) => {
            let mut load = state.load.borrow_mut();
            load.record_direct_slowness(at, server, report.slowness);
        }
        Err(error) => {
            state.suspect(server, &format!("{error:#}"));
            record_failed_check(state, server, &error);
        }
    }
    health
}

/// Returns whether a probe timeout is invalid because this process was delayed while it waited.
///
/// Otherwise an overloaded entry would take live servers for dead, move their streams, and add to
/// its own load. Dead servers are detected by the next probe or by other entries.
fn is_inconclusive<D>(state: &State<D>, sent: Instant, error: &anyhow::Error) -> bool {
    let is_timeout = error.is::<Elapsed>();
    is_timeout && state.local_health.borrow().was_delayed(sent, clock::now())
}

/// Records that a suspected server left a check unanswered or refused the connection.
fn record_failed_check<D>(state: &State<D>, server: &Incarnation, error: &anyhow::Error) {
    let mut suspicion = state.suspicion.borrow_mut();
    suspicion.check_failed(clock::now(), server);
    let error = error.downcast_ref::<io::Error>();
    if error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        suspicion.set_refusing(server);
    }
}

/// Starts a health check without waiting for its result.
pub fn check<D: Dialect>(state: &Rc<State<D>>, server: Incarnation, address: SocketAddr) {
    let state = state.clone();
    tokio::task::spawn_local(async move {
        health(&state, &server, address).await;
    });
}

/// Starts a health check after a run on the server was lost; discards earlier successful results.
pub fn check_after_loss<D: Dialect>(
    state: &Rc<State<D>>,
    server: Incarnation,
    address: SocketAddr,
    lost: Instant,
) {
    state.probes.discard_before(&server, lost);
    check(state, server, address);
}

/// Checks servers that close idle connections. Never returns.
pub async fn check_closed<D: Dialect>(state: Rc<State<D>>) {
    loop {
        for server in state.pool.closed().await {
            if let Some(address) = state.address(&server) {
                check(&state, server, address);
            }
        }
    }
}

/// How often starts that replaced a leaver are checked.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Asks starts that replaced a leaver whether they are leaving too. Never returns.
pub async fn confirm_starts<D: Dialect>(state: Rc<State<D>>) {
    loop {
        let starts: Vec<Incarnation> = state
            .roster
            .borrow()
            .leavers
            .unconfirmed()
            .cloned()
            .collect();
        if starts.is_empty() {
            state.roster_changed.notified().await;
            continue;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        join_all(starts.iter().map(|server| confirm_start(&state, server))).await;
    }
}

async fn confirm_start<D: Dialect>(state: &State<D>, server: &Incarnation) {
    let Some(address) = state.address(server) else {
        return;
    };
    state.metrics.count("probes");
    // Applies the word in the response, if it is there.
    let report = report(state, server, address).await;
    store_watch::apply_check(state, server, report.is_ok());
}

/// How often suspected servers are checked for due probes.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Probes suspected servers until they respond or are no longer registered. Never returns.
pub async fn probe_suspects<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        let due = state.suspicion.borrow_mut().due(clock::now());
        if !due.is_empty() {
            probe_witness(&state);
        }
        for server in due {
            let Some(address) = state.address(&server) else {
                state.suspicion.borrow_mut().clear(&server);
                continue;
            };
            tokio::task::spawn_local(probe_suspect(state.clone(), server, address));
        }
    }
}

/// Probes a random server that is not suspected, unless one has responded since the latest
/// suspicion.
///
/// A silent server counts as ended only while this entry can reach others. Without this probe,
/// streams of a dead server might wait for that in vain.
fn probe_witness<D: Dialect>(state: &Rc<State<D>>) {
    let suspicion = state.suspicion.borrow();
    let newest = suspicion.newest().unwrap_or_default();
    if state.local_health.borrow().was_connected(newest) {
        return;
    }
    let roster = state.roster.borrow();
    let trusted = roster
        .usable()
        .filter(|server| !suspicion.is_suspected(&server.incarnation));
    let witness = trusted.min_by_key(|_| rand::random::<u32>());
    if let Some(witness) = witness {
        let (server, address) = (witness.incarnation.clone(), witness.address);
        let state = state.clone();
        state.metrics.count("probes");
        tokio::task::spawn_local(async move {
            // `report` records the response; a timeout is left to the requests at that server.
            let _report = report(&state, &server, address).await;
        });
    }
}

/// Requests the report of a suspected server; one that comes late is read as well.
async fn report_of_suspect<D: Dialect>(
    state: &Rc<State<D>>,
    server: &Incarnation,
    address: SocketAddr,
) -> anyhow::Result<Report> {
    let sent = clock::now();
    let mut request = std::pin::pin!(request_report::<D>(state, server, address));
    let failed = match prompt(state, request.as_mut()).await {
        Ok(body) => return read_report(state, server, &body),
        Err(failed) => failed,
    };
    if !is_inconclusive(state, sent, &failed) {
        record_failed_check(state, server, &failed);
    }
    if !failed.is::<Elapsed>() {
        return Err(failed);
    }
    // Its reports may always be slow.
    let patience = state.suspicion.borrow().patience(sent, server);
    let left = Duration::from_millis(patience.0).saturating_sub(PROBE_TIMEOUT);
    let body = tokio::time::timeout(left, request).await??;
    read_report(state, server, &body)
}

async fn probe_suspect<D: Dialect>(state: Rc<State<D>>, server: Incarnation, address: SocketAddr) {
    state.metrics.count("probes");
    if let Err(error) = report_of_suspect(&state, &server, address).await {
        event!(
            Debug,
            "still-suspected",
            server,
            cause = format_args!("{error:#}")
        );
        return;
    }
    let since = state.suspicion.borrow_mut().clear(&server);
    state.probes.results.borrow_mut().remove(&server);
    if let Some(since) = since {
        record_trusted(&state, &server, since, "report");
    }
}

/// Records that a response to a request arrived from a server, or a part of one.
pub fn responded<D>(state: &State<D>, server: &Incarnation, evidence: &str) {
    let since = state.suspicion.borrow_mut().responded(clock::now(), server);
    if let Some(since) = since {
        state.probes.results.borrow_mut().remove(server);
        record_trusted(state, server, since, evidence);
    }
}

fn record_trusted<D>(state: &State<D>, server: &Incarnation, since: Instant, evidence: &str) {
    let span = clock::now().since(since);
    state.metrics.observe("server_silence", span);
    event!(Info, "trusted", server, suspected_ms = span, evidence);
}
