//! Tracks backend servers that failed and have not answered since.

mod suspect;

use std::collections::BTreeMap;

use crate::pipeline::liveness::Evidence;
use crate::pipeline::local_health::LocalHealth;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

use suspect::Suspect;
use suspect::is_past;

/// The longest delay for an entry that checks alone. A suspect that left is removed with its
/// registration.
const MAX_DELAY: Span = Span(1_600);

/// How many other entries must suspect a server for it to be avoided. A single entry that is
/// partitioned or faulty suspects all servers.
const MIN_PEER_REPORTS: u64 = 2;

/// How long a server that refuses connections must be suspected to count as ended; it is checked
/// again in that time.
const ENDED_AFTER: Span = Span(500);
/// How long a response from a suspected server may have been on its way when the suspicion began.
const MAX_RESPONSE_AGE: Span = Span(200);
/// The shortest time between two requests that are sent to any suspected server.
const TRIAL_INTERVAL: Span = Span(500);
/// How long a server must be suspected before its layers are replaced; it is checked twice in that
/// time.
pub const REPLACE_AFTER: Span = Span(800);
/// How long a server that no other entry suspects must be suspected before its layers are replaced;
/// it is checked four times in that time.
pub const REPLACE_AFTER_ALONE: Span = Span(2_000);

/// The suspected servers.
///
/// Registrations lag by seconds: a crashed server stays listed for three heartbeats. A request that
/// finds a server dead therefore records it here, and later requests use other servers until it
/// answers a health check.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::suspicion::Suspicion;
/// # use jujube_core::time::Instant;
/// let mut suspicion = Suspicion::default();
/// assert!(suspicion.suspect(Instant(0), &"a".into()));
/// assert!(suspicion.is_suspected(&"a".into()));
/// assert_eq!(suspicion.due(Instant(200)), vec!["a".into()]);
/// suspicion.clear(&"a".into());
/// assert!(!suspicion.is_suspected(&"a".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    suspects: BTreeMap<Incarnation, Suspect>,
    /// How many other entries suspect a server.
    peer_reports: BTreeMap<Incarnation, u64>,
    /// When a response from a server last broke off.
    broken: BTreeMap<Incarnation, Instant>,
    /// When a request was last sent to a suspected server.
    last_trial: Option<Instant>,
}

impl Suspicion {
    /// Records a failure; returns `true` if the server was not suspected before.
    pub fn suspect(&mut self, now: Instant, server: &Incarnation) -> bool {
        if self.suspects.contains_key(server) {
            return false;
        }
        self.suspects.insert(server.clone(), Suspect::new(now));
        true
    }

    /// Returns whether a server is suspected.
    #[must_use]
    pub fn is_suspected(&self, server: &Incarnation) -> bool {
        self.suspects.contains_key(server)
    }

    /// Returns how long a suspected server may take to answer a check: as long as it has been suspected.
    ///
    /// A sound server may always be slow to answer one, and no check that ends sooner shows that it is
    /// sound.
    #[must_use]
    pub fn patience(&self, now: Instant, server: &Incarnation) -> Span {
        let suspect = self.suspects.get(server).copied();
        suspect.unwrap_or(Suspect::new(now)).patience(now)
    }

    /// Returns whether a request may be sent to a suspected server that cannot be served without it.
    ///
    /// Its answer is evidence that no check gives. Requests to servers that have ended are served late
    /// or not at all, so few are sent.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::suspicion::Suspicion;
    /// # use jujube_core::time::Instant;
    /// let mut suspicion = Suspicion::default();
    /// suspicion.suspect(Instant(0), &"a".into());
    /// assert!(!suspicion.may_try(Instant(1_000), &"a".into()), "it may be silent for a moment");
    /// assert!(suspicion.may_try(Instant(1_500), &"a".into()));
    /// suspicion.tried(Instant(1_500), [&"a".into()]);
    /// assert!(!suspicion.may_try(Instant(6_000), &"a".into()));
    /// assert!(suspicion.may_try(Instant(6_500), &"a".into()));
    /// ```
    #[must_use]
    pub fn may_try(&self, now: Instant, server: &Incarnation) -> bool {
        let suspect = self.suspects.get(server);
        is_past(now, self.last_trial, TRIAL_INTERVAL)
            && suspect.is_some_and(|suspect| suspect.may_be_tried(now))
    }

    /// Records that a request is sent to servers, some of which are suspected.
    pub fn tried<'a>(&mut self, now: Instant, servers: impl IntoIterator<Item = &'a Incarnation>) {
        self.last_trial = Some(now);
        for server in servers {
            if let Some(suspect) = self.suspects.get_mut(server) {
                suspect.tried = Some(now);
            }
        }
    }

    /// Records that a response from a server arrived, or a part of one, which ends a suspicion unless the
    /// response may be older; returns since when the server was suspected.
    ///
    /// A server that refuses connections serves its requests to their end, and takes no others.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::suspicion::Suspicion;
    /// # use jujube_core::time::Instant;
    /// let mut suspicion = Suspicion::default();
    /// suspicion.suspect(Instant(0), &"a".into());
    /// assert_eq!(suspicion.responded(Instant(100), &"a".into()), None);
    /// assert_eq!(suspicion.responded(Instant(200), &"a".into()), Some(Instant(0)));
    /// assert!(!suspicion.is_suspected(&"a".into()));
    /// ```
    pub fn responded(&mut self, now: Instant, server: &Incarnation) -> Option<Instant> {
        let suspect = self.suspects.get(server)?;
        let is_fresh = now.since(suspect.since) >= MAX_RESPONSE_AGE;
        if !is_fresh || suspect.is_refusing {
            return None;
        }
        self.clear(server)
    }

    /// Returns the suspected servers.
    pub fn suspects(&self) -> impl Iterator<Item = &Incarnation> {
        self.suspects.keys()
    }

    /// Sets how many other entries suspect which servers; returns those that were not reported
    /// before.
    ///
    /// Reports alone do not make a suspect: an entry that is partitioned, delayed or faulty
    /// suspects all servers, and would make the others avoid them. An entry with requests at a
    /// reported server checks it; the others prefer other servers meanwhile. A suspect that is no
    /// longer reported is checked at once, so that one entry's check serves all.
    pub fn set_peer_reports(
        &mut self,
        now: Instant,
        reports: BTreeMap<Incarnation, u64>,
    ) -> Vec<Incarnation> {
        let before = std::mem::replace(&mut self.peer_reports, reports);
        for (server, suspect) in &mut self.suspects {
            if before.contains_key(server) && !self.peer_reports.contains_key(server) {
                suspect.check_at = now;
            }
        }
        let added = self
            .peer_reports
            .keys()
            .filter(|server| !before.contains_key(*server));
        added.cloned().collect()
    }

    /// Returns how many other entries suspect a server.
    #[must_use]
    pub fn peer_reports(&self, server: &Incarnation) -> u64 {
        self.peer_reports.get(server).copied().unwrap_or(0)
    }

    /// Returns whether enough other entries suspect a server for it to be avoided.
    #[must_use]
    pub fn is_widely_suspected(&self, server: &Incarnation) -> bool {
        self.peer_reports(server) >= MIN_PEER_REPORTS
    }

    /// Returns when the latest suspect was added.
    #[must_use]
    pub fn newest(&self) -> Option<Instant> {
        self.suspects.values().map(|suspect| suspect.since).max()
    }

    /// Records that a suspected server left another check unanswered.
    pub fn check_failed(&mut self, now: Instant, server: &Incarnation) {
        if let Some(suspect) = self.suspects.get_mut(server) {
            suspect.last_failed = now;
        }
    }

    /// Records that a suspected server's address refuses connections, which a delay of this process
    /// cannot cause.
    pub fn set_refusing(&mut self, server: &Incarnation) {
        if let Some(suspect) = self.suspects.get_mut(server) {
            suspect.is_refusing = true;
        }
    }

    /// Returns whether a suspected server's address refuses connections.
    #[must_use]
    pub fn is_refusing(&self, server: &Incarnation) -> bool {
        self.suspects
            .get(server)
            .is_some_and(|suspect| suspect.is_refusing)
    }

    /// Records that a response from a server broke off.
    pub fn connection_broken(&mut self, now: Instant, server: &Incarnation) {
        self.broken.insert(server.clone(), now);
    }

    /// Returns the evidence that a suspected server has ended, if any.
    ///
    /// A server that refuses connections counts as ended if a response from it also broke off. A
    /// planned exit refuses new connections seconds before it ends, and serves the open ones;
    /// refusal alone is no evidence. Silence alone is none either: a sound server may be suspended
    /// and go on.
    #[must_use]
    pub fn evidence(&self, now: Instant, server: &Incarnation) -> Option<Evidence> {
        let suspect = self.suspects.get(server)?;
        if !suspect.is_refusing || now.since(suspect.since) < ENDED_AFTER {
            return None;
        }
        let broke = self.broken.get(server)?;
        (*broke >= suspect.checked_at()).then_some(Evidence::Refuses)
    }

    /// Returns since when a server has been silent, if it is.
    ///
    /// Silence counts only while this process was on time from the first check on and reached other
    /// servers. Otherwise an entry on a saturated link would find all servers silent.
    #[must_use]
    pub fn silent_since(
        &self,
        now: Instant,
        server: &Incarnation,
        local_health: &LocalHealth,
    ) -> Option<Instant> {
        let suspect = self.suspects.get(server)?;
        let was_healthy = !local_health.was_delayed(suspect.checked_at(), now)
            && local_health.was_connected(suspect.since);
        (was_healthy && !suspect.is_refusing).then_some(suspect.since)
    }

    /// Returns the evidence that a server whose registration was removed has ended, if any.
    #[must_use]
    pub fn evidence_unregistered(
        &self,
        now: Instant,
        server: &Incarnation,
        local_health: &LocalHealth,
    ) -> Option<Evidence> {
        match self.is_silent_beyond_pause(now, server, local_health) {
            true => Some(Evidence::Lapsed),
            false => self.evidence(now, server),
        }
    }

    /// Returns whether a server has been silent for longer than a sound one.
    fn is_silent_beyond_pause(
        &self,
        now: Instant,
        server: &Incarnation,
        local_health: &LocalHealth,
    ) -> bool {
        let suspect = self.suspects.get(server);
        let is_silent = self.silent_since(now, server, local_health).is_some();
        is_silent && suspect.is_some_and(Suspect::is_beyond_pause)
    }

    /// Returns whether a suspected server's layers are to be replaced.
    ///
    /// A planner on a lossy link finds servers silent that all others reach. Replacing their layers
    /// would refuse requests until other servers have loaded them, without need. Silence therefore
    /// counts only if this process was on time and reached other servers, and takes longer unless
    /// another entry confirms it. A server that refuses connections takes no requests in any case.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::local_health::LocalHealth;
    /// # use jujube_core::pipeline::suspicion::REPLACE_AFTER;
    /// # use jujube_core::pipeline::suspicion::Suspicion;
    /// # use jujube_core::time::Instant;
    /// # use jujube_core::time::Span;
    /// let mut suspicion = Suspicion::default();
    /// suspicion.suspect(Instant(0), &"a".into());
    /// let (local_health, now) = (LocalHealth::new(Span(25)), Instant(0).plus(REPLACE_AFTER));
    /// assert!(!suspicion.is_replaceable(now, &"a".into(), &local_health));
    /// suspicion.set_refusing(&"a".into());
    /// assert!(suspicion.is_replaceable(now, &"a".into(), &local_health));
    /// ```
    #[must_use]
    pub fn is_replaceable(
        &self,
        now: Instant,
        server: &Incarnation,
        local_health: &LocalHealth,
    ) -> bool {
        let Some(suspect) = self.suspects.get(server) else {
            return false;
        };
        let elapsed = now.since(suspect.since);
        if suspect.is_refusing {
            return elapsed >= REPLACE_AFTER;
        }
        let is_silent = self.silent_since(now, server, local_health).is_some();
        let is_confirmed = self.peer_reports(server) > 0;
        let required = if is_confirmed {
            REPLACE_AFTER
        } else {
            REPLACE_AFTER_ALONE
        };
        is_silent && elapsed >= required
    }

    /// Returns the suspects to check now, and schedules their next checks after longer delays.
    ///
    /// The delays grow with the number of other entries that check as well, so that a hundred
    /// entries check a suspect as often as one. Only the check after the longest silence of a sound
    /// server does not wait for the others: a server that has gone on is used again, and one that has
    /// not is known to be unsound before its registration expires.
    pub fn due(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut due = Vec::new();
        for (server, suspect) in &mut self.suspects {
            if suspect.check_at > now {
                continue;
            }
            let others = self.peer_reports.get(server).copied().unwrap_or(0);
            suspect.delay = Span((suspect.delay.0 * 2).min(MAX_DELAY.0));
            let next = now.plus(Span(suspect.delay.0 * (1 + others)));
            let decisive = Some(suspect.decisive_at()).filter(|decisive| now < *decisive);
            suspect.check_at = decisive.map_or(next, |decisive| next.min(decisive));
            due.push(server.clone());
        }
        due
    }

    /// Removes a server that answered; returns since when it was suspected.
    pub fn clear(&mut self, server: &Incarnation) -> Option<Instant> {
        self.suspects.remove(server).map(|suspect| suspect.since)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.suspects.retain(|server, _| keep(server));
        self.broken.retain(|server, _| keep(server));
    }
}
