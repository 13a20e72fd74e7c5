//! Tracks backend servers that recently refused a request.

use std::collections::BTreeMap;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long a server counts as full after a first refusal: about the time in which one of its
/// requests ends.
const FIRST_DURATION: Span = Span(200);
/// The longest time for which a server counts as full. A draining server refuses permanently, and
/// nothing else shows this while the store is unavailable.
const MAX_DURATION: Span = Span(3_200);

/// A server whose last refusal counts for at least this long is leaving: it refused four times in a
/// row, over 1.5 s. A server that is only full accepts a request whenever another one ends.
const LEAVING_DURATION: Span = Span(1_600);

/// The minimum remaining time in another entry's report for its server to count as leaving; longer
/// than any shorter refusal counts.
const REPORTED_LEAVING_DURATION: Span = Span(801);

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    duration: Span,
}

/// The servers that refused, and until when each counts as full.
///
/// A server that is out of memory, drains or unloads layers refuses requests at once. Each refusal
/// costs a retry, so entries report refusals to each other, and the receivers send that server
/// nothing for the same time.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::refusals::Refusals;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut refusals = Refusals::default();
/// assert!(refusals.refused(Instant(0), &"a".into()));
/// assert!(refusals.contains(Instant(100), &"a".into()));
/// assert!(!refusals.contains(Instant(200), &"a".into()));
/// refusals.receive(Instant(300), "b".into(), Span(150));
/// assert!(refusals.contains(Instant(400), &"b".into()));
/// assert_eq!(refusals.own(Instant(400)).count(), 0, "received reports are not relayed");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    own: BTreeMap<Incarnation, Refusal>,
    reported: BTreeMap<Incarnation, Instant>,
}

impl Refusals {
    /// Records that a server refused a request; each refusal soon after the previous one counts
    /// twice as long. Returns `false` if the server already counts as full.
    pub fn refused(&mut self, now: Instant, server: &Incarnation) -> bool {
        self.own
            .retain(|_, refusal| refusal.until.plus(MAX_DURATION) > now);
        let duration = match self.own.get(server) {
            Some(refusal) if refusal.until > now => return false,
            Some(refusal) => Span((refusal.duration.0 * 2).min(MAX_DURATION.0)),
            None => FIRST_DURATION,
        };
        let until = now.plus(duration);
        self.own.insert(server.clone(), Refusal { until, duration });
        true
    }

    /// Applies another entry's report that a server refused; `duration` is the time for which it
    /// still counts there.
    pub fn receive(&mut self, now: Instant, server: Incarnation, duration: Span) {
        self.reported.retain(|_, until| *until > now);
        let until = now.plus(duration.min(MAX_DURATION));
        self.reported.insert(server, until);
    }

    /// Returns the refusals to report to other entries.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Span)> {
        let left = self
            .own
            .iter()
            .map(move |(server, refusal)| (server, refusal.until.since(now)));
        left.filter(|(_, left)| left.0 > 0)
    }

    /// Records that a server accepted a request.
    pub fn took(&mut self, server: &Incarnation) {
        self.own.remove(server);
        self.reported.remove(server);
    }

    /// Returns whether a server has refused everything for so long that it is assumed to be
    /// leaving.
    ///
    /// While the store is unavailable, nothing else shows that a server is leaving, and another
    /// server should load its layers before it exits. A refusal that was not repeated for some
    /// seconds no longer counts.
    #[must_use]
    pub fn is_leaving(&self, now: Instant, server: &Incarnation) -> bool {
        let is_lasting = |refusal: &&Refusal| {
            refusal.duration >= LEAVING_DURATION && refusal.until.plus(MAX_DURATION) > now
        };
        let own = self.own.get(server).filter(is_lasting);
        let reported = self.reported.get(server);
        own.is_some() || reported.is_some_and(|until| until.since(now) >= REPORTED_LEAVING_DURATION)
    }

    /// Returns whether a server recently refused a request.
    #[must_use]
    pub fn contains(&self, now: Instant, server: &Incarnation) -> bool {
        let own = self.own.get(server).map(|refusal| refusal.until);
        let until = own.max(self.reported.get(server).copied());
        until.is_some_and(|until| until > now)
    }
}
