//! A backend server as it registers itself.

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
    /// When a backend server started by its own clock, in milliseconds since 1970.
    ///
    /// It tells starts apart and orders nothing else: a clock that was set back makes a later start
    /// look like an earlier one.
    StartTime;
}

/// One start of a backend server.
///
/// A server may start again under the name that it had. It then holds nothing and knows nothing of
/// before, while bookings, suspicions, orders and connections here speak of its earlier start. All that
/// is remembered of a server is therefore kept under its start, so that nothing of an earlier one can be
/// taken for the present one.
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
/// assert!(!earlier.conflicts_with(None), "a server need not tell");
/// assert_eq!(later.to_string(), "a@9000");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// The server's name, the same for all its starts.
    pub server: Name,
    /// When it started; `None` where the server does not tell.
    pub started_at: Option<StartTime>,
}

impl Incarnation {
    /// Returns the start of a server.
    #[must_use]
    pub fn new(server: Name, started_at: Option<StartTime>) -> Self {
        Self { server, started_at }
    }

    /// Tells whether a server that says it started at `started_at` is another start than this one.
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

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
    /// Its registration cannot be read. It gets nothing new and is not counted on; what runs there goes
    /// on, since the server may be well and another have written in its place.
    Unreadable,
}

/// One start of a backend server, as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Which start of which server.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it takes new work.
    pub state: State,
    /// How many requests it runs at a time.
    pub slots: u64,
    /// Its accelerator; `None` for a plain service.
    pub accelerator: Option<Accelerator>,
    /// The layers that it holds now; empty when none.
    pub held: Range,
    /// How much longer it is slow after its start.
    pub warm_up: Span,
}
