//! How often the entries look for changes in the store.

use crate::time::Span;

/// The shortest and the longest pause after an answer with changes, as a share of the time within
/// which changes must be in force. Changes come in bursts, and one look after the longest leaves
/// time for a second.
const MIN_SHARE: f64 = 0.125;
const MAX_SHARE: f64 = 0.25;
/// The number of entries at which the pause is the longest. Every entry pays for its own calls,
/// while a late look delays its requests only: few entries serve many requests each.
const MANY_ENTRIES: f64 = 24.0;

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
    Span((apply.0 as f64 * share.clamp(MIN_SHARE, MAX_SHARE)) as u64)
}
