//! Limits of a ledger.

use crate::time::Span;

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum number of concurrent requests.
    pub slots: usize,
    /// The maximum length of an engine run, in positions.
    pub max_run_length: usize,
    /// How long after the last renewal the requests of an entry are freed.
    pub lease: Span,
    /// How long a request may be inactive before it is freed and reported lost.
    ///
    /// Frees requests whose release was lost. The entry of an active request contacts every stage at
    /// least once per stall time (3 s).
    pub idle_timeout: Span,
    /// How long a released request is kept, so that late copies of its messages are refused.
    pub retention: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 64,
            max_run_length: 64,
            lease: Span(10_000),
            idle_timeout: Span(15_000),
            retention: Span(60_000),
        }
    }
}
