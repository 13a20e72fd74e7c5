//! An entry's seat among those that share the slack of the retry budget.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::revision::Revision;
use crate::time::Instant;
use crate::time::Span;

/// Another entry that is announced.
#[derive(Clone, Copy, Debug, Default)]
struct Other {
    /// When its announcement was written.
    announced: Revision,
    /// Up to where it said that it knows the store.
    knows: Revision,
}

/// This entry's own announcement.
#[derive(Clone, Copy, Debug)]
struct Own {
    revision: Revision,
    /// When it began to be made.
    began: Instant,
    /// When its lease was last renewed: the moment before the call.
    renewed: Instant,
    /// Whether no entry was announced when it was written.
    is_first: bool,
}

/// How an entry stands towards the slack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Its announcement was not renewed lately: others may soon no longer count it.
    Unseated,
    /// Some entry may not count it yet, or has sent retries lately as if it were not there.
    Waiting,
    /// It has one of this many equal parts.
    Seated(u64),
}

/// What an entry knows of those with whom it shares the slack.
///
/// The slack is for all entries together, and what each has sent is known to itself only. If each
/// start took a part at once, entries that restart while a service fails would send it a multiple of what it
/// allows. A part is therefore taken only by an entry that
///
/// - renewed the lease of its announcement lately, by its own clock: when the lease ends and others stop
///   counting it, what it sent is out of every window;
/// - is known to every other that was announced before it (each tells up to which revision it knows the store;
///   those announced later found it there), so that all count it;
/// - has waited since then for as long as an extra arrival matters: what its predecessor sent, and what
///   others sent while they did not count it, is out of every window by then. The first one of all need not.
///
/// So all that have a part at a time count one another, and the parts are never more than the whole, whoever
/// starts, dies or is cut off. It relies on the store to keep a lease for its time.
///
/// Cost: after a start an entry sends only the retries that its own requests pay for until a window has passed,
/// and so does one that has been cut off from the store for longer than it trusts its lease.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::seat::Seat;
/// # use jujube_core::pipeline::seat::Standing;
/// # use jujube_core::revision::Revision;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut seat = Seat::new("a", Span(27_000), Span(12_000));
/// seat.announced("b", Revision(4));
/// seat.taken(Instant(0), Revision(5), Instant(0), false);
/// seat.followed(Instant(100), Revision(5));
/// assert_eq!(seat.standing(Instant(12_100)), Standing::Waiting, "b may not know");
/// seat.told(Instant(200), "b", Revision(5));
/// assert_eq!(seat.standing(Instant(12_199)), Standing::Waiting);
/// assert_eq!(seat.standing(Instant(12_200)), Standing::Seated(2));
/// assert_eq!(seat.standing(Instant(15_000)), Standing::Unseated, "the lease was not renewed");
/// ```
#[derive(Clone, Debug)]
pub struct Seat {
    /// The name under which this entry is announced.
    name: Arc<str>,
    /// How long a lease lasts after its renewal.
    lease: Span,
    /// How long an extra arrival matters.
    reach: Span,
    own: Option<Own>,
    others: BTreeMap<Arc<str>, Other>,
    /// Up to where the store is known.
    knows: Revision,
    /// Since when all others have counted the present announcement.
    since: Option<Instant>,
}

impl Seat {
    /// Returns the seat of an entry that is not announced yet.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>, lease: Span, reach: Span) -> Self {
        Self {
            name: name.into(),
            lease,
            reach,
            own: None,
            others: BTreeMap::new(),
            knows: Revision::default(),
            since: None,
        }
    }

    /// Takes a new length of time for which extra arrivals matter.
    pub fn set_reach(&mut self, reach: Span) {
        self.reach = reach;
    }

    /// Takes that this entry is announced, after calls that began at a time, the one for its lease among them;
    /// `is_first` when no entry at all was announced then.
    pub fn taken(&mut self, now: Instant, revision: Revision, began: Instant, is_first: bool) {
        self.own = Some(Own {
            revision,
            began,
            renewed: began,
            is_first,
        });
        self.since = None;
        self.settle(now);
    }

    /// Takes that the lease was renewed by a call made at a time.
    pub fn renewed(&mut self, asked: Instant) {
        if let Some(own) = &mut self.own {
            own.renewed = own.renewed.max(asked);
        }
    }

    /// Gives the announcement up once its lease has ended by the own clock.
    pub fn expire(&mut self, now: Instant) {
        let has_ended = |own: Own| now.since(own.renewed) >= self.lease;
        if self.own.is_some_and(has_ended) {
            self.lost();
        }
    }

    /// Takes that the announcement is gone, or may be.
    pub fn lost(&mut self) {
        self.own = None;
    }

    /// Tells whether the announcement of this entry is believed to be in the store.
    #[must_use]
    pub fn is_taken(&self) -> bool {
        self.own.is_some()
    }

    /// Takes an entry's announcement, written at a revision.
    pub fn announced(&mut self, name: impl Into<Arc<str>>, revision: Revision) {
        let name = name.into();
        if name == self.name {
            self.overtaken(revision);
            return;
        }
        self.others.entry(name).or_default().announced = revision;
    }

    /// Takes that an entry's announcement was removed at a revision.
    pub fn removed(&mut self, name: &str, revision: Revision) {
        if *name == *self.name {
            self.overtaken(revision);
        }
        self.others.remove(name);
    }

    /// Takes all announcements that the store held at a revision.
    ///
    /// A read may be older than what is known; what it lacks is not gone then, and what came since is told again.
    pub fn replaced(
        &mut self,
        now: Instant,
        announced: &BTreeMap<Arc<str>, Revision>,
        revision: Revision,
    ) {
        if revision < self.knows {
            return;
        }
        self.others.retain(|name, _| announced.contains_key(name));
        if !announced.contains_key(&self.name) {
            self.overtaken(revision);
        }
        for (name, written) in announced {
            self.announced(name.clone(), *written);
        }
        self.followed(now, revision);
    }

    /// Takes that the own announcement was written or removed at a revision.
    ///
    /// A write that was made under an earlier lease, and carried out late, takes the announcement with it when
    /// that lease ends.
    fn overtaken(&mut self, revision: Revision) {
        if self.own.is_some_and(|own| own.revision < revision) {
            self.lost();
        }
    }

    /// Takes that everything up to a revision of the store is known.
    pub fn followed(&mut self, now: Instant, revision: Revision) {
        self.knows = self.knows.max(revision);
        self.settle(now);
    }

    /// Returns up to where the store is known, for the others to hear.
    #[must_use]
    pub fn knows(&self) -> Revision {
        self.knows
    }

    /// Takes another entry's word on up to where it knows the store.
    pub fn told(&mut self, now: Instant, name: &str, revision: Revision) {
        if let Some(other) = self.others.get_mut(name) {
            other.knows = other.knows.max(revision);
            self.settle(now);
        }
    }

    /// Returns how this entry stands towards the slack.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let trusted = Span(self.lease.0.saturating_sub(self.reach.0));
        let is_trusted = |own: Own| now.since(own.renewed) < trusted;
        if !self.own.is_some_and(is_trusted) {
            return Standing::Unseated;
        }
        let is_settled = self.since.is_some_and(|since| now >= since);
        // Whoever was announced beside the first one, unknown to it, waits for as long.
        let is_alone = |own: Own| own.is_first && now.since(own.began) < self.reach;
        if !is_settled && !self.own.is_some_and(is_alone) {
            return Standing::Waiting;
        }
        Standing::Seated(self.others.len() as u64 + 1)
    }

    /// Notes when all others have come to count the present announcement, and sets the wait that follows.
    fn settle(&mut self, now: Instant) {
        let Some(own) = self.own.filter(|_| self.since.is_none()) else {
            return;
        };
        let counts = |other: &Other| other.announced > own.revision || other.knows >= own.revision;
        if self.knows < own.revision || !self.others.values().all(counts) {
            return;
        }
        let is_in_time = own.is_first && now.since(own.began) < self.reach;
        let wait = if is_in_time { Span(0) } else { self.reach };
        self.since = Some(now.plus(wait));
    }
}
