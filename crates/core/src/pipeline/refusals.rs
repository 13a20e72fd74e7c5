//! Backend servers that refused a request a moment ago.

use std::collections::BTreeMap;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long a server that refused a request counts as full at first: one of the users' requests ends
/// about that often at each server.
const FULL: Span = Span(200);
/// How long it counts as full at most. A server that drains refuses for good, and while the store is
/// away nothing else says so.
const LONGEST_FULL: Span = Span(3_200);

/// From how long a refusal is believed the server counts as leaving: four in a row, over a second and a
/// half, in which it took nothing. One that is merely full takes a request whenever another ends.
const LEAVING: Span = Span(1_600);

/// The same of another entry's word, which tells how much longer it believes a refusal: more than any
/// shorter one lasts.
const HEARD_LEAVING: Span = Span(801);

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    lasts: Span,
}

/// Who refused, and until when that is believed.
///
/// A server that is out of memory, drains or gives up layers refuses at once what is sent to it. Each
/// refusal costs a retry, so an entry that meets one tells the others, which then send nothing there
/// for as long as it does not itself.
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
/// assert_eq!(refusals.own(Instant(400)).count(), 0, "what was heard is not told on");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    own: BTreeMap<Incarnation, Refusal>,
    heard: BTreeMap<Incarnation, Instant>,
}

impl Refusals {
    /// Books that a server refused a request; each refusal soon after the last one counts twice as
    /// long. Returns whether that is news.
    pub fn refused(&mut self, now: Instant, server: &Incarnation) -> bool {
        self.own
            .retain(|_, refusal| refusal.until.plus(LONGEST_FULL) > now);
        let lasts = match self.own.get(server) {
            Some(refusal) if refusal.until > now => return false,
            Some(refusal) => Span((refusal.lasts.0 * 2).min(LONGEST_FULL.0)),
            None => FULL,
        };
        let until = now.plus(lasts);
        self.own.insert(server.clone(), Refusal { until, lasts });
        true
    }

    /// Takes another entry's word that a server refused, and for how much longer it believes that.
    pub fn receive(&mut self, now: Instant, server: Incarnation, lasts: Span) {
        self.heard.retain(|_, until| *until > now);
        let until = now.plus(lasts.min(LONGEST_FULL));
        self.heard.insert(server, until);
    }

    /// Returns what to tell the others.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Span)> {
        let left = self
            .own
            .iter()
            .map(move |(server, refusal)| (server, refusal.until.since(now)));
        left.filter(|(_, left)| left.0 > 0)
    }

    /// Books that a server took a request.
    pub fn took(&mut self, server: &Incarnation) {
        self.own.remove(server);
        self.heard.remove(server);
    }

    /// Tells whether a server has refused everything for so long that it must be leaving.
    ///
    /// While the store is away nothing else tells that a server leaves. It refuses what is new, and later
    /// it is gone with its layers; by then another server should hold them. A refusal that nobody has met
    /// again for some seconds says nothing of now.
    #[must_use]
    pub fn is_leaving(&self, now: Instant, server: &Incarnation) -> bool {
        let lasts_still =
            |refusal: &&Refusal| refusal.lasts >= LEAVING && refusal.until.plus(LONGEST_FULL) > now;
        let own = self.own.get(server).filter(lasts_still);
        let heard = self.heard.get(server);
        own.is_some() || heard.is_some_and(|until| until.since(now) >= HEARD_LEAVING)
    }

    /// Tells whether a server refused a request a moment ago.
    #[must_use]
    pub fn contains(&self, now: Instant, server: &Incarnation) -> bool {
        let own = self.own.get(server).map(|refusal| refusal.until);
        let until = own.max(self.heard.get(server).copied());
        until.is_some_and(|until| until > now)
    }
}
