//! State that entries exchange: requests in flight, outcomes and suspicions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::fence::Token;
use crate::layer::Range;
use crate::pipeline::digest::Digest;
use crate::pipeline::limits;
use crate::pipeline::load::Usage;
use crate::pipeline::memory::Size;
use crate::pipeline::outlier::Tally;
use crate::pipeline::quarantine::lives;
use crate::pipeline::quarantine::lives::Life;
use crate::pipeline::quarantine::run::End;
use crate::pipeline::server::Incarnation;
use crate::time::Span;

/// The merged state of one or more entries.
///
/// A single entry's report and the sum over hundreds have the same form, so sums can be forwarded
/// and merged again.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::load::Usage;
/// # use jujube_core::pipeline::summary::Summary;
/// let usage = |requests| Usage { tokens: 100.0, requests };
/// let mut all = Summary { entries: 1, usage: [("a".into(), usage(2))].into(), ..Summary::default() };
/// all.merge(&Summary { entries: 1, usage: [("a".into(), usage(1))].into(), ..Summary::default() });
/// assert_eq!(all.entries, 2);
/// assert_eq!(all.usage[&"a".into()], Usage { tokens: 200.0, requests: 3 });
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of entries included.
    pub entries: u64,
    /// Number of entries that can reach the store.
    pub with_store: u64,
    /// Lowest address of the entries that could act as planner.
    pub ready: Option<SocketAddr>,
    /// The planner's fencing token and address.
    pub planner: Option<(Token, SocketAddr)>,
    /// Requests in flight.
    pub usage: BTreeMap<Incarnation, Usage>,
    /// Outcomes of requests.
    pub outcomes: BTreeMap<Incarnation, Tally>,
    /// Reported slowness factors.
    pub slowness: BTreeMap<Incarnation, f64>,
    /// Servers that refuse requests, and for how long that is assumed.
    pub refusing: BTreeMap<Incarnation, Span>,
    /// Number of entries that suspect each server.
    pub suspects: BTreeMap<Incarnation, u64>,
    /// Layers that servers reported to the planner while the store is unreachable.
    pub held: BTreeMap<Incarnation, Range>,
    /// Layers that the planner ordered and servers do not hold yet.
    pub ordered: BTreeMap<Incarnation, Range>,
    /// Requests, and parts of prompts, that had just begun on servers that ended.
    pub ended_under: BTreeMap<End, BTreeSet<Digest>>,
    /// Requests and parts that were quarantined recently.
    pub quarantined: BTreeSet<Digest>,
    /// Parts under which servers ended and on which runs lived.
    pub lives: BTreeMap<Digest, Life>,
    /// Recent runs that lived or were lost, while parts may have to be judged.
    pub runs: lives::Tally,
    /// Limits that servers name, or no longer name.
    pub limits: BTreeMap<Incarnation, limits::Report>,
    /// Servers that said that they are leaving.
    pub leaving: BTreeSet<Incarnation>,
}

/// What a row takes besides its name: its value, and the parts of a map and of an allocation.
const ROW_BYTES: u64 = 96;

impl Summary {
    /// Returns how much memory the state takes, roughly.
    #[must_use]
    pub fn size(&self) -> Size {
        let ends = self.ended_under.keys().map(|end| &end.server);
        let servers = (self.usage.keys())
            .chain(self.outcomes.keys())
            .chain(self.slowness.keys())
            .chain(self.refusing.keys())
            .chain(self.suspects.keys())
            .chain(self.held.keys())
            .chain(self.ordered.keys())
            .chain(self.limits.keys())
            .chain(&self.leaving)
            .chain(ends);
        let named = servers.map(|server| ROW_BYTES + server.server.0.len() as u64);
        let digests: usize = self.ended_under.values().map(BTreeSet::len).sum();
        let others = digests + self.quarantined.len() + self.lives.len();
        Size(size_of::<Self>() as u64 + named.sum::<u64>() + ROW_BYTES * others as u64)
    }

    /// Merges the state of other entries.
    pub fn merge(&mut self, other: &Self) {
        self.merge_aged(other, Span(0));
    }

    /// Merges state of the given age. Expired refusals are dropped, so forwarding does not extend
    /// them.
    pub fn merge_aged(&mut self, other: &Self, age: Span) {
        self.entries += other.entries;
        self.with_store += other.with_store;
        let ready = self.ready.into_iter().chain(other.ready);
        self.ready = ready.min();
        self.planner = self.planner.max(other.planner);
        for (server, usage) in &other.usage {
            let sum = self.usage.entry(server.clone()).or_default();
            sum.tokens += usage.tokens;
            sum.requests += usage.requests;
        }
        for (server, tally) in &other.outcomes {
            let sum = self.outcomes.entry(server.clone()).or_default();
            sum.succeeded += tally.succeeded;
            sum.failed += tally.failed;
        }
        for (server, slowness) in &other.slowness {
            let max = self.slowness.entry(server.clone()).or_default();
            *max = max.max(*slowness);
        }
        for (server, ttl) in other.refusing.iter().filter(|(_, ttl)| **ttl > age) {
            let longest = self.refusing.entry(server.clone()).or_default();
            *longest = (*longest).max(Span(ttl.0 - age.0));
        }
        for (server, entries) in &other.suspects {
            *self.suspects.entry(server.clone()).or_default() += entries;
        }
        let held = other
            .held
            .iter()
            .map(|(server, layers)| (server.clone(), *layers));
        self.held.extend(held);
        let ordered = other.ordered.iter();
        let ordered = ordered.map(|(server, layers)| (server.clone(), *layers));
        self.ordered.extend(ordered);
        for (end, digests) in &other.ended_under {
            let union = self.ended_under.entry(end.clone()).or_default();
            union.extend(digests);
        }
        self.quarantined.extend(&other.quarantined);
        for (part, life) in &other.lives {
            let latest = self.lives.entry(*part).or_insert(*life);
            *latest = (*latest).max(*life);
        }
        self.runs.add(other.runs);
        self.leaving.extend(other.leaving.iter().cloned());
        for (server, report) in &other.limits {
            let aged = limits::Report {
                age: Span(report.age.0 + age.0),
                ..*report
            };
            let newest = self.limits.entry(server.clone()).or_insert(aged);
            if aged.age < newest.age {
                *newest = aged;
            }
        }
    }
}
