//! Servers that said in a response that they are leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long a start that replaced a leaver gets no requests while it does not answer health checks.
const CONFIRM_TIMEOUT: Span = Span(2_000);

/// The starts of servers that said that they are leaving, and those of which this is unknown.
///
/// A server does not take its word back. Until its restart is known, the responses of the later
/// start are taken for those of the earlier one. If that one said that it is leaving, the later one
/// may have said so, and has to be asked before it gets requests.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::leavers::Leavers;
/// # use jujube_core::time::Instant;
/// let mut leavers = Leavers::default();
/// assert!(leavers.announced(&"a".into()));
/// leavers.replaced(Instant(0), &"a".into(), &"a-again".into());
/// assert!(leavers.is_unconfirmed(&"a-again".into()));
/// assert!(leavers.checked(Instant(10), &"a-again".into(), true));
/// assert!(!leavers.is_unconfirmed(&"a-again".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Leavers {
    announced: BTreeSet<Incarnation>,
    /// Starts that replaced a leaver, and since when.
    unconfirmed: BTreeMap<Incarnation, Instant>,
}

impl Leavers {
    /// Records that a server said that it is leaving. Returns `false` if that is known.
    pub fn announced(&mut self, incarnation: &Incarnation) -> bool {
        self.unconfirmed.remove(incarnation);
        self.announced.insert(incarnation.clone())
    }

    /// Returns whether a server said that it is leaving.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.announced.contains(incarnation)
    }

    /// Returns the servers that said that they are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &Incarnation> {
        self.announced.iter()
    }

    /// Records that a later start of a server replaced an earlier one.
    pub fn replaced(&mut self, now: Instant, earlier: &Incarnation, later: &Incarnation) {
        if self.contains(earlier) {
            self.unconfirmed.insert(later.clone(), now);
        }
    }

    /// Returns the starts that have to be asked whether they are leaving.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &Incarnation> {
        self.unconfirmed.keys()
    }

    /// Returns whether a start has to be asked.
    #[must_use]
    pub fn is_unconfirmed(&self, incarnation: &Incarnation) -> bool {
        self.unconfirmed.contains_key(incarnation)
    }

    /// Records whether a start answered a health check, in which it would have said that it is
    /// leaving. Returns whether it may get requests from now on.
    pub fn checked(&mut self, now: Instant, incarnation: &Incarnation, is_answered: bool) -> bool {
        let Some(since) = self.unconfirmed.get(incarnation) else {
            return false;
        };
        let is_over = is_answered || now.since(*since) >= CONFIRM_TIMEOUT;
        if is_over {
            self.unconfirmed.remove(incarnation);
        }
        is_over
    }

    /// Keeps only the starts that are still registered, and of leavers also those that departed
    /// recently.
    pub fn retain(
        &mut self,
        is_registered: impl Fn(&Incarnation) -> bool,
        has_departed: impl Fn(&Incarnation) -> bool,
    ) {
        self.announced
            .retain(|incarnation| is_registered(incarnation) || has_departed(incarnation));
        self.unconfirmed
            .retain(|incarnation, _| is_registered(incarnation));
    }
}
