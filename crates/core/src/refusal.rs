//! The final word on a request that got no answer.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;
use crate::verdict::Verdict;

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No usable API key.
    Unauthenticated,
    /// The customer may not use the service.
    Forbidden,
    /// No such service, or nothing at that address.
    Unknown,
    /// The request itself is wrong.
    Invalid,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The idempotency key's first request has not ended, or has ended and cannot be shown again.
    Duplicate,
    /// The wait would outlast the deadline, or the customer's limit is reached.
    Overloaded,
    /// No path through live backend servers.
    NoPath,
    /// The platform's key-value service does not answer, and the request needs a claim.
    NoClaim,
    /// The backend server failed.
    BackendFailed,
    /// This process is stopping, or has no configuration yet.
    NotReady,
}

impl Reason {
    /// Returns the HTTP status code.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::refusal::Reason;
    /// assert_eq!(Reason::Overloaded.status(), 429);
    /// ```
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::Unknown => 404,
            Self::Invalid => 400,
            Self::KeyReused => 422,
            Self::Duplicate => 409,
            Self::Overloaded => 429,
            Self::NoPath | Self::NoClaim | Self::NotReady => 503,
            Self::BackendFailed => 502,
        }
    }
}

/// A refusal or failure as the caller is told it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Span>,
    /// One sentence for a person.
    pub detail: Arc<str>,
}

impl Refusal {
    /// Returns a refusal of a request that was not run.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::refusal::Reason;
    /// # use jujube_core::refusal::Refusal;
    /// # use jujube_core::verdict::Verdict;
    /// let refusal = Refusal::not_run(Reason::Forbidden, "not your service");
    /// assert_eq!(refusal.verdict, Verdict::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Returns the same refusal with the time after which to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the same refusal with another verdict.
    #[must_use]
    pub fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }
}
