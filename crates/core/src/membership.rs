//! Membership: which backend servers may get work, by what they say themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::head::Generation;
use crate::name::Server;
use crate::request::BootId;
use crate::time::Instant;
use crate::time::Span;

/// What a sidecar says with each heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The run of the sidecar.
    pub incarnation: BootId,
    /// The configuration that it applies.
    pub generation: Generation,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether its engine or backend server answers.
    pub healthy: bool,
    /// Requests held.
    pub held: u64,
    /// Where it takes calls to plain services.
    pub http: Arc<str>,
    /// How many entries it hears from.
    pub entries: u64,
}

/// What the VM list says of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Vm {
    /// Listed as live, or not listed: the list lags.
    #[default]
    Unknown,
    /// Listed as leaving.
    Leaving,
}

/// Whether a backend server may get work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// May get new work.
    Up,
    /// Gets no new work; what it has goes on.
    Draining,
    /// Silent for a while; gets work only when nothing better is there.
    Suspect,
    /// Gone.
    Down,
}

/// When silence counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How often sidecars are asked that hold requests of this entry.
    pub busy_interval: Span,
    /// How often the others are asked.
    pub idle_interval: Span,
    /// Silence after which a backend server is suspect.
    pub suspect_after: Span,
    /// Silence after which it is gone.
    pub down_after: Span,
    /// The smallest share, in percent, that may be left of a service before silence is no longer
    /// believed.
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
struct Seen {
    last: Heartbeat,
    heard: Option<Instant>,
    /// When the oldest question without an answer was asked.
    unanswered: Option<Instant>,
    refused: bool,
    vm: Vm,
}

/// What one entry knows of the backend servers.
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
/// membership.heard(Instant(0), &"a".into(), beat);
/// assert_eq!(membership.state(Instant(50), &"a".into()), State::Up);
/// membership.asked(Instant(100), &"a".into());
/// assert_eq!(membership.state(Instant(5_000), &"a".into()), State::Down);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    servers: BTreeMap<Server, Seen>,
}

impl Membership {
    /// Returns a membership that has heard nobody.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Keeps the backend servers that the bundle names and forgets the others.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = Server>) {
        let named: BTreeSet<Server> = servers.into_iter().collect();
        self.servers.retain(|server, _| named.contains(server));
        for server in named {
            self.servers.entry(server).or_default();
        }
    }

    /// Books that a sidecar was asked; silence counts from the oldest question without an answer, so
    /// that asking rarely is not taken for silence.
    pub fn asked(&mut self, now: Instant, server: &Server) {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.unanswered.get_or_insert(now);
        }
    }

    /// Takes a heartbeat. Returns `true` when the sidecar is a new run: what the earlier run held
    /// is gone.
    pub fn heard(&mut self, now: Instant, server: &Server, beat: Heartbeat) -> bool {
        let seen = self.servers.entry(server.clone()).or_default();
        let restarted = seen.heard.is_some() && seen.last.incarnation != beat.incarnation;
        seen.last = beat;
        seen.heard = Some(now);
        seen.unanswered = None;
        seen.refused = false;
        restarted
    }

    /// Takes word that a new connection was refused: stronger than silence.
    pub fn refused(&mut self, server: &Server) {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.refused = true;
        }
    }

    /// Takes the VM list; it lags, so that it marks leavers and neither kills nor revives.
    pub fn set_vms(&mut self, leaving: &BTreeSet<Server>) {
        for (server, seen) in &mut self.servers {
            seen.vm = if leaving.contains(server) {
                Vm::Leaving
            } else {
                Vm::Unknown
            };
        }
    }

    /// Returns the last heartbeat of a backend server.
    #[must_use]
    pub fn last(&self, server: &Server) -> Option<&Heartbeat> {
        let seen = self.servers.get(server)?;
        seen.heard.map(|_| &seen.last)
    }

    /// Returns how old the last heartbeat is.
    #[must_use]
    pub fn age(&self, now: Instant, server: &Server) -> Option<Span> {
        self.servers
            .get(server)?
            .heard
            .map(|heard| now.since(heard))
    }

    /// Returns one backend server's state.
    #[must_use]
    pub fn state(&self, now: Instant, server: &Server) -> State {
        let Some(seen) = self.servers.get(server) else {
            return State::Down;
        };
        if seen.heard.is_none() {
            return State::Down;
        }
        let silence = seen.unanswered.map_or(Span(0), |asked| now.since(asked));
        if seen.refused || !seen.last.healthy || silence > self.settings.down_after {
            return State::Down;
        }
        if seen.last.draining || seen.vm == Vm::Leaving {
            return State::Draining;
        }
        if silence > self.settings.suspect_after {
            return State::Suspect;
        }
        State::Up
    }

    /// Returns those of a service's backend servers that may get new work.
    ///
    /// When nearly all fall silent at once, the fault is most likely on this side. Ejecting them
    /// would refuse every request on evidence that a single cut cable explains; so below the floor
    /// silence alone is not believed, while refused connections and drains still are.
    #[must_use]
    pub fn usable(&self, now: Instant, service: &[Server]) -> BTreeSet<Server> {
        let up = |server: &&Server| self.state(now, server) == State::Up;
        let usable: BTreeSet<Server> = service.iter().filter(up).cloned().collect();
        let known = service
            .iter()
            .filter(|server| self.last(server).is_some())
            .count();
        if usable.len() * 100 >= known * self.settings.floor_percent {
            return usable;
        }
        let only_silent = |server: &&Server| self.is_only_silent(server);
        service.iter().filter(only_silent).cloned().collect()
    }

    fn is_only_silent(&self, server: &Server) -> bool {
        let Some(seen) = self.servers.get(server) else {
            return false;
        };
        let leaving = seen.last.draining || seen.vm == Vm::Leaving;
        seen.heard.is_some() && seen.last.healthy && !seen.refused && !leaving
    }
}
