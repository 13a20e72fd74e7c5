//! The choice of a server for one attempt.

use jujube_core::name::Service;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::gate::Opening;
use crate::loans;
use crate::reason::Reason;
use crate::state::State;

use super::Refusal;

/// Number of random candidates from which the least loaded server is picked.
const CANDIDATES: usize = 2;
/// `Retry-After` if no server is available.
const RETRY_AFTER_NO_SERVER: Span = Span(500);

/// Picks the less loaded of two random servers among those with the best health record; prefers
/// the local zone on ties.
///
/// Load reports from other entries are delayed. If every entry picked the least loaded server,
/// all would overload the same one until the next report.
pub(super) fn pick<D>(
    state: &State<D>,
    service: &Service,
    excluded: &[Incarnation],
) -> Option<Server> {
    let roster = state.roster.borrow();
    let load = state.load.borrow();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let local_zone = &state.settings.zone;
    let now = clock::now();
    let health = |server: &&Server| {
        let incarnation = &server.incarnation;
        let is_avoided =
            outliers.contains(incarnation) || suspicion.is_widely_suspected(incarnation);
        let is_tried = !load.is_open(now, incarnation);
        (suspicion.is_suspected(incarnation), is_tried, is_avoided)
    };
    let mut usable: Vec<&Server> = roster
        .usable()
        .filter(|server| server.service == *service)
        .filter(|server| !excluded.contains(&server.incarnation))
        .filter(|server| load.is_allowed(now, &server.incarnation))
        .collect();
    let best = usable.iter().map(health).min()?;
    usable.retain(|server| health(server) == best);
    usable.sort_by_cached_key(|_| rand::random::<u32>());
    let chosen = usable.into_iter().take(CANDIDATES).min_by_key(|server| {
        let is_remote = server.zone != *local_zone;
        let incarnation = &server.incarnation;
        (
            load.requests(incarnation),
            suspicion.peer_reports(incarnation) > 0,
            is_remote,
        )
    });
    chosen.cloned()
}

/// Records a request for the demand at the servers of its service.
pub(super) fn record_demand<D>(state: &State<D>, service: &Service) {
    let roster = state.roster.borrow();
    let servers = roster.usable().filter(|server| server.service == *service);
    loans::record_demand(state, servers.map(|server| &server.incarnation));
}

/// Returns when the first server of a service may get a request; `None` if there is no server.
pub(super) fn opening<D>(state: &State<D>, service: &Service) -> Option<Opening> {
    let roster = state.roster.borrow();
    let servers = roster.usable().filter(|server| server.service == *service);
    Opening::first(state, servers.map(|server| &server.incarnation))
}

/// Returns the refusal of a request for which there is no server.
pub(super) fn refusal<D>(state: &State<D>, service: &Service) -> Refusal {
    let opening = opening(state, service).unwrap_or(Opening {
        after: RETRY_AFTER_NO_SERVER,
        cause: "no-server",
    });
    (Reason::NoServer, opening.cause.into(), Some(opening.after))
}
