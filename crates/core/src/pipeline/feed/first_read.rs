//! Decides whether an entry that has read nothing yet begins to read all keys once more, and when it tells
//! that it has not ended.

use crate::time::Instant;
use crate::time::Span;

/// The most reads of all keys at once: as many as a silent store leaves without an answer, when one is
/// begun every 0.3 s and given up after 1.5 s.
pub const MAX_READS: usize = 5;

/// Decides whether an entry that has read nothing yet begins to read all keys once more.
///
/// A call that was made while the store was silent may stay unanswered after the store has recovered, so
/// that another one is made. But reads share what the store can tell: if one more is begun while the
/// pages of the others still come, each slows down, and with enough keys none ever ends.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::first_read::FirstRead;
/// let mut read = FirstRead::default();
/// assert!(read.is_due(0, 0));
/// // A page has come since.
/// assert!(!read.is_due(1, 1));
/// // None has come since then.
/// assert!(read.is_due(1, 1));
/// ```
#[derive(Debug, Default)]
pub struct FirstRead {
    /// The pages that had been received at the last decision.
    pages: u64,
}

impl FirstRead {
    /// Returns whether to begin another read beside those that run, after `pages` pages were received in
    /// all.
    pub fn is_due(&mut self, running: usize, pages: u64) -> bool {
        let has_progress = pages > self.pages;
        self.pages = pages;
        running == 0 || (!has_progress && running < MAX_READS)
    }
}

/// How long a first read may take before it is told: longer than one call to a silent store.
const FIRST_NOTICE: Span = Span(2_000);
/// The time between two notices.
const NOTICE_INTERVAL: Span = Span(5_000);

/// Decides when to tell that the first read has not ended.
///
/// An entry is not ready before. Without these lines its log would end with its start, whatever the store
/// does.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::first_read::Notice;
/// # use jujube_core::time::Instant;
/// let mut notice = Notice::new(Instant(1_000));
/// assert!(!notice.is_due(Instant(2_999)));
/// assert!(notice.is_due(Instant(3_000)));
/// assert!(!notice.is_due(Instant(7_999)));
/// assert!(notice.is_due(Instant(8_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    next: Instant,
}

impl Notice {
    /// Returns the notices of a first read that begins now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            next: now.plus(FIRST_NOTICE),
        }
    }

    /// Returns whether to tell now.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next;
        if is_due {
            self.next = now.plus(NOTICE_INTERVAL);
        }
        is_due
    }
}
