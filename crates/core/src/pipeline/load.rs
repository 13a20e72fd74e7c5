//! What all entries have in flight at each backend server.

use std::collections::BTreeMap;

use crate::pipeline::backlog::Backlog;
use crate::pipeline::path::Path;
use crate::pipeline::refusals::Refusals;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// What is in flight at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Memory, in tokens times layers.
    pub tokens: f64,
    /// Requests.
    pub requests: u64,
}

/// The memory of requests in flight, of this entry and of the others.
///
/// Were each entry to know only its own load, all would find the same fast servers idle and fill
/// them together.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::load::Load;
/// let mut load = Load::default();
/// load.start_request(&"a".into(), 800.0);
/// assert_eq!(load.tokens(&"a".into()), 800.0);
/// load.end_request(&"a".into(), 800.0);
/// assert_eq!(load.requests(&"a".into()), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: BTreeMap<Incarnation, Usage>,
    /// What the other entries have, added up, so that a choice needs one look-up a server.
    others: BTreeMap<Incarnation, Usage>,
    /// How many other entries that is of.
    peers: u64,
    /// What servers were given to read.
    pub backlog: Backlog,
    /// Servers that refused requests.
    pub refusals: Refusals,
    /// How many times slower than usual servers said they are, and when.
    slowness: BTreeMap<Incarnation, (f64, Instant)>,
    /// The same of those that said so to this entry.
    direct_slowness: BTreeMap<Incarnation, (f64, Instant)>,
}

/// How long a server's word that it is slow counts; then a few requests find out how it is now.
const SLOW: Span = Span(2_500);
/// For how long what a server said is told to the others; several words in a row may be lost.
const TOLD: Span = Span(500);

impl Load {
    /// Books a request at a server.
    pub fn start_request(&mut self, server: &Incarnation, tokens: f64) {
        let used = self.own.entry(server.clone()).or_default();
        used.tokens += tokens;
        used.requests += 1;
    }

    /// Books its end.
    pub fn end_request(&mut self, server: &Incarnation, tokens: f64) {
        let Some(used) = self.own.get_mut(server) else {
            return;
        };
        used.tokens -= tokens;
        used.requests = used.requests.saturating_sub(1);
        if used.requests == 0 {
            self.own.remove(server);
        }
    }

    /// Books a request of `tokens` tokens on every part of a path.
    pub fn start_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.start_request(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Books its end.
    pub fn end_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.end_request(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Books that a server was lost, so that the moves of its streams are foreseen.
    pub fn server_lost(&mut self, now: Instant, server: &Incarnation) {
        let own = self.own.get(server).map_or(0, |used| used.requests);
        self.backlog
            .server_lost(now, server, own, self.requests(server));
    }

    /// Books how many times slower than usual a server says it is.
    pub fn record_slowness(&mut self, now: Instant, server: &Incarnation, slowness: f64) {
        self.slowness.retain(|_, (_, at)| now.since(*at) <= SLOW);
        if slowness > 1.0 {
            self.slowness.insert(server.clone(), (slowness, now));
        } else {
            self.slowness.remove(server);
        }
    }

    /// Returns who said a moment ago that it is slow, and how many times, to tell the others.
    pub fn recent_slowness(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, f64)> {
        let fresh = self
            .direct_slowness
            .iter()
            .filter(move |(_, (_, at))| now.since(*at) <= TOLD);
        fresh.map(|(server, (slowness, _))| (server, *slowness))
    }

    /// Books how many times slower than usual a server told this entry that it is.
    pub fn record_direct_slowness(&mut self, now: Instant, server: &Incarnation, slowness: f64) {
        self.record_slowness(now, server, slowness);
        self.direct_slowness
            .retain(|_, (_, at)| now.since(*at) <= TOLD);
        self.direct_slowness.insert(server.clone(), (slowness, now));
    }

    /// Returns how many times slower than usual a server is.
    #[must_use]
    pub fn slowness(&self, now: Instant, server: &Incarnation) -> f64 {
        let known = self.slowness.get(server);
        let fresh = known.filter(|(_, at)| now.since(*at) <= SLOW);
        fresh.map_or(1.0, |(slowness, _)| *slowness)
    }

    /// Takes what the other entries have in flight, added up, and how many of them that is of.
    pub fn set_others(&mut self, entries: u64, servers: BTreeMap<Incarnation, Usage>) {
        self.peers = entries;
        self.others = servers;
    }

    /// Returns how many other entries are heard.
    #[must_use]
    pub fn peers(&self) -> u64 {
        self.peers
    }

    /// Tells whether this entry has requests in flight at a server.
    #[must_use]
    pub fn has_own_requests(&self, server: &Incarnation) -> bool {
        self.own.contains_key(server)
    }

    /// Returns what this entry has in flight, to tell the others.
    pub fn own_usage(&self) -> impl Iterator<Item = (&Incarnation, &Usage)> {
        self.own.iter()
    }

    /// Returns the memory in use at a server, in tokens times layers.
    #[must_use]
    pub fn tokens(&self, server: &Incarnation) -> f64 {
        let tokens = |used: &Usage| used.tokens;
        self.own.get(server).map_or(0.0, tokens) + self.others.get(server).map_or(0.0, tokens)
    }

    /// Returns the requests in flight at a server.
    #[must_use]
    pub fn requests(&self, server: &Incarnation) -> u64 {
        let requests = |used: &Usage| used.requests;
        self.own.get(server).map_or(0, requests) + self.others.get(server).map_or(0, requests)
    }
}
