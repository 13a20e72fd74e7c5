//! Runs that were lost, and the ends of their servers.

use std::fmt;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;

use super::features::Features;

/// A run of a request on a server that was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// What the request shares with others.
    pub features: Features,
    /// The server.
    pub server: Incarnation,
    /// When it was sent.
    pub sent: Instant,
    /// When its first event arrived, if any did.
    pub began: Option<Instant>,
    /// Whether its response may be complete: nothing but the end of its connection told where it ended.
    pub may_be_complete: bool,
}

impl Run {
    /// Returns the run as one whose response may be complete.
    #[must_use]
    pub fn perhaps_complete(self) -> Self {
        Self {
            may_be_complete: true,
            ..self
        }
    }
}

/// One end of a server under a request.
///
/// A server that restarts under its name and reports no start time keeps its incarnation, and may
/// end again. Each entry numbers the ends that it saw; one that missed some counts fewer, so that
/// the ends of all entries together are never more than there were.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct End {
    /// The server.
    pub server: Incarnation,
    /// How often this incarnation had ended before under the same request.
    pub earlier: u32,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.earlier {
            0 => self.server.fmt(f),
            earlier => write!(f, "{}#{earlier}", self.server),
        }
    }
}

impl From<Incarnation> for End {
    fn from(server: Incarnation) -> Self {
        Self { server, earlier: 0 }
    }
}

impl From<&str> for End {
    fn from(server: &str) -> Self {
        Incarnation::from(server).into()
    }
}
