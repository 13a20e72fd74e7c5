//! What an entry knows about the store, and how old it is.

use crate::pipeline::era::Era;
use crate::revision::Revision;
use crate::time::Instant;
use crate::time::Span;

/// How fresh an entry's knowledge of the store is.
///
/// The age counts from the moment at which the last answered call was *made*, by whichever entry
/// made it: the store may have answered at once and the answer been delayed. Entries pass on ages,
/// not times, because their clocks differ, and add the time that the exchange took. Entries that ask
/// each other in a circle therefore never make each other's knowledge younger.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::belief::Belief;
/// # use jujube_core::revision::Revision;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut belief = Belief::default();
/// assert_eq!(belief.age(Instant(100)), None);
/// belief.confirm(Instant(100), Revision(7));
/// belief.confirm(Instant(50), Revision(6));
/// assert_eq!(belief.as_of(), Some(Instant(100)));
/// assert_eq!(belief.age(Instant(400)), Some(Span(300)));
/// assert_eq!(belief.through(), Revision(7));
/// belief.advance(Revision(9));
/// assert_eq!(belief.age(Instant(400)), Some(Span(300)), "more may have changed since");
/// assert_eq!(belief.through(), Revision(9));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Belief {
    asked_at: Option<Instant>,
    through: Revision,
    era: Option<Era>,
    is_away: bool,
    outages: u64,
    version: u64,
}

impl Belief {
    /// Records that all changes through a revision are known as of `asked_at`.
    pub fn confirm(&mut self, asked_at: Instant, through: Revision) {
        let is_newer = self.asked_at < Some(asked_at) || self.through < through;
        if is_newer || self.is_away {
            self.version += 1;
        }
        self.asked_at = self.asked_at.max(Some(asked_at));
        self.through = self.through.max(through);
        self.is_away = false;
    }

    /// Records that changes through a revision are known, but that there may be later ones.
    ///
    /// The store cuts long answers. What they leave out may be older than the call, so the age stays
    /// as it was.
    pub fn advance(&mut self, through: Revision) {
        if self.through < through || self.is_away {
            self.version += 1;
        }
        self.through = self.through.max(through);
        self.is_away = false;
    }

    /// Records that the store answers neither this entry nor those that it asks.
    pub fn lose(&mut self) {
        if !self.is_away {
            self.is_away = true;
            self.outages += 1;
            self.version += 1;
        }
    }

    /// Starts a later era, of which nothing is known yet.
    pub fn restore(&mut self, era: Option<Era>) {
        let (outages, version) = (self.outages, self.version + 1);
        *self = Self {
            era,
            outages,
            version,
            ..Self::default()
        };
    }

    /// Returns the moment as of which all changes are known; `None` if nothing is known.
    #[must_use]
    pub fn as_of(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Returns how old the knowledge is; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.asked_at.map(|asked_at| now.since(asked_at))
    }

    /// Returns whether the knowledge is younger than `bound`.
    #[must_use]
    pub fn is_within(&self, now: Instant, bound: Span) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }

    /// Returns the revision through which all changes are known.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns the era of the knowledge.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns whether the store is unavailable to this entry and to those that it asks.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.is_away
    }

    /// Returns how often the store became unavailable. Followers that did not notice an outage
    /// learn of it by this number: registrations that expired meanwhile count for some time.
    #[must_use]
    pub fn outages(&self) -> u64 {
        self.outages
    }

    /// Returns a number that grows whenever there is something to pass on.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}
