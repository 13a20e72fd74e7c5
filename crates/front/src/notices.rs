//! What backend servers say about themselves in the heads of their responses.

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::head;
use crate::limits;
use crate::state::State;
use crate::store_watch;

/// The word of a server that is leaving.
const LEAVING: &str = "1";

/// Applies a server's response to a request that was sent at `sent`. Returns the rest that it asks
/// for.
pub fn observe<D: Dialect, B>(
    state: &State<D>,
    server: &Incarnation,
    request: &str,
    sent: Instant,
    response: &Response<B>,
) -> Option<Span> {
    limits::observe(state, server, sent, response.headers());
    observe_leaving(state, server, response);
    let mut load = state.load.borrow_mut();
    let Some(rest) = rest(state, response.status(), response.headers()) else {
        if load.rests.answered(sent, server) {
            event!(Info, "rest-over", server, request);
        }
        return None;
    };
    load.rests.asked(clock::now(), server, rest);
    state.metrics.count("rests_asked");
    event!(Info, "rest-asked", server, request, for_ms = rest);
    Some(rest)
}

/// Applies a server's response to a health check, which shows less than one to a request.
pub fn observe_check<D: Dialect, B>(
    state: &State<D>,
    server: &Incarnation,
    sent: Instant,
    response: &Response<B>,
) {
    limits::observe_check(state, server, sent, response.headers());
    observe_leaving(state, server, response);
}

/// Applies a server's word that it is leaving.
fn observe_leaving<D: Dialect, B>(state: &State<D>, server: &Incarnation, response: &Response<B>) {
    // A misdirected request may have reached another server, at an address that it took over.
    let is_from_server = response.status() != StatusCode::MISDIRECTED_REQUEST;
    let word = head::text(response.headers(), &D::NAMES.leaving);
    if is_from_server && word.is_some_and(|word| word.trim() == LEAVING) {
        store_watch::apply_leaving(state, [server], "own");
    }
}

/// Returns for how long a server that turns a request away wants no further ones.
fn rest<D>(state: &State<D>, status: StatusCode, headers: &HeaderMap) -> Option<Span> {
    let is_turned_away =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if !is_turned_away || !headers.contains_key(RETRY_AFTER) {
        return None;
    }
    let text = head::text(headers, &RETRY_AFTER);
    let rest = text.and_then(|text| Span::parse_retry_after(text).ok());
    if rest.is_none() {
        state.metrics.count("rests_malformed");
    }
    rest
}
