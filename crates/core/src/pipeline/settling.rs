//! When to wait for more servers before the placement is planned.

use crate::time::Instant;
use crate::time::Span;

/// How long no server must have joined, so that all those that start together are known.
pub const SETTLE_TIME: Span = Span(700);
/// How long servers that join one after the other may hold up the plan.
const MAX_WAIT: Span = Span(4_500);

/// The wait for servers that join one after the other while no path exists.
///
/// A plan made from the first of them gives these all layers of the model, and the others nothing
/// that is needed. Orders cannot be taken back, so a fleet that returns waits until it is as large
/// as it was, or no more servers join.
///
/// That no server joins shows only up to the moment as of which all registrations are known. An
/// entry that others tell of them hears of many at once, and between two answers of none; time that
/// passes without knowledge does not count.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::settling::Settling;
/// # use jujube_core::time::Instant;
/// let mut settling = Settling::default();
/// assert!(settling.must_wait(Instant(0), None, false, 2));
/// assert!(settling.must_wait(Instant(600), None, false, 3));
/// assert!(settling.must_wait(Instant(900), None, false, 3));
/// assert!(!settling.must_wait(Instant(1_400), None, false, 3));
/// assert!(!settling.must_wait(Instant(9_000), None, true, 3));
/// assert!(!settling.must_wait(Instant(9_500), None, false, 1), "two servers were lost");
/// assert!(settling.must_wait(Instant(9_600), None, false, 2), "one is back");
/// assert!(!settling.must_wait(Instant(9_700), None, false, 3), "all are back");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Settling {
    /// The number of servers when a path last existed.
    complete: usize,
    count: usize,
    /// When the number of servers first and last grew since a path existed.
    growth: Option<(Instant, Instant)>,
}

impl Settling {
    /// Returns whether to wait before the next plan for `count` servers.
    ///
    /// All registrations are known as of `told_through`; `None` if they show at once, or if the store
    /// tells nobody, so that nothing is to be waited for.
    pub fn must_wait(
        &mut self,
        now: Instant,
        told_through: Option<Instant>,
        has_path: bool,
        count: usize,
    ) -> bool {
        let has_grown = count > self.count;
        self.count = count;
        if has_path {
            self.complete = count;
            self.growth = None;
            return false;
        }
        if has_grown {
            let first = self.growth.map_or(now, |(first, _)| first);
            self.growth = Some((first, now));
        }
        let is_complete = self.complete > 0 && count >= self.complete;
        let known = told_through.unwrap_or(now);
        let is_growing = self.growth.is_some_and(|(first, last)| {
            known.since(last) < SETTLE_TIME && known.since(first) < MAX_WAIT
        });
        is_growing && !is_complete
    }
}
