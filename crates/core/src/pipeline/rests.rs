//! The rest that backend servers ask this entry for when they turn its requests away.

use std::collections::BTreeMap;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long the first request after a rest may stay unanswered before another one is sent.
const TRIAL_INTERVAL: Span = Span(500);

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    /// When the latest request after the rest was sent; no response to it is known.
    tried_at: Option<Instant>,
}

/// The servers that asked this entry for rest.
///
/// A server asks single entries, those that it turns away, so other entries are not told. After its
/// rest it gets one request, and more once it has responded: it may turn away all that would have
/// been sent meanwhile.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::rests::Rests;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let (mut rests, server) = (Rests::default(), "a".into());
/// rests.asked(Instant(0), &server, Span(3_000));
/// assert_eq!(rests.opens_at(&server), Instant(3_000));
/// rests.sent(Instant(3_100), &server);
/// assert_eq!(rests.opens_at(&server), Instant(3_600));
/// rests.answered(Instant(3_100), &server);
/// assert_eq!(rests.opens_at(&server), Instant(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rests(BTreeMap<Incarnation, Rest>);

impl Rests {
    /// Records that a server turned a request away and wants no others for a time.
    ///
    /// Each such response counts from its arrival, and the latest end counts: a response to an
    /// earlier request may ask for less.
    pub fn asked(&mut self, now: Instant, server: &Incarnation, rest: Span) {
        if rest == Span(0) {
            return;
        }
        let until = now.plus(rest);
        let known = self.0.get(server).map(|known| known.until);
        let rest = Rest {
            until: known.map_or(until, |known| known.max(until)),
            tried_at: None,
        };
        self.0.insert(server.clone(), rest);
    }

    /// Records a response, without a rest, to a request that was sent at `sent`. Returns whether
    /// the server counts as any other again.
    pub fn answered(&mut self, sent: Instant, server: &Incarnation) -> bool {
        let is_over = self.0.get(server).is_some_and(|rest| sent >= rest.until);
        if is_over {
            self.0.remove(server);
        }
        is_over
    }

    /// Records a request that is being sent to a server.
    pub fn sent(&mut self, now: Instant, server: &Incarnation) {
        if let Some(rest) = self.0.get_mut(server).filter(|rest| rest.until <= now) {
            rest.tried_at = Some(now);
        }
    }

    /// Moves a rest to the start of the server that was registered after `earlier`.
    ///
    /// While an entry does not know that a server has restarted, its responses are taken for those
    /// of the earlier start. A rest that the earlier start asked for costs the later one no more
    /// than that time.
    pub fn inherit(&mut self, earlier: &Incarnation, later: &Incarnation) {
        let Some(rest) = self.0.remove(earlier) else {
            return;
        };
        let known = self.0.get(later).map(|known| known.until);
        if known.is_none_or(|until| until < rest.until) {
            self.0.insert(later.clone(), rest);
        }
    }

    /// Returns when this entry may send the next request to a server, as far as its rest goes.
    #[must_use]
    pub fn opens_at(&self, server: &Incarnation) -> Instant {
        let Some(rest) = self.0.get(server) else {
            return Instant(0);
        };
        let next_trial = rest.tried_at.map(|tried| tried.plus(TRIAL_INTERVAL));
        next_trial.unwrap_or(rest.until)
    }

    /// Returns whether this entry may send a request to a server now, as far as its rest goes.
    #[must_use]
    pub fn is_open(&self, now: Instant, server: &Incarnation) -> bool {
        self.opens_at(server) <= now
    }

    /// Returns whether a server wants no requests now.
    #[must_use]
    pub fn contains(&self, now: Instant, server: &Incarnation) -> bool {
        self.0.get(server).is_some_and(|rest| now < rest.until)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.0.retain(|server, _| keep(server));
    }
}
