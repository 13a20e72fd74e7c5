//! Responses that the entry generates itself.

use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujube_core::time::Span;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::reason::Reason;
use crate::upload::Refusal;

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::TooLarge => Self::TooLarge,
            Refusal::Slow => Self::SlowBody,
            Refusal::Broken => Self::BrokenBody,
            Refusal::OutOfMemory => Self::OutOfMemory,
            Refusal::Overtaken => Self::Stopping,
        }
    }
}

/// Creates the entry's response to a request that it does not forward.
pub fn local<D: Dialect>(reason: Reason, retry_after: Option<Span>) -> Response<Body<D>> {
    let mut response = Response::new(Body::text(reason.name()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(span) = retry_after {
        let seconds = format!("{:.3}", span.0 as f64 / 1e3);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if matches!(reason, Reason::Stopping | Reason::Interrupted) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
