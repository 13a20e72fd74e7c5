//! Requests of all entries in flight at each backend server.

use std::collections::BTreeMap;

use crate::pipeline::backlog::Backlog;
use crate::pipeline::limits::Limits;
use crate::pipeline::path::Path;
use crate::pipeline::refusals::Refusals;
use crate::pipeline::rests::Rests;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// Requests in flight at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// KV memory, in token-layers.
    pub tokens: f64,
    /// Number of requests.
    pub requests: u64,
}

/// Requests in flight from this entry and from the others.
///
/// Entries that knew only their own load would all overload the same fast servers.
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
    /// Total over the other entries.
    others: BTreeMap<Incarnation, Usage>,
    /// Number of entries in `others`.
    peers: u64,
    /// Outstanding prefill work.
    pub backlog: Backlog,
    /// Servers that refuse requests.
    pub refusals: Refusals,
    /// Limits that servers name.
    pub limits: Limits,
    /// The rest that servers ask this entry for.
    pub rests: Rests,
    /// Reported slowness factor of each server, and when it was received.
    slowness: BTreeMap<Incarnation, (f64, Instant)>,
    /// Slowness factors that servers reported to this entry directly, for forwarding.
    direct_slowness: BTreeMap<Incarnation, (f64, Instant)>,
}

/// How long a reported slowness applies. After that, requests probe the server again.
const SLOWNESS_TTL: Span = Span(2_500);
/// How long a report is forwarded to other entries; covers the loss of several messages in a row.
const FORWARD_TTL: Span = Span(500);

impl Load {
    /// Returns the load of an entry that has no requests yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records the start of a request at a server.
    pub fn start_request(&mut self, server: &Incarnation, tokens: f64) {
        let usage = self.own.entry(server.clone()).or_default();
        usage.tokens += tokens;
        usage.requests += 1;
    }

    /// Records the end of a request at a server.
    pub fn end_request(&mut self, server: &Incarnation, tokens: f64) {
        let Some(usage) = self.own.get_mut(server) else {
            return;
        };
        usage.tokens -= tokens;
        usage.requests = usage.requests.saturating_sub(1);
        if usage.requests == 0 {
            self.own.remove(server);
        }
    }

    /// Records the start of a request of `tokens` tokens on every part of a path.
    pub fn start_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.start_request(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Records the end of a request on every part of a path.
    pub fn end_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.end_request(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Records the loss of a server, so that choices account for the streams that move with it.
    pub fn server_lost(&mut self, now: Instant, server: &Incarnation) {
        let own = self.own.get(server).map_or(0, |usage| usage.requests);
        self.backlog
            .server_lost(now, server, own, self.requests(server));
    }

    /// Records a server's slowness factor.
    pub fn record_slowness(&mut self, now: Instant, server: &Incarnation, slowness: f64) {
        self.slowness
            .retain(|_, (_, at)| now.since(*at) <= SLOWNESS_TTL);
        if slowness > 1.0 {
            self.slowness.insert(server.clone(), (slowness, now));
        } else {
            self.slowness.remove(server);
        }
    }

    /// Returns the slowness factors to forward to other entries.
    pub fn recent_slowness(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, f64)> {
        let fresh = self
            .direct_slowness
            .iter()
            .filter(move |(_, (_, at))| now.since(*at) <= FORWARD_TTL);
        fresh.map(|(server, (slowness, _))| (server, *slowness))
    }

    /// Records the slowness factor that a server reported to this entry.
    pub fn record_direct_slowness(&mut self, now: Instant, server: &Incarnation, slowness: f64) {
        self.record_slowness(now, server, slowness);
        self.direct_slowness
            .retain(|_, (_, at)| now.since(*at) <= FORWARD_TTL);
        self.direct_slowness.insert(server.clone(), (slowness, now));
    }

    /// Returns the slowness factor of a server; 1 if none is known.
    #[must_use]
    pub fn slowness(&self, now: Instant, server: &Incarnation) -> f64 {
        let known = self.slowness.get(server);
        let fresh = known.filter(|(_, at)| now.since(*at) <= SLOWNESS_TTL);
        fresh.map_or(1.0, |(slowness, _)| *slowness)
    }

    /// Sets the total in flight over the other entries, and their number.
    pub fn set_others(&mut self, entries: u64, servers: BTreeMap<Incarnation, Usage>) {
        self.peers = entries;
        self.others = servers;
    }

    /// Returns when this entry may send the next request to a server, by all that the server said;
    /// `None` if no time is known.
    #[must_use]
    pub fn opens_at(&self, now: Instant, server: &Incarnation) -> Option<Instant> {
        let limit = self.limits.opens_at(now, server)?;
        Some(limit.max(self.rests.opens_at(server)))
    }

    /// Returns whether a server accepts requests of this entry now, by all that it said, although
    /// the first one after its rest may still be unanswered.
    #[must_use]
    pub fn is_allowed(&self, now: Instant, server: &Incarnation) -> bool {
        self.limits.is_open(now, server) && !self.rests.contains(now, server)
    }

    /// Returns whether this entry may send a request to a server now.
    #[must_use]
    pub fn is_open(&self, now: Instant, server: &Incarnation) -> bool {
        self.limits.is_open(now, server) && self.rests.is_open(now, server)
    }

    /// Records a request that is being sent along a path, to its first server.
    pub fn sent_along(&mut self, now: Instant, path: &Path) {
        if let Some(first) = path.first() {
            self.limits.sent(now, &first.server);
        }
        for part in path.parts() {
            self.rests.sent(now, &part.server);
        }
    }

    /// Records a request that is being sent to a server.
    pub fn sent(&mut self, now: Instant, server: &Incarnation) {
        self.limits.sent(now, server);
        self.rests.sent(now, server);
    }

    /// Keeps what servers said only for those that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.backlog.retain(&keep);
        self.limits.retain(&keep);
        self.rests.retain(&keep);
    }

    /// Returns the number of other entries that report.
    #[must_use]
    pub fn peers(&self) -> u64 {
        self.peers
    }

    /// Returns whether this entry has requests in flight at a server.
    #[must_use]
    pub fn has_own_requests(&self, server: &Incarnation) -> bool {
        self.own.contains_key(server)
    }

    /// Returns the requests that this entry has in flight.
    pub fn own_usage(&self) -> impl Iterator<Item = (&Incarnation, &Usage)> {
        self.own.iter()
    }

    /// Returns the KV memory in use at a server, in token-layers.
    #[must_use]
    pub fn tokens(&self, server: &Incarnation) -> f64 {
        let tokens = |usage: &Usage| usage.tokens;
        self.own.get(server).map_or(0.0, tokens) + self.others.get(server).map_or(0.0, tokens)
    }

    /// Returns the number of requests in flight at a server.
    #[must_use]
    pub fn requests(&self, server: &Incarnation) -> u64 {
        let requests = |usage: &Usage| usage.requests;
        self.own.get(server).map_or(0, requests) + self.others.get(server).map_or(0, requests)
    }
}
