//! One dispatch of a call to a plain service, and finding out what became of it.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use jujube_core::blackboard::Target;
use jujube_core::request::BootId;
use jujube_core::request::Request as Call;
use jujube_core::verdict::Verdict;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::heartbeat::Settle;
use jujube_wire::plain;
use jujube_wire::service::SidecarClient;

use crate::state::State;

/// The clients towards sidecars' HTTP side.
#[derive(Clone)]
pub(crate) struct Sender {
    kept: http::Client,
    fresh: http::Client,
}

impl Default for Sender {
    fn default() -> Self {
        const CONNECT: Duration = Duration::from_millis(300);
        Self {
            kept: http::Client::new(CONNECT),
            fresh: http::Client::fresh(CONNECT),
        }
    }
}

/// What came of a dispatch.
pub(crate) enum Sent {
    /// The service answered.
    Answered(Response<Incoming>),
    /// It did not, and this is known of the call.
    Refused(Verdict),
    /// Nothing is known.
    Unclear,
}

/// Sends a call to a backend server's sidecar.
pub(crate) async fn send(
    state: &State,
    target: &Target,
    call: Call,
    idempotent: bool,
    request: Request<Body>,
) -> Sent {
    let Some(request) = address(target, call, request) else {
        return Sent::Refused(Verdict::NotRun);
    };
    // A kept connection may have gone silent; only what may be repeated takes that risk.
    let client = if idempotent {
        &state.sender.kept
    } else {
        &state.sender.fresh
    };
    match client.send(request).await {
        Ok(response) => judge(response),
        Err(http::Error::NotSent(_)) => Sent::Refused(Verdict::NotRun),
        Err(http::Error::Cut(_) | http::Error::Unknown(_) | http::Error::Unusable(_)) => {
            state.counters.add("dispatches_unclear", 1);
            Sent::Unclear
        }
    }
}

fn address(target: &Target, call: Call, request: Request<Body>) -> Option<Request<Body>> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    parts.uri = format!("http://{}{path}", target.http).parse().ok()?;
    let call = HeaderValue::from_str(&call.to_string()).ok()?;
    let sidecar = HeaderValue::from_str(&target.sidecar.to_string()).ok()?;
    parts.headers.insert(plain::CALL, call);
    parts.headers.insert(plain::SIDECAR, sidecar);
    Some(Request::from_parts(parts, body))
}

/// Tells the sidecar's own refusals from the service's answers: only the former carry a verdict.
fn judge(mut response: Response<Incoming>) -> Sent {
    let Some(verdict) = response.headers_mut().remove(plain::VERDICT) else {
        return Sent::Answered(response);
    };
    let verdict = verdict.to_str().ok().and_then(|text| text.parse().ok());
    Sent::Refused(verdict.unwrap_or(Verdict::MayHaveRun))
}

/// Asks a sidecar what became of a call; `may-have-run` when it cannot be asked.
pub(crate) async fn settle(
    state: &State,
    address: &Arc<str>,
    call: Call,
    sidecar: BootId,
) -> Verdict {
    let settle = Settle { call, sidecar };
    let ask = |client: SidecarClient, context| async move { client.settle(context, settle).await };
    let answer = state.sidecar(address).call(ask).await;
    answer.unwrap_or(Verdict::MayHaveRun)
}
