//! Loans of fractions of limits between entries.
//!
//! An entry that needs more than its fraction of a limit asks the others that have one, and those
//! lend what they do not want. The borrower's loan ends first, since it counts from the sending of
//! the request and the lender's from its arrival. A lender uses nothing before that, whatever
//! messages are lost, late or repeated.

use std::sync::Arc;

use super::Fraction;
use super::Known;
use super::Limits;
use super::share::EPSILON;
use super::share::Loan;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long a loan lasts.
pub const LOAN_TIME: Span = Span(600);
/// How long a lender does without what it lent: instants are rounded down to milliseconds.
const LENT_TIME: Span = Span(LOAN_TIME.0 + 1);
/// The most rows of a message.
pub const MAX_ROWS: usize = 64;
/// The most messages of one round.
const MAX_MESSAGES: usize = 64;
/// The part of its own fraction that a lender keeps where the borrower has one too. It keeps its
/// credit with it, so that the first caller who comes to it is served.
const KEPT: f64 = 0.1;
/// The smallest fraction that is lent.
pub(super) const MIN_LOAN: f64 = 1e-3;
/// The change of a loan that is reported, as a fraction of the limit.
const REPORTED_CHANGE: f64 = 0.1;

/// A request for loans.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The entry that is asked.
    pub to: Arc<str>,
    /// The number of the request, which its grant repeats.
    pub number: u64,
    /// The servers, and the fraction of each limit that is wanted.
    pub rows: Vec<(Incarnation, Fraction)>,
}

/// One fraction that was lent or borrowed.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// The server whose limit it is a fraction of.
    pub server: Incarnation,
    /// The fraction.
    pub fraction: Fraction,
    /// The fraction in requests per second, if the loan starts or has changed enough to be logged.
    pub reported: Option<f64>,
}

/// A request for loans that may still be answered.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    number: u64,
    to: Arc<str>,
    sent: Instant,
    /// What was asked for, of limits that have not been divided anew since.
    rows: Vec<(Incarnation, Fraction)>,
}

impl Pending {
    /// Returns whether a grant is one of what was asked for.
    fn contains(&self, server: &Incarnation, granted: Fraction) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|(asked, wanted)| asked == server && granted.0 <= wanted.0 + EPSILON)
    }

    /// Forgets what was asked of a limit: a grant would be a fraction of an earlier division.
    pub(super) fn forget(&mut self, server: &Incarnation) {
        self.rows.retain(|(asked, _)| asked != server);
    }
}

impl Known {
    /// Returns what this entry can lend to another one; zero if nothing.
    fn lendable(&self, now: Instant, to: &str) -> f64 {
        let share = &self.share;
        let has_borrowed = share.borrowed.iter().any(|loan| loan.until > now);
        if self.rate.is_none()
            || now < share.base_from
            || has_borrowed
            || !self.demand.is_measured(now)
        {
            return 0.0;
        }
        let wanted = self.wanted(now);
        let lent = share.lent_to_others(now, Some(to));
        if self.is_user(to) {
            return share.base - lent - wanted.max(share.base * KEPT);
        }
        let is_whole = wanted <= 0.0 && lent <= 0.0;
        if is_whole { share.base } else { 0.0 }
    }

    /// Lends what is wanted and can be lent; returns the fraction.
    fn lend(&mut self, now: Instant, to: &Arc<str>, wanted: f64) -> Option<Change> {
        let lendable = self.lendable(now, to);
        let fraction = if self.is_user(to) {
            wanted.min(lendable)
        } else {
            lendable
        };
        if fraction < MIN_LOAN || wanted < MIN_LOAN {
            return None;
        }
        self.advance(now);
        let earlier = self.share.lent.iter().rev().find(|loan| loan.with == *to);
        let change = Change::new(earlier, fraction);
        let loan = Loan {
            with: to.clone(),
            fraction,
            until: now.plus(LENT_TIME),
            reported: change.reported,
        };
        // An earlier loan that is larger may still be in use.
        let is_replaced =
            |earlier: &Loan| earlier.with == *to && earlier.fraction <= fraction + EPSILON;
        self.share.lent.retain(|earlier| !is_replaced(earlier));
        self.share.lent.push(loan);
        self.share.drop_unusable_credit();
        Some(change)
    }

    /// Uses what a lender granted from now on, unless the loan has ended or a later one is in use.
    fn borrow(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        until: Instant,
        fraction: f64,
    ) -> Option<Change> {
        let earlier = self.share.borrowed.iter().find(|loan| loan.with == *from);
        let is_newer = earlier.is_none_or(|earlier| earlier.until < until);
        if until <= now || !is_newer || !self.is_user(from) || self.rate.is_none() {
            return None;
        }
        let change = Change::new(earlier.filter(|loan| loan.until > now), fraction);
        self.advance(now);
        self.share.borrowed.retain(|loan| loan.with != *from);
        self.share.borrowed.push(Loan {
            with: from.clone(),
            fraction,
            until,
            reported: change.reported,
        });
        Some(change)
    }

    fn granted(&self, server: &Incarnation, change: Change) -> Granted {
        let per_second = change.fraction * self.pacing_rate();
        Granted {
            server: server.clone(),
            fraction: Fraction(change.fraction),
            reported: change.is_reported.then_some(per_second),
        }
    }
}

/// A loan that starts or replaces an earlier one.
struct Change {
    fraction: f64,
    /// The fraction that was last reported, now or earlier.
    reported: f64,
    is_reported: bool,
}

impl Change {
    fn new(earlier: Option<&Loan>, fraction: f64) -> Self {
        let last = earlier.map(|loan| loan.reported);
        let is_small = |last: f64| (fraction - last).abs() < REPORTED_CHANGE;
        let is_reported = !last.is_some_and(is_small);
        Self {
            fraction,
            reported: last.filter(|_| !is_reported).unwrap_or(fraction),
            is_reported,
        }
    }
}

impl Limits {
    /// Returns the requests for loans that entry `own` is to send now; empty if it needs none.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::limits::Limits;
    /// # use jujube_core::pipeline::limits::Rate;
    /// # use jujube_core::time::Instant;
    /// let (mut limits, server) = (Limits::default(), "s".into());
    /// limits.observe(Instant(0), Instant(0), &server, Some(Rate::new(10.0)?));
    /// limits.divide("a", 1, |_| Some("z".into()), |_| vec!["a".into(), "b".into()]);
    /// assert!(limits.requests(Instant(1_000), "a").is_empty());
    /// for _ in 0..20 {
    ///     limits.sent(Instant(1_000), &server);
    /// }
    /// assert_eq!(&*limits.requests(Instant(1_000), "a")[0].to, "b");
    /// # Ok::<(), jujube_core::pipeline::limits::Invalid>(())
    /// ```
    pub fn requests(&mut self, now: Instant, own: &str) -> Vec<Request> {
        self.pending
            .retain(|pending| now.since(pending.sent) < LOAN_TIME);
        let mut requests: Vec<Request> = Vec::new();
        for (server, known) in &mut self.servers {
            for (to, fraction) in known.requests(now, own) {
                let row = (server.clone(), Fraction(fraction));
                let open = requests
                    .iter_mut()
                    .find(|request| request.to == to && request.rows.len() < MAX_ROWS);
                if let Some(request) = open {
                    request.rows.push(row);
                } else if requests.len() < MAX_MESSAGES {
                    self.number = self.number.wrapping_add(1);
                    requests.push(Request {
                        to,
                        number: self.number,
                        rows: vec![row],
                    });
                }
            }
        }
        let pending = requests.iter().map(|request| Pending {
            number: request.number,
            to: request.to.clone(),
            sent: now,
            rows: request.rows.clone(),
        });
        self.pending.extend(pending);
        requests
    }

    /// Lends to entry `to` what it wants and this one does not; returns what it lends.
    pub fn lend(
        &mut self,
        now: Instant,
        to: &Arc<str>,
        wanted: &[(Incarnation, Fraction)],
    ) -> Vec<Granted> {
        let rows = wanted.iter().take(MAX_ROWS).filter_map(|(server, wanted)| {
            let known = self.servers.get_mut(server)?;
            let change = known.lend(now, to, wanted.0)?;
            Some(known.granted(server, change))
        });
        rows.collect()
    }

    /// Uses what entry `from` grants in answer to the request of that number; returns what this one
    /// has borrowed with it.
    pub fn borrow(
        &mut self,
        now: Instant,
        from: &str,
        number: u64,
        granted: &[(Incarnation, Fraction)],
    ) -> Vec<Granted> {
        let is_answered = |pending: &&Pending| pending.number == number && *pending.to == *from;
        let Some(pending) = self.pending.iter().find(is_answered).cloned() else {
            return Vec::new();
        };
        let rows = granted.iter().filter_map(|(server, fraction)| {
            let known = self.servers.get_mut(server)?;
            if !pending.contains(server, *fraction) {
                return None;
            }
            let until = pending.sent.plus(LOAN_TIME);
            let change = known.borrow(now, &pending.to, until, fraction.0)?;
            Some(known.granted(server, change))
        });
        rows.collect()
    }
}
