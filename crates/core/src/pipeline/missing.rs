//! Servers with layers that lost their registrations and may register again.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::name::Server as Name;
use crate::pipeline::server::Incarnation;
use crate::pipeline::server::Server;
use crate::pipeline::server::State;
use crate::time::Instant;
use crate::time::Span;

/// How long a server that is no longer registered may register again. A server that is cut from the
/// store for longer counts as gone for good.
const MISSING_TTL: Span = Span(15_000);
/// The number of checks in a row after which a missing server counts as gone.
const MAX_FAILED_CHECKS: u32 = 2;

/// How long after a change another one is likely. Leases that are not renewed end within a heartbeat
/// of each other.
const SERIES_INTERVAL: Span = Span(1_000);
/// How long a series may hold up orders.
const MAX_SERIES: Span = Span(3_000);
/// How long a series must have been over before the next one may hold up orders.
const SERIES_PAUSE: Span = Span(2_000);

/// Registrations that vanish or come back one after the other.
#[derive(Clone, Copy, Debug)]
struct Series {
    first: Instant,
    last: Instant,
}

impl Series {
    /// Returns whether a change at this moment belongs to it.
    fn includes(&self, now: Instant) -> bool {
        now.since(self.last) < SERIES_PAUSE
    }

    /// Returns whether the next change is likely soon.
    fn is_open(&self, now: Instant) -> bool {
        now.since(self.last) < SERIES_INTERVAL && now.since(self.first) < MAX_SERIES
    }
}

/// A missing server.
#[derive(Clone, Debug)]
struct Absence {
    server: Server,
    since: Instant,
    /// The checks in a row that it has not answered with layers.
    failed_checks: u32,
}

/// The servers with layers whose registrations vanished although they were ready.
///
/// A server that is cut from the store loses its registration, but keeps its layers and its
/// streams, and registers again after the cut. It gets no new requests meanwhile. If it were taken
/// for dead, other servers would give up their layers to replace it, for nothing.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// # use jujube_core::pipeline::missing::Missing;
/// # use jujube_core::time::Instant;
/// let mut missing = Missing::default();
/// assert!(!missing.is_lapsing(Instant(0)));
/// assert!(!missing.checked(&"a".into(), Range::default()), "it is not missing");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Missing {
    servers: BTreeMap<Name, Absence>,
    series: Option<Series>,
}

impl Missing {
    /// Records that a server's registration vanished; a draining server is not expected back.
    pub fn lapsed(&mut self, now: Instant, server: Server) {
        if server.state != State::Ready || server.held.is_empty() {
            return;
        }
        self.extend_series(now);
        let name = server.incarnation.server.clone();
        let absence = Absence {
            server,
            since: now,
            failed_checks: 0,
        };
        self.servers.insert(name, absence);
    }

    /// Records that a server is registered.
    pub fn registered(&mut self, now: Instant, name: &Name) {
        if self.servers.remove(name).is_some() {
            self.extend_series(now);
        }
    }

    fn extend_series(&mut self, now: Instant) {
        let series = self.series.filter(|series| series.includes(now));
        let first = series.map_or(now, |series| series.first);
        self.series = Some(Series { first, last: now });
    }

    /// Returns the missing servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().map(|absence| &absence.server)
    }

    /// Returns whether a server is missing.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        let absence = self.servers.get(&incarnation.server);
        absence.is_some_and(|absence| absence.server.incarnation == *incarnation)
    }

    /// Returns whether more registrations are likely to vanish or to come back at any moment.
    #[must_use]
    pub fn is_lapsing(&self, now: Instant) -> bool {
        self.series.is_some_and(|series| series.is_open(now))
    }

    /// Records the layers that a missing server reports to hold, none if it does not answer a check.
    /// Returns whether it counts as gone now.
    pub fn checked(&mut self, incarnation: &Incarnation, held: Range) -> bool {
        let Some(absence) = self.servers.get_mut(&incarnation.server) else {
            return false;
        };
        if !held.is_empty() {
            absence.server.held = held;
            absence.failed_checks = 0;
            return false;
        }
        absence.failed_checks += 1;
        let is_gone = absence.failed_checks >= MAX_FAILED_CHECKS;
        if is_gone {
            self.servers.remove(&incarnation.server);
        }
        is_gone
    }

    /// Keeps only the servers for which `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        self.servers.retain(|_, absence| keep(&absence.server));
    }

    /// Removes the servers that have been missing for too long.
    pub fn expire(&mut self, now: Instant) {
        self.servers
            .retain(|_, absence| now.since(absence.since) < MISSING_TTL);
    }
}
