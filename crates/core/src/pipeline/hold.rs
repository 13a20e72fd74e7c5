//! Requests that wait for what they need to become known.

use crate::time::Span;

/// The share of its time that a request may wait. With the rest it can still be served, or its
/// caller can return once more.
const MAX_SHARE: f64 = 0.6;
/// The assumed time of a request that names none.
const USUAL_TIME: Span = Span(2_500);
/// Maximum requests that wait at one entry, each with its connection and its header.
const MAX_WAITING: usize = 500;

/// The requests that wait at an entry that cannot serve them yet, but may soon.
///
/// A caller whose stream broke off with the last entry has used its retry by the time that the next
/// entry starts. If the store is silent then, a refusal would be its last answer, while the store
/// is usually back within a few seconds.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::hold::Hold;
/// # use jujube_core::time::Span;
/// let mut hold = Hold::default();
/// assert_eq!(hold.begin(Some(Span(20_000))), Some(Span(12_000)));
/// assert_eq!(hold.waiting(), 1);
/// hold.end();
/// assert_eq!(hold.waiting(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Hold {
    waiting: usize,
}

impl Hold {
    /// Begins the wait of a request that has `time` left; returns how long it may wait, or `None` if
    /// too many requests wait already.
    pub fn begin(&mut self, time: Option<Span>) -> Option<Span> {
        if self.waiting >= MAX_WAITING {
            return None;
        }
        self.waiting += 1;
        let time = time.unwrap_or(USUAL_TIME).0 as f64;
        Some(Span((time * MAX_SHARE) as u64))
    }

    /// Ends the wait of one request.
    pub fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
