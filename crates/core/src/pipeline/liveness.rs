//! Assesses whether a backend server on which a request ran is alive.

use std::fmt;

use crate::pipeline::local_health::LocalHealth;
use crate::pipeline::roster::Roster;
use crate::pipeline::server::Incarnation;
use crate::pipeline::suspicion::Suspicion;
use crate::time::Instant;

/// The evidence that a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It is no longer registered.
    Unregistered,
    /// Its address refuses connections, and a response from it broke off.
    Refuses,
    /// Its registration was removed after a silence longer than that of a sound server.
    Lapsed,
}

/// The assumed state of a server on which a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It is alive.
    Alive,
    /// It is suspected, and may soon count as ended.
    Suspected,
    /// It has not answered health checks since this time. It may be suspended and go on, so it has
    /// ended only once its registration is removed as well.
    Silent(Instant),
    /// It has ended, and its work is lost.
    Ended(Evidence),
}

impl Liveness {
    /// Returns whether the server has ended.
    #[must_use]
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// Assesses a server.
    ///
    /// A draining server refuses new connections seconds before it exits and goes on serving the
    /// open ones; responses that break off there may be due to another part of their paths.
    /// Counting it as ended would let its requests run on one more server than their routes allow.
    /// Its registration is removed when it exits, so waiting for that is safe.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::liveness::Liveness;
    /// # use jujube_core::pipeline::liveness::Evidence;
    /// # use jujube_core::pipeline::local_health::LocalHealth;
    /// # use jujube_core::pipeline::roster::Roster;
    /// # use jujube_core::pipeline::suspicion::Suspicion;
    /// # use jujube_core::time::Instant;
    /// # use jujube_core::time::Span;
    /// let (suspicion, local_health) = (Suspicion::default(), LocalHealth::new(Span(25)));
    /// let (server, roster) = ("a".into(), Roster::default());
    /// let liveness = Liveness::assess(&server, Instant(0), &roster, &suspicion, &local_health);
    /// assert_eq!(liveness, Liveness::Ended(Evidence::Unregistered));
    /// ```
    #[must_use]
    pub fn assess(
        server: &Incarnation,
        now: Instant,
        roster: &Roster,
        suspicion: &Suspicion,
        local_health: &LocalHealth,
    ) -> Self {
        if roster.get(server).is_none() {
            return roster.end(server).map_or(Self::Alive, Self::Ended);
        }
        match suspicion.evidence(now, server) {
            Some(Evidence::Refuses) if roster.is_draining(server) => return Self::Suspected,
            Some(end) => return Self::Ended(end),
            None => {}
        }
        match suspicion.silent_since(now, server, local_health) {
            Some(since) if !roster.is_draining(server) => Self::Silent(since),
            _ if suspicion.is_suspected(server) => Self::Suspected,
            _ => Self::Alive,
        }
    }
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Silent(_) => "silent",
            Self::Ended(Evidence::Unregistered) => "unregistered",
            Self::Ended(Evidence::Refuses) => "refuses",
            Self::Ended(Evidence::Lapsed) => "lapsed",
        })
    }
}
