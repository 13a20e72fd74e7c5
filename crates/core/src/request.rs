//! Identifiers of requests and of their steps.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::number::numbers;

numbers! {
    /// Identifies one run of a process; it changes with every start.
    ///
    /// State in memory is lost on a restart. Without this number, an unknown request at a restarted
    /// process would look like a request that never ran.
    BootId;
    /// Numbers the paths of a request; it grows with every change of path.
    ///
    /// A stage rejects steps of an older epoch. Otherwise a stage that was paused while it was
    /// replaced could extend an unused cache, and its late token could be taken for that of its
    /// replacement. A single entry assigns all epochs of a request.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::request::Epoch;
    /// let epoch: Epoch = "7".parse()?;
    /// assert!(epoch < epoch.next());
    /// # Ok::<(), std::num::ParseIntError>(())
    /// ```
    Epoch;
    /// The index of a token in a request's sequence: the prompt, then the answer.
    Position;
}

impl Position {
    /// Returns the position `count` later.
    #[must_use]
    pub fn plus(self, count: usize) -> Self {
        Self(self.0 + count as u64)
    }

    /// Returns the number of positions from `earlier` up to this one; zero if `earlier` is later.
    #[must_use]
    pub fn distance(self, earlier: Self) -> usize {
        self.0.saturating_sub(earlier.0) as usize
    }
}

/// Identifies a request by the run of the entry that accepted it and its number there.
///
/// # Examples
///
/// ```
/// # use jujube_core::request::Request;
/// let request: Request = "00000000000000ff-3".parse()?;
/// assert_eq!(request.to_string(), "00000000000000ff-3");
/// # Ok::<(), jujube_core::request::BadRequest>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Request {
    /// The run of the entry that accepted the request.
    pub entry: BootId,
    /// The number of the request in that run.
    pub number: u64,
}

/// Error of parsing a malformed request identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected 16 hex digits, a dash and a number")]
pub struct BadRequest;

impl From<ParseIntError> for BadRequest {
    fn from(_: ParseIntError) -> Self {
        Self
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry.0, self.number)
    }
}

impl FromStr for Request {
    type Err = BadRequest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, number) = text.split_once('-').ok_or(BadRequest)?;
        Ok(Self {
            entry: BootId(u64::from_str_radix(entry, 16)?),
            number: number.parse()?,
        })
    }
}
