//! Limits of requests per second that backend servers name in their responses.

use hyper::HeaderMap;
use jujube_core::name::Zone;
use jujube_core::pipeline::limits::Rate;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::head;
use crate::state::State;

/// Applies a server's response to a request that was sent at `sent`.
pub fn observe<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    sent: Instant,
    headers: &HeaderMap,
) {
    let named = match named::<D>(state, headers) {
        Ok(named) => named,
        Err(Malformed) => return,
    };
    let mut load = state.load.borrow_mut();
    let is_changed = load.limits.observe(sent, clock::now(), server, named);
    drop(load);
    if is_changed {
        log_change(state, server, "own");
        divide(state);
        state.urgent_report.notify_waiters();
    }
}

/// Applies a server's response to a health check. It may name a limit, but is no evidence that one
/// has ended.
pub fn observe_check<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    sent: Instant,
    headers: &HeaderMap,
) {
    if headers.contains_key(&D::NAMES.limit) {
        observe(state, server, sent, headers);
    }
}

/// The header's value is not a rate.
struct Malformed;

fn named<D: Dialect>(state: &State<D>, headers: &HeaderMap) -> Result<Option<Rate>, Malformed> {
    if !headers.contains_key(&D::NAMES.limit) {
        return Ok(None);
    }
    let rate = head::text(headers, &D::NAMES.limit).and_then(|text| text.parse().ok());
    if rate.is_none() {
        state.metrics.count("limits_malformed");
    }
    rate.map(Some).ok_or(Malformed)
}

/// Applies what other entries reported.
pub fn apply_reports<D: Dialect>(state: &State<D>, others: &Summary) {
    let now = clock::now();
    for (server, report) in &others.limits {
        // What is known of others goes only when a registration changes.
        if state.roster.borrow().get(server).is_none() {
            continue;
        }
        let mut load = state.load.borrow_mut();
        let is_changed = load.limits.receive(now, server, *report);
        drop(load);
        if is_changed {
            log_change(state, server, "report");
        }
    }
    divide(state);
}

/// Computes this entry's shares of the limits.
pub fn divide<D>(state: &State<D>) {
    let directory = state.peers.directory.borrow();
    let roster = state.roster.borrow();
    let mut load = state.load.borrow_mut();
    let version = directory.version();
    let own = &state.settings.name;
    let zone = |server: &Incarnation| Some(roster.get(server)?.zone.clone());
    let nearest = |zone: &Zone| directory.nearest(zone);
    load.limits.set_alone(directory.count() == 1);
    load.limits.advance(clock::now());
    load.limits.divide(own, version, zone, nearest);
}

fn log_change<D>(state: &State<D>, server: &Incarnation, source: &str) {
    let load = state.load.borrow();
    match load.limits.get(server) {
        Some((rate, _)) => {
            state.metrics.count("limits_named");
            event!(Info, "limit", server, per_second = rate, source);
        }
        None => event!(Info, "limit-ended", server, source),
    }
}

/// Logs a request that is being sent to a server that names a limit.
pub fn log_sent<D>(state: &State<D>, request: &str, server: &Incarnation) {
    let load = state.load.borrow();
    let Some((rate, _)) = load.limits.get(server) else {
        return;
    };
    let share = load.limits.share(clock::now(), server);
    state.metrics.count("requests_within_limits");
    event!(
        Info,
        "sent-within-limit",
        request,
        server,
        per_second = rate,
        share = format_args!("{share:.2}")
    );
}
