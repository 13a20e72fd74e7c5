//! Whom an entry asks for the changes of the store, and when it reads the store instead.

use std::sync::Arc;

use crate::pipeline::cell::Role;
use crate::pipeline::era::Era;
use crate::revision::Revision;
use crate::time::Instant;
use crate::time::Span;

use super::belief::Belief;
use super::bounds::Bounds;
use super::contact::Contact;

/// What a source tells about its knowledge of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// The era of its knowledge.
    pub era: Option<Era>,
    /// The revision through which it knows all changes.
    pub through: Revision,
    /// How old its knowledge is, with the time that its answer took; `None` if it has none.
    pub age: Option<Span>,
    /// Whether it can't reach the store, not even by others.
    pub is_away: bool,
    /// Whether it lost the store since it told last.
    pub has_lost_store: bool,
    /// Whether it brings changes.
    pub is_changed: bool,
}

/// What an answer of a source is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is to be applied.
    Applied,
    /// The source lost the store since it told last. This entry counts as without the store for a
    /// moment too, so that registrations that expired meanwhile are kept for a while.
    LostStore,
    /// The store was restored: this entry must read it.
    LaterEra,
    /// The source can't reach the store.
    Away,
    /// The source knows less, or nothing that is young enough.
    Useless,
}

impl Told {
    /// Decides what an answer is worth to an entry with this knowledge. `max_age` is the age at which
    /// it asks its next source.
    #[must_use]
    pub fn judge(&self, known: &Belief, max_age: Span) -> Verdict {
        if self.has_lost_store {
            return Verdict::LostStore;
        }
        if self.era != known.era() {
            return match self.era > known.era() {
                true => Verdict::LaterEra,
                false => Verdict::Useless,
            };
        }
        let Some(age) = self.age.filter(|_| self.through >= known.through()) else {
            return Verdict::Useless;
        };
        if self.is_changed {
            return Verdict::Applied;
        }
        if self.is_away {
            return Verdict::Away;
        }
        match age < max_age {
            true => Verdict::Applied,
            false => Verdict::Useless,
        }
    }
}

/// Why an entry reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It reads all changes, because it is a reader, or because there are few entries.
    Changes,
    /// It reads all changes again after a call failed.
    Loss,
    /// It asks whether the store is there, after a call that it left without an answer.
    Doubt,
    /// The store was restored.
    LaterEra,
    /// What the sources tell is too old.
    TooOld,
    /// The store had more to tell than its last answer could hold.
    Behind,
}

/// What an entry does next to learn of changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Reads the store, which may wait so long for changes.
    Read {
        /// How long the store may wait.
        wait: Span,
        /// Why it is read.
        reason: Reason,
    },
    /// Asks another entry, which may wait so long for something to tell.
    Ask {
        /// The entry.
        source: Arc<str>,
        /// How long it may wait.
        wait: Span,
    },
    /// Waits a moment: no source helped, but what is known is young enough.
    Pause,
    /// Counts as without the store for now.
    GiveUp,
}

/// The wait of a call that is to be answered at once.
pub const AT_ONCE: Span = Span(1);
/// The wait of one call after the connection to the store was lost, short so that the recovery is
/// noticed even if nothing changes.
const WAIT_AFTER_LOSS: Span = Span(300);

/// Decides whom an entry asks, and when it reads the store.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::cell::Role;
/// # use jujube_core::pipeline::feed::belief::Belief;
/// # use jujube_core::pipeline::feed::bounds::Bounds;
/// # use jujube_core::pipeline::feed::follower::Follower;
/// # use jujube_core::pipeline::feed::follower::Step;
/// # use jujube_core::pipeline::feed::follower::Verdict;
/// # use jujube_core::revision::Revision;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let bounds = Bounds::new(Span(6_000), Span(5_000));
/// let role = Role::Follower { sources: vec!["a".into()], has_followers: false };
/// let mut belief = Belief::default();
/// belief.confirm(Instant(0), Revision(7));
/// let mut follower = Follower::new(bounds);
/// let step = follower.step(Instant(500), Some(&role), &belief);
/// assert_eq!(step, Step::Ask { source: "a".into(), wait: Span(1_500) });
/// follower.failed(Verdict::Useless);
/// assert_eq!(follower.step(Instant(2_000), Some(&role), &belief), Step::Pause);
/// assert!(matches!(follower.step(Instant(3_000), Some(&role), &belief), Step::Ask { .. }));
/// follower.failed(Verdict::Useless);
/// assert!(matches!(follower.step(Instant(3_500), Some(&role), &belief), Step::Read { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Follower {
    bounds: Bounds,
    /// How many times this entry went on to its next source.
    turn: usize,
    /// The sources that failed since one helped, or since the last pause.
    failed: usize,
    is_away: bool,
    has_lost_store: bool,
    is_era_later: bool,
    contact: Contact,
    is_behind: bool,
    read_at: Option<Instant>,
}

impl Follower {
    /// Returns the decisions of an entry that has read nothing yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            turn: 0,
            failed: 0,
            is_away: false,
            has_lost_store: false,
            is_era_later: false,
            contact: Contact::default(),
            is_behind: false,
            read_at: None,
        }
    }

    /// Records what the last attempt to learn of changes showed of the store.
    pub fn set_contact(&mut self, contact: Contact) {
        self.contact = contact;
    }

    /// Records whether the last answer of the store may have left out later changes.
    ///
    /// The rest is read at once, by whoever read the first part: other entries would have to be told
    /// as much, over links that are narrower than the store's.
    pub fn set_behind(&mut self, is_behind: bool) {
        self.is_behind = is_behind;
    }

    /// Returns what to do next in this role; `None` if each entry reads the store, because there are
    /// few.
    pub fn step(&mut self, now: Instant, role: Option<&Role>, belief: &Belief) -> Step {
        if std::mem::take(&mut self.is_behind) {
            return self.read(now, AT_ONCE, Reason::Behind);
        }
        let Some(Role::Follower { sources, .. }) = role else {
            return self.read_as_reader(now, role.is_some());
        };
        if std::mem::take(&mut self.is_era_later) {
            return self.read(now, AT_ONCE, Reason::LaterEra);
        }
        if std::mem::take(&mut self.has_lost_store) {
            return Step::GiveUp;
        }
        let max_age = role.map_or(Span(0), |role| self.bounds.max_age(role));
        let has_asked = self.failed > 0 || sources.is_empty();
        if has_asked && self.must_read(now, belief, max_age) {
            return self.read(now, AT_ONCE, Reason::TooOld);
        }
        if self.failed < sources.len() {
            let source = sources[self.turn % sources.len()].clone();
            return Step::Ask {
                source,
                wait: self.patience(now, belief),
            };
        }
        let is_young = belief.is_within(now, max_age);
        self.failed = 0;
        match is_young && !std::mem::take(&mut self.is_away) {
            true => Step::Pause,
            false => Step::GiveUp,
        }
    }

    fn read_as_reader(&mut self, now: Instant, is_shared: bool) -> Step {
        let wait = match is_shared {
            true => self.bounds.reader_wait,
            false => self.bounds.lone_wait,
        };
        match self.contact {
            Contact::Established => self.read(now, wait, Reason::Changes),
            Contact::Doubtful => self.read(now, AT_ONCE, Reason::Doubt),
            Contact::Lost => self.read(now, WAIT_AFTER_LOSS, Reason::Loss),
        }
    }

    fn read(&mut self, now: Instant, wait: Span, reason: Reason) -> Step {
        self.read_at = Some(now);
        self.failed = 0;
        Step::Read { wait, reason }
    }

    /// Returns how long a source may wait: until its follower would ask another one. An entry that has
    /// just started waits until readers know it by their next call.
    fn patience(&self, now: Instant, belief: &Belief) -> Span {
        let Some(age) = belief.age(now) else {
            return Span(self.bounds.pause.0 + self.bounds.answer.0);
        };
        Span(self.bounds.next_source.0.saturating_sub(age.0)).max(self.bounds.answer)
    }

    /// Records that a source told something of worth.
    pub fn succeeded(&mut self) {
        self.failed = 0;
        self.is_away = false;
    }

    /// Records that a source was of no help, and goes on to the next one.
    pub fn failed(&mut self, verdict: Verdict) {
        self.failed += 1;
        self.turn = self.turn.wrapping_add(1);
        self.is_away |= verdict == Verdict::Away;
        self.has_lost_store |= verdict == Verdict::LostStore;
        self.is_era_later |= verdict == Verdict::LaterEra;
    }

    /// Returns whether this entry must read the store itself: what it knows is too old, and it has
    /// not tried for as long. Hundreds of entries therefore don't call a store that is down all the
    /// time.
    fn must_read(&self, now: Instant, belief: &Belief, max_age: Span) -> bool {
        let is_due = self.read_at.is_none_or(|at| now.since(at) >= max_age);
        is_due && !belief.is_within(now, max_age)
    }
}
