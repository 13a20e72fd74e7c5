//! What one entry, or several together, have in flight and have found out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fence::Token;
use crate::layer::Range;
use crate::pipeline::load::Use;
use crate::pipeline::outlier::Tally;
use crate::pipeline::server::Incarnation;
use crate::time::Span;

/// What entries know, added up.
///
/// One entry's word and the sum over hundreds have the same form, so that a sum can be passed on and added to
/// others without telling who had which part of it.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::load::Use;
/// # use jujube_core::pipeline::summary::Summary;
/// let used = |requests| Use { tokens: 100.0, requests };
/// let mut all = Summary { entries: 1, used: [("a".into(), used(2))].into(), ..Summary::default() };
/// all.add(&Summary { entries: 1, used: [("a".into(), used(1))].into(), ..Summary::default() });
/// assert_eq!(all.entries, 2);
/// assert_eq!(all.used[&"a".into()], Use { tokens: 200.0, requests: 3 });
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// How many entries it is of.
    pub entries: u64,
    /// How many of them the store answers.
    pub served: u64,
    /// The lowest address of those that could give orders.
    pub ready: Option<SocketAddr>,
    /// Who gives orders, under which fencing number.
    pub planner: Option<(Token, SocketAddr)>,
    /// What is in flight.
    pub used: BTreeMap<Incarnation, Use>,
    /// How requests ended.
    pub ended: BTreeMap<Incarnation, Tally>,
    /// How many times slower than usual servers say they are.
    pub slow: BTreeMap<Incarnation, f64>,
    /// Servers that refuse requests, and for how long that is believed.
    pub full: BTreeMap<Incarnation, Span>,
    /// Servers that are suspected, and by how many entries.
    pub suspects: BTreeMap<Incarnation, u64>,
    /// What servers told the planner that they hold, while the store is away.
    pub held: BTreeMap<Incarnation, Range>,
    /// What the planner has ordered servers to hold and they do not hold yet.
    pub ordered: BTreeMap<Incarnation, Range>,
}

impl Summary {
    /// Adds what other entries know.
    pub fn add(&mut self, other: &Self) {
        self.add_old(other, Span(0));
    }

    /// Adds what other entries knew some time ago. Refusals are believed until a moment, however often they are
    /// told on, so those that have run out meanwhile are left out.
    pub fn add_old(&mut self, other: &Self, age: Span) {
        self.entries += other.entries;
        self.served += other.served;
        let ready = self.ready.into_iter().chain(other.ready);
        self.ready = ready.min();
        self.planner = self.planner.max(other.planner);
        for (server, used) in &other.used {
            let sum = self.used.entry(server.clone()).or_default();
            sum.tokens += used.tokens;
            sum.requests += used.requests;
        }
        for (server, tally) in &other.ended {
            let sum = self.ended.entry(server.clone()).or_default();
            sum.succeeded += tally.succeeded;
            sum.failed += tally.failed;
        }
        for (server, slowness) in &other.slow {
            let most = self.slow.entry(server.clone()).or_default();
            *most = most.max(*slowness);
        }
        for (server, lasts) in other.full.iter().filter(|(_, lasts)| **lasts > age) {
            let longest = self.full.entry(server.clone()).or_default();
            *longest = (*longest).max(Span(lasts.0 - age.0));
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
    }
}
