//! Responses that the entry generates itself.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujube_core::time::Span;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::upload::Refusal;

/// Why the entry responds without forwarding a backend server's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The configuration or the registrations have not been read yet.
    Starting,
    /// The process is shutting down and cannot serve the request in time.
    Stopping,
    /// The process exits while a backend server may be running the request.
    Interrupted,
    /// No route matches.
    NoRoute,
    /// The key is unknown, or there is none.
    NoKey,
    /// The name of the customer cannot be told to a backend server.
    UnsendableCustomer,
    /// The request body exceeds the limit.
    TooLarge,
    /// Reading the request body timed out.
    SlowBody,
    /// The request body ended early.
    BrokenBody,
    /// There is no room in the memory budget.
    OutOfMemory,
    /// The request is invalid.
    Malformed,
    /// No backend server or path is available.
    NoServer,
    /// The request would exceed its maximum queueing time.
    Overloaded,
    /// Every backend server that was tried reported that it did not run the request.
    Refused,
    /// The request crashes the servers that run it.
    Quarantined,
    /// A backend server may have run the request but returned no usable response.
    Failed,
    /// The request's deadline has passed.
    Late,
}

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

impl Reason {
    /// Returns the HTTP status. 429, 503 and 408 promise that the request has not run and never
    /// will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BrokenBody | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Starting
            | Self::Stopping
            | Self::UnsendableCustomer
            | Self::OutOfMemory
            | Self::NoServer
            | Self::Refused
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Late | Self::Interrupted => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name used in response bodies, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::Interrupted => "interrupted",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::UnsendableCustomer => "unsendable-customer",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::BrokenBody => "broken-body",
            Self::OutOfMemory => "out-of-memory",
            Self::Malformed => "malformed",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::Refused => "refused",
            Self::Quarantined => "quarantined",
            Self::Failed => "failed",
            Self::Late => "late",
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
