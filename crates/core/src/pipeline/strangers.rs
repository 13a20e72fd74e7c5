//! Registrations whose addresses belong to other processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// When the address of a stranger is asked for the first time who is there.
const FIRST_PAUSE: Span = Span(1_000);
/// The longest pause between two questions.
const MAX_PAUSE: Span = Span(64_000);
/// The shortest pause between two questions that requests turned away give rise to.
const ASK_INTERVAL: Span = Span(1_000);

#[derive(Clone, Copy, Debug)]
struct Question {
    at: Instant,
    pause: Span,
}

/// The registered servers at whose addresses other processes answer.
///
/// Each request to such a server is turned away and costs a retry, however often it is tried. It
/// gets none until its registration changes, or a health check shows that it is there. The checks
/// become rarer, because a registration may be wrong for good.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::strangers::Strangers;
/// # use jujube_core::time::Instant;
/// let mut strangers = Strangers::default();
/// assert!(strangers.turned_away(Instant(0), &"a".into()));
/// assert!(!strangers.turned_away(Instant(10), &"a".into()), "it is known");
/// assert!(strangers.due(Instant(999)).is_empty());
/// assert_eq!(strangers.due(Instant(1_000)), ["a".into()]);
/// assert!(strangers.due(Instant(2_999)).is_empty());
/// assert!(strangers.found(&"a".into()));
/// assert!(!strangers.contains(&"a".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Strangers {
    known: BTreeMap<Incarnation, Question>,
    /// Servers at whose addresses another process answered, whatever their registrations have said
    /// since.
    refuted: BTreeSet<Incarnation>,
    /// Servers that turned a request away, and when they were asked who they are.
    asked: BTreeMap<Incarnation, Instant>,
}

impl Strangers {
    /// Records that another process answered at the address of a server. Returns `false` if that is
    /// known.
    pub fn turned_away(&mut self, now: Instant, server: &Incarnation) -> bool {
        if self.contains(server) {
            return false;
        }
        self.refuted.insert(server.clone());
        let question = Question {
            at: now.plus(FIRST_PAUSE),
            pause: FIRST_PAUSE,
        };
        self.known.insert(server.clone(), question);
        true
    }

    /// Returns whether a server that turned a request away is to be asked who it is; it then counts
    /// as asked.
    pub fn may_ask(&mut self, now: Instant, server: &Incarnation) -> bool {
        self.asked.retain(|_, at| now.since(*at) < ASK_INTERVAL);
        if self.contains(server) || self.asked.contains_key(server) {
            return false;
        }
        self.asked.insert(server.clone(), now);
        true
    }

    /// Returns whether another process answers at the address of a server.
    #[must_use]
    pub fn contains(&self, server: &Incarnation) -> bool {
        self.known.contains_key(server)
    }

    /// Returns the servers whose addresses are to be asked now, and sets when they are asked next.
    pub fn due(&mut self, now: Instant) -> Vec<Incarnation> {
        let due = self
            .known
            .iter_mut()
            .filter(|(_, question)| question.at <= now);
        let due = due.map(|(server, question)| {
            question.pause = Span((question.pause.0 * 2).min(MAX_PAUSE.0));
            question.at = now.plus(question.pause);
            server.clone()
        });
        due.collect()
    }

    /// Returns whether another process has answered at the address of a server, which has not been found
    /// there since.
    #[must_use]
    pub fn is_refuted(&self, server: &Incarnation) -> bool {
        self.refuted.contains(server)
    }

    /// Records that a server is at its address. Returns whether it was taken for a stranger.
    pub fn found(&mut self, server: &Incarnation) -> bool {
        self.refuted.remove(server);
        self.changed(server)
    }

    /// Records that the registration of a server has changed. Returns whether it was taken for a
    /// stranger.
    pub fn changed(&mut self, server: &Incarnation) -> bool {
        self.known.remove(server).is_some()
    }

    /// Records that a server is registered at another address.
    pub fn moved(&mut self, server: &Incarnation) {
        self.found(server);
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, is_registered: impl Fn(&Incarnation) -> bool) {
        self.known.retain(|server, _| is_registered(server));
        self.refuted.retain(is_registered);
    }
}
