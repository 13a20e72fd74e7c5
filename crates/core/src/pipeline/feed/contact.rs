//! Distinguishes a store that is away from one that left a single call without an answer.

use crate::time::Instant;
use crate::time::Span;

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The store ended the connection before the call was due to be answered.
    Cut,
    /// The store answered that it takes no more calls at the moment.
    Busy,
    /// The store cannot be reached, refuses to work, or does not answer in time.
    Silent,
}

/// What an entry believes of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Contact {
    /// It answers.
    #[default]
    Established,
    /// It left one call without an answer, which a working store may do. The next call decides.
    Doubtful,
    /// It is away.
    Lost,
}

/// The shortest time between two doubts without a pause after the second. A store that cuts each
/// watch at once must not be asked without end.
const MIN_DOUBT_INTERVAL: Span = Span(1_000);

/// What a failed call leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The store is doubted, and asked again at once.
    AskAtOnce,
    /// The store is doubted, and asked again after a pause.
    AskLater,
    /// The store counts as lost from now on.
    Lose,
    /// The store was lost before.
    StayLost,
}

/// Decides from failed and answered calls whether the store is away.
///
/// A working store may end a waiting call, and refuses calls beyond its rate. Registrations that are
/// removed then were not lost in an outage: their servers are leaving, and must get no new work. Only a
/// store that leaves the next call without an answer too is away.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::contact::Contact;
/// # use jujube_core::pipeline::feed::contact::Failure;
/// # use jujube_core::pipeline::feed::contact::Observer;
/// # use jujube_core::pipeline::feed::contact::Step;
/// # use jujube_core::time::Instant;
/// let mut observer = Observer::default();
/// assert_eq!(observer.failed(Instant(0), Failure::Cut), Step::AskAtOnce);
/// assert!(!observer.answered());
/// assert_eq!(observer.failed(Instant(10), Failure::Cut), Step::AskLater);
/// assert_eq!(observer.failed(Instant(200), Failure::Cut), Step::Lose);
/// assert_eq!(observer.contact(), Contact::Lost);
/// assert!(observer.answered());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Observer {
    contact: Contact,
    doubted_at: Option<Instant>,
}

impl Observer {
    /// Returns what is believed of the store.
    #[must_use]
    pub fn contact(&self) -> Contact {
        self.contact
    }

    /// Records a failed call; returns what follows from it.
    pub fn failed(&mut self, now: Instant, failure: Failure) -> Step {
        match (self.contact, failure) {
            (Contact::Established, Failure::Cut | Failure::Busy) => {
                self.contact = Contact::Doubtful;
                let before = self.doubted_at.replace(now);
                let is_recent = before.is_some_and(|at| now.since(at) < MIN_DOUBT_INTERVAL);
                match is_recent || failure == Failure::Busy {
                    true => Step::AskLater,
                    false => Step::AskAtOnce,
                }
            }
            (Contact::Lost, _) => Step::StayLost,
            _ => {
                self.contact = Contact::Lost;
                Step::Lose
            }
        }
    }

    /// Records an answered call; returns whether the store was lost until then.
    pub fn answered(&mut self) -> bool {
        std::mem::take(&mut self.contact) == Contact::Lost
    }
}
