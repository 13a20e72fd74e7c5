//! How often the entries look for changes in the store, and how long a call may take.

use crate::time::Span;

/// The shortest and the longest pause after an answer with changes, as a share of the time within
/// which changes must be in force. Changes come in bursts, and one look after the longest leaves
/// time for a second.
const MIN_SHARE: f64 = 0.125;
const MAX_SHARE: f64 = 0.25;
/// The number of entries at which the pause is the longest share. Every entry pays for its own calls,
/// while a late look delays its requests only: few entries serve many requests each.
const MANY_ENTRIES: f64 = 24.0;
/// The number of entries from which the pause may take all but `LOOK_RESERVE` of the time, and no
/// more than `MAX_LONG_SHARE`: what changes is then sent to hundreds of entries over one link.
const HUNDREDS_OF_ENTRIES: usize = 200;
const LOOK_RESERVE: Span = Span(3_000);
const MAX_LONG_SHARE: f64 = 0.4;

/// Returns the pause of each of `entries` entries after an answer with changes, which must be in force
/// within `apply`.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::pace::pause;
/// # use jujube_core::time::Span;
/// assert_eq!(pause(Span(2_000), 4), Span(250));
/// assert_eq!(pause(Span(2_000), 300), Span(500));
/// ```
#[must_use]
pub fn pause(apply: Span, entries: usize) -> Span {
    let share = MAX_SHARE * entries as f64 / MANY_ENTRIES;
    let pause = Span((apply.0 as f64 * share.clamp(MIN_SHARE, MAX_SHARE)) as u64);
    if entries < HUNDREDS_OF_ENTRIES {
        return pause;
    }
    let long = Span((apply.0 as f64 * MAX_LONG_SHARE) as u64);
    long.min(Span(apply.0.saturating_sub(LOOK_RESERVE.0)))
        .max(pause)
}

/// The contact time for which the times below are made. Deployments that allow more have larger
/// stores and entries, whose answers wait behind those of hundreds of others.
const SHORTEST_CONTACT: Span = Span(3_000);
/// How often a lease is renewed. A failed renewal is also how a silent store is detected, within the
/// contact time, after which no change may be missed.
const RENEW_INTERVAL: Span = Span(1_300);
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
