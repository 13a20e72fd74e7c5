//! Membership: which backend servers may get work, based on their heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::head::Generation;
use crate::name::Server;
use crate::request::BootId;
use crate::time::Instant;
use crate::time::Span;

/// The content of a sidecar's heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The incarnation of the sidecar.
    pub incarnation: BootId,
    /// The generation of the configuration in force there.
    pub generation: Generation,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether its engine or backend server responds.
    pub healthy: bool,
    /// The number of requests that it holds.
    pub held: u64,
    /// The address for calls to plain services.
    pub http: Arc<str>,
    /// The number of entries that it receives messages from.
    pub entries: u64,
}

/// The state of a backend server in the VM list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Vm {
    /// Listed as live, or not listed because the list lags.
    #[default]
    Unknown,
    /// Listed as leaving.
    Leaving,
}

/// The state of a backend server, which determines whether it gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// May get new work.
    Up,
    /// Gets no new work, but finishes what it has.
    Draining,
    /// Has not responded for a while; gets no new work unless most servers are silent.
    Suspect,
    /// Unreachable, unhealthy or unknown; gets no work.
    Down,
}

/// The intervals and limits of failure detection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The polling interval for sidecars that hold requests of this entry.
    pub busy_interval: Span,
    /// The polling interval for other sidecars.
    pub idle_interval: Span,
    /// The time without an answer after which a backend server is suspect.
    pub suspect_after: Span,
    /// The time without an answer after which it is down.
    pub down_after: Span,
    /// The minimum share of a service's known servers, in percent, that must be up. Below it,
    /// silence alone excludes no server.
    pub floor_percent: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            busy_interval: Span(100),
            idle_interval: Span(500),
            suspect_after: Span(150),
            down_after: Span(300),
            floor_percent: 40,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    last: Heartbeat,
    received: Option<Instant>,
    /// When the oldest unanswered poll was sent.
    unanswered: Option<Instant>,
    refused: bool,
    vm: Vm,
}

/// The states of the backend servers as seen by one entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::membership::Heartbeat;
/// # use jujube_core::membership::Membership;
/// # use jujube_core::membership::Settings;
/// # use jujube_core::membership::State;
/// # use jujube_core::time::Instant;
/// let mut membership = Membership::new(Settings::default());
/// let beat = Heartbeat { healthy: true, ..Heartbeat::default() };
/// membership.record_heartbeat(Instant(0), &"a".into(), beat);
/// assert_eq!(membership.state(Instant(50), &"a".into()), State::Up);
/// membership.record_poll(Instant(100), &"a".into());
/// assert_eq!(membership.state(Instant(5_000), &"a".into()), State::Down);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    servers: BTreeMap<Server, Record>,
}

impl Membership {
    /// Returns a membership without servers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Adds the backend servers of a bundle and removes all others.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = Server>) {
        let named: BTreeSet<Server> = servers.into_iter().collect();
        self.servers.retain(|server, _| named.contains(server));
        for server in named {
            self.servers.entry(server).or_default();
        }
    }

    /// Records that a sidecar was polled. Silence is measured from the oldest unanswered poll, so
    /// that a long polling interval is not mistaken for silence.
    pub fn record_poll(&mut self, now: Instant, server: &Server) {
        if let Some(record) = self.servers.get_mut(server) {
            record.unanswered.get_or_insert(now);
        }
    }

    /// Records a heartbeat. Returns `true` when the sidecar has restarted, which means that it has
    /// lost the requests that it held.
    pub fn record_heartbeat(&mut self, now: Instant, server: &Server, beat: Heartbeat) -> bool {
        let record = self.servers.entry(server.clone()).or_default();
        let restarted = record.received.is_some() && record.last.incarnation != beat.incarnation;
        record.last = beat;
        record.received = Some(now);
        record.unanswered = None;
        record.refused = false;
        restarted
    }

    /// Records that a new connection was refused; the server counts as down until its next
    /// heartbeat.
    pub fn record_refusal(&mut self, server: &Server) {
        if let Some(record) = self.servers.get_mut(server) {
            record.refused = true;
        }
    }

    /// Applies the VM list. The list lags, so it only marks leaving servers; it never marks a server
    /// as down or up.
    pub fn set_leaving(&mut self, leaving: &BTreeSet<Server>) {
        for (server, record) in &mut self.servers {
            record.vm = if leaving.contains(server) {
                Vm::Leaving
            } else {
                Vm::Unknown
            };
        }
    }

    /// Returns the latest heartbeat of a backend server.
    #[must_use]
    pub fn last_heartbeat(&self, server: &Server) -> Option<&Heartbeat> {
        let record = self.servers.get(server)?;
        record.received.map(|_| &record.last)
    }

    /// Returns the age of the latest heartbeat.
    #[must_use]
    pub fn heartbeat_age(&self, now: Instant, server: &Server) -> Option<Span> {
        self.servers
            .get(server)?
            .received
            .map(|received| now.since(received))
    }

    /// Returns the state of a backend server.
    #[must_use]
    pub fn state(&self, now: Instant, server: &Server) -> State {
        let Some(record) = self.servers.get(server) else {
            return State::Down;
        };
        if record.received.is_none() {
            return State::Down;
        }
        let silence = record
            .unanswered
            .map_or(Span(0), |polled| now.since(polled));
        if record.refused || !record.last.healthy || silence > self.settings.down_after {
            return State::Down;
        }
        if record.last.draining || record.vm == Vm::Leaving {
            return State::Draining;
        }
        if silence > self.settings.suspect_after {
            return State::Suspect;
        }
        State::Up
    }

    /// Returns the backend servers of a service that may get new work.
    ///
    /// When most servers fall silent at once, the likely cause is a network fault of this entry, and
    /// excluding them would refuse every request. Below `floor_percent`, servers that are only silent
    /// are therefore included; draining, unhealthy and refusing servers stay excluded.
    #[must_use]
    pub fn usable(&self, now: Instant, service: &[Server]) -> BTreeSet<Server> {
        let up = |server: &&Server| self.state(now, server) == State::Up;
        let usable: BTreeSet<Server> = service.iter().filter(up).cloned().collect();
        let known = service
            .iter()
            .filter(|server| self.last_heartbeat(server).is_some())
            .count();
        if usable.len() * 100 >= known * self.settings.floor_percent {
            return usable;
        }
        let only_silent = |server: &&Server| self.is_only_silent(server);
        service.iter().filter(only_silent).cloned().collect()
    }

    fn is_only_silent(&self, server: &Server) -> bool {
        let Some(record) = self.servers.get(server) else {
            return false;
        };
        let leaving = record.last.draining || record.vm == Vm::Leaving;
        record.received.is_some() && record.last.healthy && !record.refused && !leaving
    }
}
