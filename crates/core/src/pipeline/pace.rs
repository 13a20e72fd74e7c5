//! How often leases are renewed, and how long a call to the store may take.

use crate::time::Span;

/// The contact time for which the times below are made. Deployments that allow more have larger
/// stores and entries, whose answers wait behind those of hundreds of others.
const SHORTEST_CONTACT: Span = Span(3_000);
/// How often a lease is renewed. A failed renewal is also how a silent store is detected, within the
/// contact time, after which no change may be missed.
const RENEW_INTERVAL: Span = Span(1_300);
/// How often a lease is renewed within its time to live where the store's silence is detected
/// otherwise; two renewals may fail.
const RENEWALS_PER_LEASE: u64 = 3;
/// How long a renewal may take; a slow store answers within a third of a second.
const RENEW_TIMEOUT: Span = Span(800);
/// How much longer than its wait a watch may take to begin its answer, and how long the answer may
/// pause.
const ANSWER_MARGIN: Span = Span(700);

/// The times of calls to the store.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::pace::Times;
/// # use jujube_core::time::Span;
/// assert_eq!(Times::within(Span(3_000)).renew_timeout, Span(800));
/// assert_eq!(Times::within(Span(6_000)).renew_timeout, Span(1_600));
/// assert_eq!(Times::within(Span(1_000)), Times::within(Span(3_000)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Times {
    /// The pause between two renewals of a lease.
    pub renew_interval: Span,
    /// How long a renewal may take.
    pub renew_timeout: Span,
    /// How much longer than its wait a watch may take to begin its answer, and how long an answer may
    /// pause.
    pub answer_margin: Span,
}

/// Returns the pause between two renewals of a lease of `ttl` that need not detect a silent store.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::pace::rare_renewal;
/// # use jujube_core::time::Span;
/// assert_eq!(rare_renewal(Span(27_000)), Span(9_000));
/// ```
#[must_use]
pub fn rare_renewal(ttl: Span) -> Span {
    Span(ttl.0 / RENEWALS_PER_LEASE)
}

impl Times {
    /// Returns the times for entries that must detect a silent store within `contact`.
    #[must_use]
    pub fn within(contact: Span) -> Self {
        let factor = contact.max(SHORTEST_CONTACT).0 as f64 / SHORTEST_CONTACT.0 as f64;
        let scaled = |span: Span| Span((span.0 as f64 * factor) as u64);
        Self {
            renew_interval: scaled(RENEW_INTERVAL),
            renew_timeout: scaled(RENEW_TIMEOUT),
            answer_margin: scaled(ANSWER_MARGIN),
        }
    }
}
