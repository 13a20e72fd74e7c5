//! How many requests of this entry want a server.

use crate::time::Instant;
use crate::time::Span;

/// The span of one count. Two whole counts and the current one cover 1 to 1.5 s.
const COUNT_SPAN: Span = Span(500);
const COUNTS: usize = 3;
/// How long an entry that had a request keeps [`MIN_WANTED`].
const KEEP_FOR: Span = Span(3_000);
/// The least that an entry with recent requests wants, in requests per second.
const MIN_WANTED: f64 = 1.0;
/// How much more than its demand an entry wants: requests come unevenly.
const HEADROOM: f64 = 1.25;

/// The time after which the demand for a server is known; the longest span of the counts.
pub(super) const MEASURE_TIME: Span = Span(COUNT_SPAN.0 * COUNTS as u64);

/// The recent requests for one server: those sent to it, and those that found it at its limit.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Since when requests are counted.
    since: Instant,
    counts: [f64; COUNTS],
    /// The number of the current span since the origin of time.
    current: u64,
    last: Option<Instant>,
}

impl Demand {
    pub(super) fn new(since: Instant) -> Self {
        Self {
            since,
            counts: [0.0; COUNTS],
            current: 0,
            last: None,
        }
    }

    /// Counts a request, or the part of one that falls to this server.
    pub(super) fn record(&mut self, now: Instant, requests: f64) {
        self.counts = self.counts_at(now);
        self.current = now.0 / COUNT_SPAN.0;
        self.counts[COUNTS - 1] += requests;
        self.last = Some(now);
    }

    /// Returns the counts, oldest first, as they are at a later time.
    fn counts_at(&self, now: Instant) -> [f64; COUNTS] {
        let passed = (now.0 / COUNT_SPAN.0).saturating_sub(self.current) as usize;
        std::array::from_fn(|place| self.counts.get(place + passed).copied().unwrap_or(0.0))
    }

    /// Returns whether requests were counted for long enough to tell that there are few.
    pub(super) fn is_measured(&self, now: Instant) -> bool {
        now.since(self.since) >= MEASURE_TIME
    }

    /// Returns the requests per second that this entry wants to send.
    pub(super) fn wanted(&self, now: Instant) -> f64 {
        let whole_spans = (COUNTS as u64 - 1) * COUNT_SPAN.0;
        let span = whole_spans + now.0 % COUNT_SPAN.0;
        let per_second = self.counts_at(now).iter().sum::<f64>() * 1e3 / span as f64;
        let is_recent = self.last.is_some_and(|last| now.since(last) <= KEEP_FOR);
        let least = if is_recent { MIN_WANTED } else { 0.0 };
        (per_second * HEADROOM).max(least)
    }
}
