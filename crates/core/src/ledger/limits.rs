//! What a ledger allows.

use crate::time::Span;

/// What the ledger allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How many requests it takes at a time.
    pub slots: usize,
    /// The longest run that the engine is given, in positions.
    pub longest_run: usize,
    /// How long an entry may be silent before its requests are freed.
    pub lease: Span,
    /// How long a request may stand still before it is freed and reported lost.
    ///
    /// A release can be lost. The entry of a request that goes on touches every stage at least once
    /// in its stall time (3 s), so that five times as long without a touch means that nobody waits.
    pub idle: Span,
    /// How long a released request is remembered.
    pub remember: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 64,
            longest_run: 64,
            lease: Span(10_000),
            idle: Span(15_000),
            remember: Span(60_000),
        }
    }
}
