//! A registered backend server.

use std::fmt;
use std::net::SocketAddr;

use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Server as Name;
use crate::name::Service;
use crate::name::Zone;
use crate::number::numbers;
use crate::time::Span;

numbers! {
    /// The start time of a backend server by its own clock, in milliseconds since 1970.
    ///
    /// It identifies an incarnation, but does not order them: a clock that was set back makes a
    /// later start look like an earlier one.
    StartTime;
}

/// One start of a backend server.
///
/// A server that restarts under its name has lost its memory, while load, suspicions, orders and
/// connections may still refer to its previous start. All state about a server is therefore kept by
/// incarnation, so that state of an earlier one is never applied to the current one.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::server::StartTime;
/// # use jujube_core::pipeline::server::Incarnation;
/// let earlier = Incarnation::new("a".into(), Some(StartTime(1_000)));
/// let later = Incarnation::new("a".into(), Some(StartTime(9_000)));
/// assert_ne!(earlier, later);
/// assert!(earlier.conflicts_with(Some(StartTime(9_000))));
/// assert!(!earlier.conflicts_with(None), "the start time is optional");
/// assert_eq!(later.to_string(), "a@9000");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// The server's name, the same for all incarnations.
    pub server: Name,
    /// When it started, or `None` if the server does not report it.
    pub started_at: Option<StartTime>,
}

impl Incarnation {
    /// Returns an incarnation of a server.
    #[must_use]
    pub fn new(server: Name, started_at: Option<StartTime>) -> Self {
        Self { server, started_at }
    }

    /// Returns whether a server that reports `started_at` is another incarnation.
    #[must_use]
    pub fn conflicts_with(&self, started_at: Option<StartTime>) -> bool {
        self.started_at.is_some() && started_at.is_some() && self.started_at != started_at
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}@{started_at}", self.server),
            None => self.server.fmt(f),
        }
    }
}

impl From<Name> for Incarnation {
    fn from(server: Name) -> Self {
        Self::new(server, None)
    }
}

impl From<&str> for Incarnation {
    fn from(server: &str) -> Self {
        Self::new(server.into(), None)
    }
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It accepts new work.
    #[default]
    Ready,
    /// It finishes its current work and then exits.
    Draining,
    /// Its registration cannot be read. It gets no new work and is not relied on; current work
    /// continues, since another process may have overwritten the registration of a healthy server.
    Unreadable,
}

/// An incarnation of a backend server, as registered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The service that it runs.
    pub service: Service,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it accepts new work.
    pub state: State,
    /// The maximum number of concurrent requests.
    pub slots: u64,
    /// Its accelerator, or `None` for a service without a model.
    pub accelerator: Option<Accelerator>,
    /// The layers that it holds; may be empty.
    pub held: Range,
    /// How much longer it responds slowly after its start.
    pub warm_up: Span,
}
