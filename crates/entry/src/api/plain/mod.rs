//! Calls to plain services.

mod caller;
mod driver;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use jujube_core::bundle::Kind;
use jujube_core::call::Call;
use jujube_core::call::Spec;
use jujube_core::name::Service;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_program::http;
use jujube_program::http::Body;

use crate::admit::admit;
use crate::api::auth;
use crate::api::claimed;
use crate::api::claimed::Place;
use crate::api::completions::LONGEST_BODY;
use crate::api::completions::share;
use crate::state::State;
use caller::Caller;
use caller::IDEMPOTENT;
use driver::Driver;

/// Bodies up to this length are kept for another try.
const REPLAYABLE: u64 = 64 * 1024;

/// Answers `/services/{service}/{path}`.
pub(crate) async fn answer(
    state: &State,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let snapshot = state.snapshot();
    let (parts, body) = request.into_parts();
    let customer = auth::customer(&snapshot, &parts.headers)?;
    let (service, path) = split(&parts)?;
    let offer = auth::offer(&snapshot, &customer, &service, Kind::Plain)?;
    let stricter = parts
        .headers
        .get(IDEMPOTENT)
        .is_some_and(|value| value == "false");
    let idempotent = offer.idempotent.contains(parts.method.as_str()) && !stricter;
    let key = if idempotent {
        None
    } else {
        claimed::key(&parts.headers)?
    };
    let body = read(&parts, body, key.is_some()).await?;
    let share = share(&snapshot, &customer, offer);
    let admitted = admit(state, &service, &share).await;
    let mut admitted = admitted.map_err(|refusal| (*refusal).clone())?;
    let place = key.as_ref().map(|key| Place::new(state, &customer, key));
    let caller = Caller {
        state,
        customer,
        service,
        path,
        parts,
        idempotent,
    };
    let (kept, once) = match body {
        Payload::Kept(body) => (Some(body), None),
        Payload::Once(body) => (None, Some(body)),
    };
    let spec = Spec {
        idempotent,
        replayable: kept.is_some(),
        key: key.and(kept.as_ref()).map(|body| caller.key(body)),
    };
    let mut driver = Driver {
        call: Call::new(spec),
        caller,
        place,
        kept,
        once,
        target: None,
        response: None,
    };
    let response = driver.run().await?;
    admitted.ended_well();
    let (parts, body) = response.into_parts();
    Ok(Response::from_parts(parts, http::held(body, admitted)))
}

/// Splits the path into service and what follows.
fn split(parts: &Parts) -> Result<(Service, String), Refusal> {
    let path = parts.uri.path();
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Refusal::not_run(
            Reason::Unknown,
            "expected /services/SERVICE/PATH",
        ));
    }
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// A body that can be sent again, or only once.
enum Payload {
    Kept(Bytes),
    Once(Incoming),
}

async fn read(parts: &Parts, body: Incoming, keyed: bool) -> Result<Payload, Refusal> {
    let length = parts
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    let length: Option<u64> = length.and_then(|text| text.parse().ok());
    let chunked = parts.headers.contains_key(hyper::header::TRANSFER_ENCODING);
    let short = length.map_or(!chunked, |length| length <= REPLAYABLE);
    if !short && !keyed {
        return Ok(Payload::Once(body));
    }
    let whole = Limited::new(body, LONGEST_BODY).collect().await;
    let invalid = |error| Refusal::not_run(Reason::Invalid, format!("body: {error}"));
    Ok(Payload::Kept(whole.map_err(invalid)?.to_bytes()))
}
