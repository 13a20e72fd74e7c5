//! Calls to the plain service beside the sidecar, at most once each.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jujube_core::at_most_once;
use jujube_core::pipeline::framing::Ended;
use jujube_core::request::BootId;
use jujube_core::request::Request as Call;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::plain;
use serde_json::json;

use crate::proof::Checked;
use crate::state::State;

/// The client of the plain service.
///
/// Each call has a connection of its own: a kept one may have gone silent, and a call that may not be
/// repeated must not be the one to find out.
pub(crate) fn client() -> http::Client {
    http::Client::fresh(Duration::from_millis(500))
}

/// Where operators read what the sidecar knows; calls from entries carry their number and go on to
/// the service, whatever their path.
const STATUS: &str = "/status";

fn status(state: &State) -> Response<Body> {
    let status = json!({
        "role": "sidecar",
        "server": state.settings.server,
        "incarnation": format!("{:016x}", state.incarnation.0),
        "generation": state.generation(),
        "draining": state.draining.load(Ordering::Relaxed),
        "healthy": state.healthy.load(Ordering::Relaxed),
        "requests": state.ledger().len(),
        "calls": state.deduplicator().busy(),
        "entries": state.ledger().entries(),
        "counters": state.counters.snapshot(),
    });
    http::json(StatusCode::OK, &status)
}

/// Answers one call from an entry.
pub(crate) async fn answer(
    state: State,
    client: http::Client,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == STATUS && !request.headers().contains_key(plain::CALL) {
        return status(&state);
    }
    let Some((call, meant_for)) = identify(request.headers()) else {
        return refusal(Verdict::NotRun, "no call identifier");
    };
    let begun = state.deduplicator().begin(clock::now(), call, meant_for);
    if let Err(refused) = begun {
        state.counters.add("calls_refused", 1);
        let verdict = match refused {
            at_most_once::Refused::Repeated(state) => state.verdict(),
            _ => Verdict::NotRun,
        };
        return refusal(verdict, &refused.to_string());
    }
    state.counters.add("calls", 1);
    let slot = Slot(state.clone());
    forward(state, client, call, slot, request).await
}

/// Gives the slot back when the answer has been sent or the caller is gone.
struct Slot(State);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.deduplicator().end();
    }
}

async fn forward(
    state: State,
    client: http::Client,
    call: Call,
    slot: Slot,
    request: Request<Incoming>,
) -> Response<Body> {
    let request = match rewrite(&state, request) {
        Ok(request) => request,
        Err(why) => {
            state
                .deduplicator()
                .advance(clock::now(), call, at_most_once::State::Closed);
            return refusal(Verdict::NotRun, &why);
        }
    };
    // From here on the service may act; the record says so before the first byte is sent.
    state
        .deduplicator()
        .advance(clock::now(), call, at_most_once::State::Handed);
    let method = request.method().clone();
    match client.send(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            state
                .deduplicator()
                .advance(clock::now(), call, at_most_once::State::Answered(status));
            let framing = http::framing(&method, response.status(), response.headers());
            let received = Ended {
                status,
                framing,
                has_body: false,
            };
            let checked = |body| Checked::new(body, received, call, state);
            pass_on(response.map(checked), slot)
        }
        Err(http::Error::NotSent(why)) => {
            state
                .deduplicator()
                .advance(clock::now(), call, at_most_once::State::Closed);
            refusal(Verdict::NotRun, &why)
        }
        Err(http::Error::Cut(why) | http::Error::Unknown(why) | http::Error::Unusable(why)) => {
            refusal(Verdict::MayHaveRun, &why)
        }
    }
}

fn identify(headers: &HeaderMap) -> Option<(Call, BootId)> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let call = text(plain::CALL)?.parse().ok()?;
    let sidecar = text(plain::SIDECAR)?.parse().ok()?;
    Some((call, sidecar))
}

fn rewrite(state: &State, request: Request<Incoming>) -> Result<Request<Body>, String> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let base = state.settings.backend.trim_end_matches('/');
    let uri: Uri = format!("{base}{path}")
        .parse()
        .map_err(|_| "no such path".to_string())?;
    parts.uri = uri;
    for name in [plain::CALL, plain::SIDECAR] {
        parts.headers.remove(name);
    }
    parts.headers.remove(HOST);
    let body = body.map_err(io::Error::other).boxed_unsync();
    Ok(Request::from_parts(parts, body))
}

fn pass_on(response: Response<Checked>, slot: Slot) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    // In HTTP/1.0 the end of the connection would end the body, also where it broke off.
    parts.version = Version::HTTP_11;
    plain::remove_hop_by_hop(&mut parts.headers);
    // The slot is free when the body has been sent, not before: a drain waits for it.
    Response::from_parts(parts, http::held(body, slot))
}

fn refusal(verdict: Verdict, why: &str) -> Response<Body> {
    let mut response = http::text(StatusCode::BAD_GATEWAY, why.to_string());
    let name = HeaderName::from_static(plain::VERDICT);
    if let Ok(value) = HeaderValue::from_str(&verdict.to_string()) {
        response.headers_mut().insert(name, value);
    }
    response
}
