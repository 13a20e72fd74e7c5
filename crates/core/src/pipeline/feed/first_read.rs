//! Decides whether an entry that has read nothing yet begins to read all keys once more.

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
