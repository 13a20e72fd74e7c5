//! Answers that the entry itself gives.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujube_core::time::Span;

use crate::body::Body;

/// Why the entry answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No configuration is known yet.
    Starting,
    /// The process is about to stop.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is unknown, or there is none.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The body broke off.
    BrokenBody,
    /// The request cannot be understood.
    Malformed,
    /// No backend server or path can take the request now.
    NoServer,
    /// The request would wait longer than it may.
    Overloaded,
    /// Every backend server that was asked said that it has not run the request.
    Refused,
    /// A backend server may have run the request and did not answer.
    Failed,
    /// The time for an answer is over.
    Late,
}

impl Reason {
    /// Returns the status: 429, 503 and 408 promise that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BrokenBody | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Starting | Self::Stopping | Self::NoServer | Self::Refused => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::BrokenBody => "broken-body",
            Self::Malformed => "malformed",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }
}

/// Returns the entry's own answer to a request.
pub fn own<D>(reason: Reason, retry_after: Option<Span>) -> Response<Body<D>> {
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
    if reason == Reason::Stopping {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
