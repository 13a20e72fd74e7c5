//! Refusals and failures as they are reported to callers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;
use crate::verdict::Verdict;

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No usable API key.
    Unauthenticated,
    /// The customer may not use the service.
    Forbidden,
    /// No such service, or nothing at that address.
    Unknown,
    /// The request is malformed.
    Invalid,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The first request with this idempotency key is still running, or its answer was not kept.
    Duplicate,
    /// The request would wait past its deadline, or the customer has reached a limit.
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

/// A refusal or failure as it is reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to retry, if a retry makes sense.
    pub retry_after: Option<Span>,
    /// A description for people.
    pub detail: Arc<str>,
}

impl Refusal {
    /// Returns a refusal of a request that has not run.
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

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sets the verdict.
    #[must_use]
    pub fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }
}
