//! Whether the store is away for all entries, or only for some.

/// What the other entries say of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Word {
    /// How many other entries there are.
    pub known: u64,
    /// How many of them were heard lately.
    pub heard: u64,
    /// How many of those the store answers.
    pub served: u64,
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
/// let word = |known, heard, served| Word { known, heard, served };
/// assert!(is_for_all(word(3, 2, 0)));
/// assert!(!is_for_all(word(3, 3, 1)));
/// assert!(!is_for_all(word(3, 1, 0)));
/// ```
#[must_use]
pub fn is_for_all(word: Word) -> bool {
    let silent = word.known.saturating_sub(word.heard);
    word.served == 0 && word.heard >= silent
}
