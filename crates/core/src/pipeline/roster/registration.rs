//! What is known of one registration.

use crate::pipeline::liveness::Evidence;
use crate::pipeline::server::Server;
use crate::pipeline::server::State;
use crate::time::Instant;

/// A registered server and the state of its registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Registration {
    pub(super) server: Server,
    /// When it was first seen.
    pub(super) since: Instant,
    /// Until when the server counts after its registration expired around an outage.
    pub(super) lapses_at: Option<Instant>,
    /// When it was first seen draining, by its registration or its own word.
    pub(super) draining_since: Option<Instant>,
    /// Whether its registration said that it drains. Such a registration is removed when the server
    /// exits; one that never says so may be removed before.
    pub(super) is_registered_draining: bool,
}

impl Registration {
    /// Returns a registration first seen at `since`, and first seen draining at `draining_since` if
    /// the server drains.
    pub(super) fn new(server: Server, since: Instant, draining_since: Instant) -> Self {
        let is_draining = server.state == State::Draining;
        Self {
            server,
            since,
            lapses_at: None,
            draining_since: is_draining.then_some(draining_since),
            is_registered_draining: is_draining,
        }
    }

    /// Records at `now` that the server drains, although its registration does not say so.
    pub(super) fn set_draining(&mut self, now: Instant) {
        self.server.state = State::Draining;
        self.draining_since.get_or_insert(now);
    }
}

/// A removed registration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    pub(super) at: Instant,
    /// The evidence that the server no longer serves any requests: it was draining, or has died.
    pub(super) end: Option<Evidence>,
    /// Whether another server has its address. Its registration may be listed until it expires.
    pub(super) is_displaced: bool,
}

/// The effect of a change to the roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Nothing that affects routing.
    None,
    /// A server joined.
    Joined,
    /// A server started draining.
    Draining,
    /// A server is no longer registered.
    Gone,
    /// A server's registration vanished around an outage; it counts a little longer.
    Lapsed,
    /// The layers or the attributes of a server changed.
    Changed,
    /// A server restarted under its name.
    Restarted,
    /// A server's registration became unreadable.
    Unreadable,
}
