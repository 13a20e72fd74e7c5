//! How old an entry's knowledge of the store may become.

use crate::pipeline::cell::Role;
use crate::time::Span;

/// The parts of the time within which changes must be in force. What a reader knows is as old as two
/// waits and a pause before its next call is answered; the later ages leave time to ask another
/// entry, then to read the store, and for its answer.
const READER_WAIT_SHARE: f64 = 0.125;
const PAUSE_SHARE: f64 = 0.125;
const NEXT_SOURCE_SHARE: f64 = 0.4;
const SPEAKER_AGE_SHARE: f64 = 0.5;
const MEMBER_AGE_SHARE: f64 = 0.6;
const ANSWER_SHARE: f64 = 0.1;
/// The longest pause after an answer with changes, in which further changes accumulate. It must be
/// shorter than the 0.7 s after which the planner considers the registrations complete, or servers
/// would be placed before all of them are known.
pub const MAX_PAUSE: Span = Span(500);
/// The number of readers in a fleet of a single cell.
const READERS: usize = 2;

/// How old an entry's knowledge of the store may become.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::bounds::Bounds;
/// # use jujube_core::time::Span;
/// let bounds = Bounds::new(Span(6_000), Span(5_000));
/// assert_eq!(bounds.reader_wait, Span(625));
/// assert!(2 * bounds.reader_wait.0 + bounds.pause.0 < bounds.next_source.0);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// How long a call of an entry without followers waits for changes.
    pub lone_wait: Span,
    /// How long a call of a reader waits for changes.
    pub reader_wait: Span,
    /// The pause after an answer of the store with changes.
    pub pause: Span,
    /// The age at which a follower asks its next source.
    pub next_source: Span,
    /// The age at which a follower with followers of its own reads the store. It is less than that
    /// of its followers, so that one call serves them all.
    pub speaker_age: Span,
    /// The age at which any other follower reads the store.
    pub member_age: Span,
    /// How long a source may take to answer at once.
    pub answer: Span,
}

/// How much shorter one call waits than the fault-free time after which the time limits apply.
///
/// A watch that began while the store delivered no changes may report no changes for its whole wait
/// although all other calls succeed. The next call must be answered before the time limits apply
/// again.
const WAIT_MARGIN: Span = Span(1_000);
/// The shortest wait of one call.
const MIN_WAIT: Span = Span(500);

impl Bounds {
    /// Returns the bounds where the time limits apply after `contact` without faults, and changes
    /// must be in force within `apply`.
    #[must_use]
    pub fn new(contact: Span, apply: Span) -> Self {
        let share = |share: f64| Span((apply.0 as f64 * share) as u64);
        Self {
            lone_wait: Span(contact.0.saturating_sub(WAIT_MARGIN.0)).max(MIN_WAIT),
            reader_wait: share(READER_WAIT_SHARE),
            pause: share(PAUSE_SHARE).min(MAX_PAUSE),
            next_source: share(NEXT_SOURCE_SHARE),
            speaker_age: share(SPEAKER_AGE_SHARE),
            member_age: share(MEMBER_AGE_SHARE),
            answer: share(ANSWER_SHARE),
        }
    }

    /// Returns whether readers make fewer calls than if each of `entries` followed the store: their
    /// calls wait for less long.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::feed::bounds::Bounds;
    /// # use jujube_core::time::Span;
    /// let bounds = Bounds::new(Span(3_000), Span(2_000));
    /// assert!(!bounds.is_shared(16));
    /// assert!(bounds.is_shared(17));
    /// ```
    #[must_use]
    pub fn is_shared(&self, entries: usize) -> bool {
        entries as u64 * self.reader_wait.0 > READERS as u64 * self.lone_wait.0
    }

    /// Returns the age at which an entry in this role reads the store.
    #[must_use]
    pub fn max_age(&self, role: &Role) -> Span {
        match role {
            Role::Reader => Span(0),
            Role::Follower {
                has_followers: true,
                ..
            } => self.speaker_age,
            Role::Follower { .. } => self.member_age,
        }
    }
}
