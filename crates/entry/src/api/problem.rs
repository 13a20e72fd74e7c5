//! Refusals and failures as problem details (RFC 9457).

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujube_core::refusal::Refusal;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::plain::VERDICT;
use serde_json::Value;
use serde_json::json;

/// Returns a refusal's JSON.
pub(crate) fn json(refusal: &Refusal) -> Value {
    let reason = serde_json::to_value(refusal.reason).unwrap_or_default();
    let kind = reason.as_str().unwrap_or("unknown").to_string();
    json!({
        "type": format!("urn:jujubeshore:problem:{kind}"),
        "title": kind.replace('-', " "),
        "status": refusal.reason.status(),
        "detail": refusal.detail,
        "verdict": refusal.verdict,
        "retry_after": refusal.retry_after.map(|span| span.retry_after_seconds()),
    })
}

/// Returns a refusal as a response.
pub(crate) fn response(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.reason.status());
    let mut response = http::json(status.unwrap_or(StatusCode::BAD_GATEWAY), &json(refusal));
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    let verdict = match refusal.verdict {
        jujube_core::verdict::Verdict::NotRun => "not-run",
        jujube_core::verdict::Verdict::MayHaveRun => "may-have-run",
        jujube_core::verdict::Verdict::Ran => "ran",
    };
    headers.insert(
        HeaderName::from_static(VERDICT),
        HeaderValue::from_static(verdict),
    );
    if let Some(span) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(span.retry_after_seconds()));
    }
    response
}
