//! Whether the store is away for all entries, or only for some.

/// What is known of the store through another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    /// The store answers it.
    Served,
    /// The store does not answer it.
    Away,
    /// It has not been heard for a while.
    Silent,
}

/// Tells whether the store answers no other entry, as far as most of them are heard.
///
/// An entry that the store answers may have been made planner, and those that are silent may be cut off
/// together with the store. One planner more than one would place layers against each other: with half
/// of the others silent, or a single one served, the answer is no.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::outage::Word;
/// # use jujube_core::pipeline::outage::is_for_all;
/// assert!(is_for_all([Word::Away, Word::Away, Word::Silent]));
/// assert!(!is_for_all([Word::Away, Word::Away, Word::Served]));
/// assert!(!is_for_all([Word::Away, Word::Silent, Word::Silent]));
/// ```
#[must_use]
pub fn is_for_all(others: impl IntoIterator<Item = Word>) -> bool {
    let (mut heard, mut silent) = (0, 0);
    for word in others {
        match word {
            Word::Served => return false,
            Word::Away => heard += 1,
            Word::Silent => silent += 1,
        }
    }
    heard >= silent
}
