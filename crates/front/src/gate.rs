//! Whether requests may be sent to backend servers now, by what the servers said.

use jujube_core::name::Service;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::limits;
use crate::state::State;

/// When to retry if this entry has no share of the limits that all servers name.
const RETRY_AFTER_NO_SHARE: Span = Span(1_000);

/// Returns whether this entry may send a request to a server now.
pub fn is_open<D>(state: &State<D>, server: &Incarnation) -> bool {
    state.load.borrow().is_open(clock::now(), server)
}

/// Returns whether a server that was chosen wants a request no more, or no server may get it.
///
/// Between the choice and the sending lies the time to connect, in which a response to another
/// request may have asked for rest or said that the server is leaving, and servers may have crashed
/// under what the request shares with others.
pub fn is_unwanted<D>(state: &State<D>, server: &Incarnation, features: &Features) -> bool {
    is_resting(state, server)
        || state.roster.borrow().is_draining(server)
        || state.quarantine_cause(features).is_some()
}

/// Returns whether a server has asked this entry for rest that is not over.
pub fn is_resting<D>(state: &State<D>, server: &Incarnation) -> bool {
    state.load.borrow().rests.contains(clock::now(), server)
}

/// Records a request that is being sent along a path.
pub fn record_sent_along<D>(state: &State<D>, request: &str, path: &Path) {
    if let Some(first) = path.first() {
        limits::log_sent(state, request, &first.server);
    }
    state.load.borrow_mut().sent_along(clock::now(), path);
}

/// Records that a later part of a path turned a request away and wants no others for a time.
///
/// The first server relays its response, and may be all that it speaks for.
pub fn record_rest_of_part<D>(state: &State<D>, request: &str, part: &Part, rest: Span) {
    let server = &part.server;
    state
        .load
        .borrow_mut()
        .rests
        .asked(clock::now(), server, rest);
    event!(
        Info,
        "rest-asked",
        server,
        request,
        for_ms = rest,
        source = "path"
    );
}

/// Records a request that is being sent to a server.
pub fn record_sent<D>(state: &State<D>, request: &str, server: &Incarnation) {
    limits::log_sent(state, request, server);
    state.load.borrow_mut().sent(clock::now(), server);
}

/// When the first of some servers may get a request, and what it waits for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Opening {
    /// How long it takes; zero if one may get a request now.
    pub after: Span,
    /// The cause for logs.
    pub cause: &'static str,
}

impl Opening {
    /// Returns when a server may get a request.
    fn of<D>(state: &State<D>, server: &Incarnation) -> Self {
        let load = state.load.borrow();
        let now = clock::now();
        let is_resting = load.rests.contains(now, server);
        let after = match load.opens_at(now, server) {
            // The first request after a rest may be answered at any moment.
            _ if load.is_allowed(now, server) => Span(0),
            Some(opens_at) => opens_at.since(now),
            None => RETRY_AFTER_NO_SHARE,
        };
        Self {
            after,
            cause: if is_resting { "at-rest" } else { "at-limit" },
        }
    }

    /// Returns when the first of some servers may get a request; `None` if there are no servers.
    pub fn first<'a, D>(
        state: &State<D>,
        servers: impl Iterator<Item = &'a Incarnation>,
    ) -> Option<Self> {
        let mut first: Option<Self> = None;
        for server in servers {
            let opening = Self::of(state, server);
            if opening.after == Span(0) {
                return Some(opening);
            }
            first = Some(first.map_or(opening, |first| first.min(opening)));
        }
        first
    }

    /// Returns when the last of the later parts of a path that rest may get a request; `None` if
    /// none rests.
    pub fn of_later_parts<D>(state: &State<D>, path: &Path) -> Option<Self> {
        let later = path.parts().iter().skip(1).map(|part| &part.server);
        let resting = later.filter(|server| is_resting(state, server));
        resting.map(|server| Self::of(state, server)).max()
    }

    /// Returns the later of a time that is known otherwise and that of an opening, if there is one.
    pub fn not_before(opening: Option<Self>, after: Span) -> Span {
        opening.map_or(after, |opening| opening.after.max(after))
    }

    /// Returns when a path of a model may be sent a request; `None` if there is no path.
    pub fn of_model<D>(state: &State<D>, service: &Service) -> Option<Self> {
        let fleets = state.fleets.borrow();
        Self::first(state, fleets.get(service)?.first_servers())
    }
}
