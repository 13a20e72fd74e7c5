//! A backend server as it registers itself.

use std::net::SocketAddr;

use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Server as Name;
use crate::name::Service;
use crate::name::Zone;
use crate::time::Span;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
}

/// One run of a backend server.
///
/// A restart registers under a new name, so that nothing known of one run is taken for the next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The name of this run.
    pub name: Name,
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
    pub cold: Span,
}
