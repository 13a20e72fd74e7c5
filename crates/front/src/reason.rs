//! Why the entry responds without forwarding a backend server's response.

use hyper::StatusCode;

use crate::metrics::name::Name;

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

/// The counter of a reason.
impl From<Reason> for Name {
    fn from(reason: Reason) -> Self {
        reason.name().into()
    }
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 17] = [
        Self::Starting,
        Self::Stopping,
        Self::Interrupted,
        Self::NoRoute,
        Self::NoKey,
        Self::UnsendableCustomer,
        Self::TooLarge,
        Self::SlowBody,
        Self::BrokenBody,
        Self::OutOfMemory,
        Self::Malformed,
        Self::NoServer,
        Self::Overloaded,
        Self::Refused,
        Self::Quarantined,
        Self::Failed,
        Self::Late,
    ];

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
