//! Whether a request may have run.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run; sent with every error.
///
/// A caller retries a non-idempotent request only on `NotRun`. A false `NotRun` would make it run
/// twice, so that `MayHaveRun` is the verdict in every case that is not certain.
///
/// # Examples
///
/// ```
/// # use jujube_core::verdict::Verdict;
/// assert_eq!("not-run".parse(), Ok(Verdict::NotRun));
/// assert!(Verdict::NotRun.may_retry(false));
/// assert!(!Verdict::MayHaveRun.may_retry(false));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No backend server acted on it, and none will.
    NotRun,
    /// A backend server may have acted on it, or may still do so.
    MayHaveRun,
    /// A backend server acted on it.
    Ran,
}

/// Error of parsing an unknown verdict.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected `not-run`, `may-have-run` or `ran`")]
pub struct BadVerdict;

impl Verdict {
    /// Returns whether a retry is safe.
    #[must_use]
    pub fn may_retry(self, idempotent: bool) -> bool {
        self == Self::NotRun || idempotent
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

impl FromStr for Verdict {
    type Err = BadVerdict;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(BadVerdict),
        }
    }
}
