//! Generations of the store's data.
//!
//! The store may be restored from a copy that is some seconds old. It has then lost later writes,
//! and reuses their revisions. The era increases with each restore, and every response of the store
//! carries it.

use crate::number::numbers;

numbers! {
    /// A generation of the store's data, which increases with each restore.
    Era;
}

/// How the era of a response compares with the newest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The newest era, or none.
    Current,
    /// The first response of a later era: the store may have lost what it reported before.
    Advanced,
    /// An earlier era: the store may have lost what the response reports.
    Stale,
}

/// Tracks the newest era of a store's responses.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::era::Era;
/// # use jujube_core::pipeline::era::Tracker;
/// # use jujube_core::pipeline::era::Freshness;
/// let mut tracker = Tracker::default();
/// assert_eq!(tracker.observe(Some(Era(4))), Freshness::Current, "the first era");
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
    /// Applies the era of a response.
    pub fn observe(&mut self, era: Option<Era>) -> Freshness {
        let Some(era) = era else {
            return Freshness::Current;
        };
        let newest = self.newest;
        self.newest = newest.max(Some(era));
        match newest {
            Some(newest) if era > newest => Freshness::Advanced,
            Some(newest) if era < newest => Freshness::Stale,
            _ => Freshness::Current,
        }
    }

    /// Returns the newest era, or `None` if no response carried one.
    #[must_use]
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }
}

/// Whether an era has lasted long enough that nothing held in the previous one counts any more.
///
/// The first entry that sees a new era marks it in the store, and writes a key beside the mark
/// under a lease for as long as earlier holdings may count. A mark is missing only right after a
/// restore, so the key lives long enough whichever entry wrote it, and also entries that start
/// meanwhile see it.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::era::Era;
/// # use jujube_core::pipeline::era::Settling;
/// let mut settling = Settling::default();
/// assert!(settling.is_over(), "a store without eras loses nothing");
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
    /// Whether this process has seen the previous era.
    has_advanced: bool,
    is_marked: bool,
    is_held: bool,
}

impl Settling {
    /// Starts a new era, unless it is the current one.
    pub fn set_era(&mut self, era: Option<Era>) {
        if self.era != era {
            *self = Self {
                era,
                has_advanced: self.era.is_some(),
                ..Self::default()
            };
        }
    }

    /// Returns whether something may have been held in an earlier era. `shows` says whether the
    /// store contains marks or holdings.
    ///
    /// An empty store had no holdings, unless its copy is older than the first mark; processes that
    /// have seen the previous era detect this.
    #[must_use]
    pub fn had_before(&self, shows: bool) -> bool {
        self.has_advanced || shows
    }

    /// Sets whether an era is marked.
    pub fn set_marked(&mut self, era: Era, is_marked: bool) {
        if self.era == Some(era) {
            self.is_marked = is_marked;
        }
    }

    /// Sets whether the key beside an era's mark exists.
    pub fn set_held(&mut self, era: Era, is_held: bool) {
        if self.era == Some(era) {
            self.is_held = is_held;
        }
    }

    /// Returns whether the era has yet to be marked.
    #[must_use]
    pub fn lacks_mark(&self) -> bool {
        self.era.is_some() && !self.is_marked
    }

    /// Returns whether nothing held in the previous era counts any more.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.era.is_none() || (self.is_marked && !self.is_held)
    }
}
