//! What is believed of a backend server on which a request ran.

use std::fmt;

use crate::pipeline::local_health::LocalHealth;
use crate::pipeline::roster::Roster;
use crate::pipeline::server::Incarnation;
use crate::pipeline::suspicion::Suspicion;
use crate::time::Instant;

/// Why a server counts as ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It is not registered any more.
    Unregistered,
    /// Nobody listens at its address, and an answer that was under way there broke off.
    Refuses,
    /// It does not answer.
    Silent,
}

/// What is believed of a server on which a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It lives.
    Alive,
    /// It is suspected, and may count as ended soon.
    Suspected,
    /// It has ended, and what it did is lost.
    Ended(Evidence),
}

impl Liveness {
    /// Returns what is believed of a server.
    ///
    /// One that drains refuses new connections seconds before it exits, and serves on those that it has; answers
    /// that break off there may as well be lost with another part of their paths. Were that taken for its end, all
    /// requests that ran on it could move to one more server than their routes allow, while it lives. Its
    /// registration goes when it exits, so nothing is lost by waiting for that.
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
    /// let liveness = Liveness::assess(&"a".into(), Instant(0), &Roster::default(), &suspicion, &local_health);
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
            return match roster.may_linger(server) {
                true => Self::Alive,
                false => Self::Ended(Evidence::Unregistered),
            };
        }
        match suspicion.evidence(now, server, local_health) {
            Some(Evidence::Refuses) if roster.is_draining(server) => Self::Suspected,
            Some(end) => Self::Ended(end),
            None if suspicion.is_suspected(server) => Self::Suspected,
            None => Self::Alive,
        }
    }
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Ended(Evidence::Unregistered) => "unregistered",
            Self::Ended(Evidence::Refuses) => "refuses",
            Self::Ended(Evidence::Silent) => "silent",
        })
    }
}
