//! The choice of a server for one attempt.

use jujube_core::name::Service;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::limits;
use crate::response::Reason;
use crate::state::State;

use super::Refusal;

/// Number of random candidates from which the least loaded server is picked.
const CANDIDATES: usize = 2;
/// `Retry-After` if no server is available.
const RETRY_AFTER_NO_SERVER: Span = Span(500);
/// `Retry-After` if all servers are at their limits and this entry has no share of them.
const RETRY_AFTER_NO_SHARE: Span = Span(1_000);

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
        (suspicion.is_suspected(incarnation), is_avoided)
    };
    let mut usable: Vec<&Server> = roster
        .usable()
        .filter(|server| server.service == *service)
        .filter(|server| !excluded.contains(&server.incarnation))
        .filter(|server| load.limits.is_open(now, &server.incarnation))
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

/// Returns the refusal of a request for which there is no server.
pub(super) fn refusal<D>(state: &State<D>, service: &Service) -> Refusal {
    let roster = state.roster.borrow();
    let servers = roster.usable().filter(|server| server.service == *service);
    let servers: Vec<&Incarnation> = servers.map(|server| &server.incarnation).collect();
    if servers.is_empty() {
        let cause = "no-server".into();
        return (Reason::NoServer, cause, Some(RETRY_AFTER_NO_SERVER));
    }
    let opens_after = limits::opens_after(state, servers.into_iter());
    let retry_after = opens_after.unwrap_or(RETRY_AFTER_NO_SHARE);
    (Reason::NoServer, "at-limit".into(), Some(retry_after))
}
