//! Limits of requests per second that backend servers name, and this entry's shares of them.

mod asking;
mod demand;
mod known;
mod loans;
mod rate;
mod share;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::name::Zone;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

use known::Basis;
use known::Known;
use loans::Pending;

pub use loans::Granted;
pub use loans::LOAN_TIME;
pub use loans::MAX_ROWS;
pub use loans::Request;
pub use rate::Fraction;
pub use rate::Invalid;
pub use rate::Rate;

/// How long the end of a limit is reported to other entries.
const REPORT_END_FOR: Span = Span(10_000);

/// What an entry knows about a server's limit, for other entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The limit, or `None` if it has ended.
    pub rate: Option<Rate>,
    /// How old the server's response is that says so.
    pub age: Span,
}

/// The limits that servers name, and what this entry may send within them.
///
/// A limit counts for all entries together. A few entries share it, those in the server's zone
/// first, and all choose the same ones by rendezvous hashing. Each paces its requests, so that in
/// any span of time the shares add up to the limit, and at most one request more for each of them.
/// An entry that needs more than its fraction borrows from others, which need less.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::limits::Limits;
/// # use jujube_core::pipeline::limits::Rate;
/// # use jujube_core::time::Instant;
/// let (mut limits, server) = (Limits::default(), "a".into());
/// limits.observe(Instant(0), Instant(5), &server, Some(Rate::new(2.0)?));
/// limits.divide("entry", 1, |_| Some("zone".into()), |_| vec!["entry".into()]);
/// assert!(limits.is_open(Instant(10), &server));
/// limits.sent(Instant(10), &server);
/// assert!(!limits.is_open(Instant(500), &server));
/// assert!(limits.is_open(Instant(510), &server));
/// # Ok::<(), jujube_core::pipeline::limits::Invalid>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    servers: BTreeMap<Incarnation, Known>,
    /// When loans of an earlier process under this entry's name have ended.
    free_from: Instant,
    /// Whether no other entry is known.
    is_alone: bool,
    /// The number of the latest request for loans.
    number: u64,
    pending: Vec<Pending>,
}

impl Limits {
    /// Returns the limits of a process that starts now.
    ///
    /// An earlier process may have lent its fractions, so they are not used for the time of a loan.
    /// Requests for loans are numbered from a random `number`: a late answer to the earlier process
    /// must not be taken for one to this.
    #[must_use]
    pub fn started(now: Instant, number: u64) -> Self {
        Self {
            free_from: now.plus(LOAN_TIME),
            number,
            ..Self::default()
        }
    }

    /// Returns whether no server has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Sets whether no other entry is known: then nobody can hold a loan of an earlier process.
    /// Counts from the next division on.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.is_alone = is_alone;
    }

    /// Brings the credits up to date, before the limits are divided anew.
    pub fn advance(&mut self, now: Instant) {
        for known in self.servers.values_mut() {
            known.advance(now);
        }
    }

    /// Applies a response to a request that was sent at `sent`: the limit that it names, if any.
    /// Returns whether this changes the limit.
    ///
    /// Responses overtake one another. One that may be older than what is known only lowers a
    /// limit, and does not end it.
    pub fn observe(
        &mut self,
        sent: Instant,
        now: Instant,
        server: &Incarnation,
        named: Option<Rate>,
    ) -> bool {
        let Some(known) = self.servers.get_mut(server) else {
            return named.is_some() && self.insert(now, now, server, named);
        };
        known.advance(now);
        let before = known.rate;
        if sent >= known.at {
            known.rate = named;
            known.at = now;
        } else if let Some(named) = named {
            let is_lower = before.is_none_or(|before| named < before);
            known.rate = if is_lower { Some(named) } else { before };
            known.at = now;
        }
        known.rate != before
    }

    fn insert(
        &mut self,
        now: Instant,
        at: Instant,
        server: &Incarnation,
        rate: Option<Rate>,
    ) -> bool {
        let known = Known::new(now, at, rate);
        self.servers.insert(server.clone(), known);
        true
    }

    /// Applies another entry's report. Returns whether it changes the limit.
    pub fn receive(&mut self, now: Instant, server: &Incarnation, report: Report) -> bool {
        let at = Instant(now.0.saturating_sub(report.age.0));
        let Some(known) = self.servers.get_mut(server) else {
            return report.rate.is_some() && self.insert(now, at, server, report.rate);
        };
        if at <= known.at {
            return false;
        }
        known.advance(now);
        let is_changed = known.rate != report.rate;
        (known.rate, known.at) = (report.rate, at);
        is_changed
    }

    /// Returns what is known, for other entries.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Report)> {
        let reports = self.servers.iter().map(move |(server, known)| {
            let (rate, age) = (known.rate, now.since(known.at));
            (server, Report { rate, age })
        });
        reports.filter(|(_, report)| report.rate.is_some() || report.age <= REPORT_END_FOR)
    }

    /// Divides the limits among the entries nearest to each server's zone, of which this one is
    /// `own`. Does nothing for limits that were divided on the same basis; `version` is that of the
    /// entries.
    ///
    /// A server without a zone is not registered. Nothing is sent to it, and it has no users.
    pub fn divide(
        &mut self,
        own: &str,
        version: u64,
        zone: impl Fn(&Incarnation) -> Option<Zone>,
        nearest: impl Fn(&Zone) -> Vec<Arc<str>>,
    ) {
        let free_from = if self.is_alone {
            Instant(0)
        } else {
            self.free_from
        };
        for (server, known) in &mut self.servers {
            let Some(rate) = known.rate else {
                continue;
            };
            let basis = Basis {
                rate,
                zone: zone(server),
                entries: version,
            };
            if known.divided.as_ref() == Some(&basis) {
                continue;
            }
            let entries = basis.zone.as_ref().map(&nearest).unwrap_or_default();
            known.share.base_from = free_from;
            if known.divide(own, basis, entries, server) {
                let pending = &mut self.pending;
                pending
                    .iter_mut()
                    .for_each(|pending| pending.forget(server));
            }
        }
    }

    /// Returns whether this entry may send a request to a server now.
    #[must_use]
    pub fn is_open(&self, now: Instant, server: &Incarnation) -> bool {
        let known = self.servers.get(server);
        known.is_none_or(|known| known.is_open(now))
    }

    /// Returns when this entry may send the next request to a server; `None` if it has no share of
    /// the limit that the server names.
    #[must_use]
    pub fn opens_at(&self, now: Instant, server: &Incarnation) -> Option<Instant> {
        match self
            .servers
            .get(server)
            .filter(|known| known.rate.is_some())
        {
            Some(known) => known.share.opens_at(now, known.pacing_rate()),
            None => Some(Instant(0)),
        }
    }

    /// Records a request that is being sent to a server.
    pub fn sent(&mut self, now: Instant, server: &Incarnation) {
        if let Some(known) = self.servers.get_mut(server) {
            known.advance(now);
            known.share.take();
            known.demand.record(now, 1.0);
        }
    }

    /// Records a request that wants one of some servers. Those that are closed by their limits count
    /// equal parts of it as demand. Returns whether there are any.
    pub fn record_closed(&mut self, now: Instant, servers: &[&Incarnation]) -> bool {
        let is_closed = |server: &&&Incarnation| !self.is_open(now, server);
        let closed: Vec<&Incarnation> = servers.iter().filter(is_closed).copied().collect();
        let part = 1.0 / closed.len().max(1) as f64;
        for server in &closed {
            if let Some(known) = self.servers.get_mut(*server) {
                known.demand.record(now, part);
            }
        }
        !closed.is_empty()
    }

    /// Returns the limit that a server names and this entry's share, in requests per second, with
    /// loans, as of the latest event.
    #[must_use]
    pub fn get(&self, server: &Incarnation) -> Option<(Rate, f64)> {
        let known = self.servers.get(server)?;
        let share = known.share.latest_fraction() * known.pacing_rate();
        Some((known.rate?, share))
    }

    /// Returns this entry's share of a limit, in requests per second, with loans; zero if the server
    /// names no limit.
    #[must_use]
    pub fn share(&self, now: Instant, server: &Incarnation) -> f64 {
        let known = self
            .servers
            .get(server)
            .filter(|known| known.rate.is_some());
        known.map_or(0.0, |known| known.share.fraction(now) * known.pacing_rate())
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
