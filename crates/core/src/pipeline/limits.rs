//! Limits of requests per second that backend servers name, and this entry's shares of them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::hash;
use crate::name::Zone;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// The smallest share of an entry, in requests per second, unless a server takes less altogether.
/// Each entry may send one request at any time, so smaller shares of more entries would add up.
const MIN_SHARE: f64 = 1.0;
/// The least that entries together send to a server, in requests per second, whatever it names.
/// Only its responses tell that a limit has ended.
const MIN_RATE: f64 = 0.25;
/// How long the end of a limit is reported to other entries.
const REPORT_END_FOR: Span = Span(10_000);

/// A rate, in requests per second.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::limits::Rate;
/// let rate: Rate = "2.5".parse()?;
/// assert_eq!(rate, Rate::new(2.5)?);
/// assert!("-1".parse::<Rate>().is_err());
/// assert!("NaN".parse::<Rate>().is_err());
/// # Ok::<(), jujube_core::pipeline::limits::Invalid>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// The text or number is not a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a rate")]
pub struct Invalid;

impl Rate {
    /// Returns a rate.
    ///
    /// # Errors
    ///
    /// The number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, Invalid> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(Invalid)
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second = text.trim().parse().map_err(|_| Invalid)?;
        Self::new(per_second)
    }
}

/// What an entry knows about a server's limit, for other entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The limit, or `None` if it has ended.
    pub rate: Option<Rate>,
    /// How old the server's response is that says so.
    pub age: Span,
}

/// What an entry's share of a limit is computed from.
#[derive(Clone, Debug, PartialEq)]
struct Basis {
    rate: Rate,
    /// The server's zone; `None` while it is not registered.
    zone: Option<Zone>,
    /// The version of the known entries.
    entries: u64,
}

#[derive(Clone, Debug)]
struct Known {
    rate: Option<Rate>,
    /// When the response arrived that says so, here or at another entry.
    at: Instant,
    /// The requests per second that this entry may send.
    share: f64,
    /// What the share was computed from.
    divided: Option<Basis>,
    last_sent: Option<Instant>,
}

impl Known {
    /// Returns when this entry may send the next request; `None` if it has no share.
    fn opens_at(&self) -> Option<Instant> {
        if self.rate.is_none() {
            return Some(Instant(0));
        }
        if self.share <= 0.0 {
            return None;
        }
        let pause = Span((1e3 / self.share).ceil() as u64);
        Some(self.last_sent.map_or(Instant(0), |sent| sent.plus(pause)))
    }
}

/// The limits that servers name, and what this entry may send within them.
///
/// A limit counts for all entries together. A few entries share it, those in the server's zone
/// first, and all choose the same ones by rendezvous hashing. Each paces its requests, so that in
/// any span of time the shares add up to the limit, and at most one request more for each of them.
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
pub struct Limits(BTreeMap<Incarnation, Known>);

impl Limits {
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
        let Some(known) = self.0.get_mut(server) else {
            return named.is_some() && self.insert(now, server, named);
        };
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

    fn insert(&mut self, at: Instant, server: &Incarnation, rate: Option<Rate>) -> bool {
        let known = Known {
            rate,
            at,
            share: 0.0,
            divided: None,
            last_sent: None,
        };
        self.0.insert(server.clone(), known);
        true
    }

    /// Applies another entry's report. Returns whether it changes the limit.
    pub fn receive(&mut self, now: Instant, server: &Incarnation, report: Report) -> bool {
        let at = Instant(now.0.saturating_sub(report.age.0));
        let Some(known) = self.0.get_mut(server) else {
            return report.rate.is_some() && self.insert(at, server, report.rate);
        };
        if at <= known.at {
            return false;
        }
        let is_changed = known.rate != report.rate;
        (known.rate, known.at) = (report.rate, at);
        is_changed
    }

    /// Returns what is known, for other entries.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Report)> {
        let reports = self.0.iter().map(move |(server, known)| {
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
        for (server, known) in &mut self.0 {
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
            let rate = rate.0.max(MIN_RATE);
            let mut entries = basis.zone.as_ref().map(&nearest).unwrap_or_default();
            known.divided = Some(basis);
            let count = ((rate / MIN_SHARE) as usize).clamp(1, entries.len().max(1));
            entries.sort_by_key(|entry| hash::of((server, entry)));
            let is_user = entries.iter().take(count).any(|entry| **entry == *own);
            known.share = if is_user { rate / count as f64 } else { 0.0 };
        }
    }

    /// Returns whether this entry may send a request to a server now.
    #[must_use]
    pub fn is_open(&self, now: Instant, server: &Incarnation) -> bool {
        let Some(known) = self.0.get(server) else {
            return true;
        };
        known.opens_at().is_some_and(|at| at <= now)
    }

    /// Returns when this entry may send the next request to a server; `None` if it has no share of
    /// the limit that the server names.
    #[must_use]
    pub fn opens_at(&self, server: &Incarnation) -> Option<Instant> {
        self.0.get(server).map_or(Some(Instant(0)), Known::opens_at)
    }

    /// Records a request that is being sent to a server.
    pub fn sent(&mut self, now: Instant, server: &Incarnation) {
        if let Some(known) = self.0.get_mut(server) {
            known.last_sent = Some(now);
        }
    }

    /// Returns the limit that a server names and this entry's share, in requests per second.
    #[must_use]
    pub fn get(&self, server: &Incarnation) -> Option<(Rate, f64)> {
        let known = self.0.get(server)?;
        Some((known.rate?, known.share))
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.0.retain(|server, _| keep(server));
    }
}
