//! Which idle connections to servers are kept, and for how long.

use std::collections::BTreeMap;

use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// Maximum idle connections per server.
const MAX_EACH: usize = 64;
/// How long an idle connection is kept if its server states no time.
const DEFAULT_TIME: Span = Span(4_000);
/// How long before the time that the server states a connection is closed, so that no request races
/// with the server's close.
const CLOSE_MARGIN: Span = Span(800);
/// How long an idle connection is kept at most, whatever its server states.
const MAX_TIME: Span = Span(600_000);

/// Returns how long to keep an idle connection whose server states some seconds, or none; `None` if it
/// is not worth it.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::idle::keep_time;
/// # use jujube_core::time::Span;
/// assert_eq!(keep_time(Some(5)), Some(Span(4_200)));
/// assert_eq!(keep_time(None), Some(Span(3_200)));
/// assert_eq!(keep_time(Some(0)), None);
/// assert_eq!(keep_time(Some(u64::MAX)), Some(Span(599_200)));
/// ```
#[must_use]
pub fn keep_time(stated: Option<u64>) -> Option<Span> {
    let stated = stated.map(|seconds| Span(seconds.saturating_mul(1_000)));
    let time = stated.unwrap_or(DEFAULT_TIME).min(MAX_TIME);
    let time = Span(time.0.saturating_sub(CLOSE_MARGIN.0));
    (time.0 > 0).then_some(time)
}

#[derive(Clone, Debug)]
struct Kept<C> {
    connection: C,
    expires_at: Instant,
    /// The number of connections that became idle before it.
    number: u64,
}

/// Idle connections by server, the one that was used last at the end.
///
/// Each server's few are bounded, and so is their sum: with thousands of servers they would take more
/// memory than the machine has, and all its descriptors.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::idle::Idle;
/// # use jujube_core::time::Instant;
/// let mut idle = Idle::new(2);
/// for (server, connection) in [("a", 1), ("b", 2), ("b", 3)] {
///     idle.keep(&server.into(), connection, Instant(4_000));
/// }
/// assert_eq!(idle.take(Instant(0), &"a".into(), |_| true, |_| true), None, "it was idle the longest");
/// assert_eq!(idle.take(Instant(0), &"b".into(), |_| true, |_| true), Some(3));
/// assert_eq!(idle.take(Instant(4_000), &"b".into(), |_| true, |_| true), None, "it has expired");
/// ```
#[derive(Clone, Debug)]
pub struct Idle<C> {
    by_server: BTreeMap<Incarnation, Vec<Kept<C>>>,
    max: usize,
    count: usize,
    number: u64,
}

impl<C> Idle<C> {
    /// Creates a table for at most `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            by_server: BTreeMap::new(),
            max,
            count: 0,
            number: 0,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// Sets the most connections, and closes those that have been idle the longest beyond it.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::idle::Idle;
    /// # use jujube_core::time::Instant;
    /// let mut idle = Idle::new(2);
    /// idle.keep(&"a".into(), 1, Instant(4_000));
    /// idle.keep(&"a".into(), 2, Instant(4_000));
    /// idle.set_max(1);
    /// assert_eq!(idle.count(), 1);
    /// assert_eq!(idle.take(Instant(0), &"a".into(), |_| true, |_| true), Some(2));
    /// ```
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
        while self.count > max {
            self.close_oldest();
        }
    }

    /// Keeps a connection, in place of the one that has been idle the longest if there are too many.
    pub fn keep(&mut self, server: &Incarnation, connection: C, expires_at: Instant) {
        let known = self.by_server.get(server).map_or(0, Vec::len);
        if known >= MAX_EACH {
            return;
        }
        if self.count >= self.max {
            self.close_oldest();
        }
        self.number += 1;
        self.count += 1;
        let kept = Kept {
            connection,
            expires_at,
            number: self.number,
        };
        self.by_server.entry(server.clone()).or_default().push(kept);
    }

    fn close_oldest(&mut self) {
        let firsts = self
            .by_server
            .iter()
            .filter_map(|(server, kept)| Some((kept.first()?.number, server)));
        let Some((_, server)) = firsts.min() else {
            return;
        };
        let server = server.clone();
        let mut is_first = true;
        self.retain_of(&server, |_| !std::mem::take(&mut is_first));
    }

    /// Takes the connection to a server that was used last, of those that may carry what is to be sent.
    /// Closes those beside it that have expired or are of no use.
    pub fn take(
        &mut self,
        now: Instant,
        server: &Incarnation,
        is_usable: impl Fn(&C) -> bool,
        may_carry: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let kept = self.by_server.get_mut(server)?;
        for number in (0..kept.len()).rev() {
            let Kept {
                connection,
                expires_at,
                ..
            } = &kept[number];
            if *expires_at <= now || !is_usable(connection) {
                kept.remove(number);
                self.count -= 1;
            } else if may_carry(connection) {
                self.count -= 1;
                return Some(kept.remove(number).connection);
            }
        }
        None
    }

    /// Keeps only the connections to a server for which `keep` returns `true`; returns whether any was
    /// closed.
    pub fn retain_of(&mut self, server: &Incarnation, mut keep: impl FnMut(&C) -> bool) -> bool {
        let Some(kept) = self.by_server.get_mut(server) else {
            return false;
        };
        let before = kept.len();
        kept.retain(|kept| keep(&kept.connection));
        let closed = before - kept.len();
        if kept.is_empty() {
            self.by_server.remove(server);
        }
        self.count -= closed;
        closed > 0
    }

    /// Closes the connections that have expired, that are of no use, or whose server is gone.
    pub fn expire(
        &mut self,
        now: Instant,
        is_usable: impl Fn(&C) -> bool,
        is_registered: impl Fn(&Incarnation) -> bool,
    ) {
        self.by_server.retain(|server, kept| {
            kept.retain(|kept| kept.expires_at > now && is_usable(&kept.connection));
            !kept.is_empty() && is_registered(server)
        });
        self.count = self.by_server.values().map(Vec::len).sum();
    }
}
