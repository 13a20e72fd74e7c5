//! Generations of the store's data.
//!
//! A store may come back from a copy that is some seconds old. It has forgotten what it acknowledged since, and its
//! revisions are given out again; each time the era rises by one, and each of its answers tells it.

use crate::number::numbers;

numbers! {
    /// A generation of the store's data.
    Era;
}

/// What the era that an answer tells means for the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It is of the newest era, or tells none.
    Current,
    /// It is the first of a later era: what was known of the store may be forgotten there.
    Advanced,
    /// It is of an earlier era: what it says may be forgotten by now.
    Stale,
}

/// The newest era of a store's answers.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::era::Era;
/// # use jujube_core::pipeline::era::Tracker;
/// # use jujube_core::pipeline::era::Freshness;
/// let mut tracker = Tracker::default();
/// assert_eq!(tracker.observe(Some(Era(4))), Freshness::Current, "the first one that is heard");
/// assert_eq!(tracker.observe(Some(Era(5))), Freshness::Advanced);
/// assert_eq!(tracker.observe(Some(Era(4))), Freshness::Stale);
/// assert_eq!(tracker.observe(None), Freshness::Current);
/// assert_eq!(tracker.newest(), Some(Era(5)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    newest: Option<Era>,
}

impl Tracker {
    /// Takes the era that an answer tells.
    pub fn observe(&mut self, told: Option<Era>) -> Freshness {
        let Some(told) = told else {
            return Freshness::Current;
        };
        let newest = self.newest;
        self.newest = newest.max(Some(told));
        match newest {
            Some(newest) if told > newest => Freshness::Advanced,
            Some(newest) if told < newest => Freshness::Stale,
            _ => Freshness::Current,
        }
    }

    /// Returns the newest era; `None` while no answer told one.
    #[must_use]
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }
}

/// Whether an era has lasted for so long that nothing matters that was held in the one before.
///
/// Whoever first sees a new era marks it in the store, and beside the mark writes a key under a lease of the length
/// for which something held before may matter. The mark can be missing only in a store that has just come back, so
/// the key stands for long enough whoever wrote it, and entries that start meanwhile see it as well.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::era::Era;
/// # use jujube_core::pipeline::era::Settling;
/// let mut settling = Settling::default();
/// assert!(settling.is_over(), "a store that tells no era forgets nothing");
/// settling.set_era(Some(Era(5)));
/// assert!(!settling.is_over());
/// settling.set_marked(Era(5), true);
/// settling.set_held(Era(5), true);
/// assert!(!settling.is_over());
/// settling.set_held(Era(5), false);
/// assert!(settling.is_over());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Settling {
    era: Option<Era>,
    /// This process has lived in the era before.
    has_risen: bool,
    is_marked: bool,
    is_held: bool,
}

impl Settling {
    /// Begins with an era of which nothing is known yet, unless it is known already.
    pub fn set_era(&mut self, era: Option<Era>) {
        if self.era != era {
            *self = Self {
                era,
                has_risen: self.era.is_some(),
                ..Self::default()
            };
        }
    }

    /// Tells whether something may have been held in an era before this one, of which the store shows marks and holdings
    /// or none.
    ///
    /// In a store that shows nothing nobody held anything, unless its copy is older than the first mark; those that
    /// lived in the era before know better.
    #[must_use]
    pub fn had_before(&self, shows: bool) -> bool {
        self.has_risen || shows
    }

    /// Takes whether an era is marked.
    pub fn set_marked(&mut self, era: Era, is_marked: bool) {
        if self.era == Some(era) {
            self.is_marked = is_marked;
        }
    }

    /// Takes whether the key beside an era's mark stands.
    pub fn set_held(&mut self, era: Era, is_held: bool) {
        if self.era == Some(era) {
            self.is_held = is_held;
        }
    }

    /// Tells whether the era is still to be marked.
    #[must_use]
    pub fn lacks_mark(&self) -> bool {
        self.era.is_some() && !self.is_marked
    }

    /// Tells whether nothing matters any more that was held in the era before.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.era.is_none() || (self.is_marked && !self.is_held)
    }
}
