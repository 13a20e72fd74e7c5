//! Backend servers that failed and have not shown themselves alive since.

use std::collections::BTreeMap;

use crate::pipeline::liveness::Evidence;
use crate::pipeline::local_health::LocalHealth;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// The first pause before a suspect is asked again.
///
/// A crashed backend server registers anew under another name, so waiting costs only those that
/// are alive; a few hundred milliseconds keep a server that reset one connection in use.
const FIRST_PAUSE: Span = Span(200);
/// The longest pause of one that asks alone; a suspect that left is taken off the list by its registration.
const LONGEST_PAUSE: Span = Span(1_600);

/// How many other entries must suspect a server for it to be avoided on their word: one that is cut off or wrong
/// accuses all.
const CREDIBLE: u64 = 2;

/// How long a server must have been suspected to count as ended; it is asked again in that time.
const ENDED: Span = Span(500);
/// How long before a server is suspected it was asked: an answer is waited for for a tenth of a second, a
/// connection for less than half.
const ASKED: Span = Span(500);

/// How long a server must have been suspected for its layers to be placed anew: it was asked twice more.
pub const REPLACE_AFTER: Span = Span(800);
/// The same where no other entry suspects it: it was asked four times more.
pub const REPLACE_AFTER_ALONE: Span = Span(2_000);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    since: Instant,
    ask_at: Instant,
    pause: Span,
    /// Nobody listens at its address.
    is_absent: bool,
}

/// Who is suspected.
///
/// The registrations lag by seconds: a crashed server stays listed for three heartbeats. A request
/// that finds a server dead therefore books it here, and the next ones go elsewhere until the
/// server has answered a question.
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
    /// When an answer last broke off that a server was giving.
    broken: BTreeMap<Incarnation, Instant>,
}

impl Suspicion {
    /// Books a failure; `true` when the server was not suspected before.
    pub fn suspect(&mut self, now: Instant, server: &Incarnation) -> bool {
        if self.suspects.contains_key(server) {
            return false;
        }
        let suspect = Suspect {
            since: now,
            ask_at: now.plus(FIRST_PAUSE),
            pause: FIRST_PAUSE,
            is_absent: false,
        };
        self.suspects.insert(server.clone(), suspect);
        true
    }

    /// Tells whether a server is suspected.
    #[must_use]
    pub fn is_suspected(&self, server: &Incarnation) -> bool {
        self.suspects.contains_key(server)
    }

    /// Returns who is suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Incarnation> {
        self.suspects.keys()
    }

    /// Takes how many other entries suspect which servers; returns those of whom nobody had told before.
    ///
    /// Words do not make a suspect: one entry that is cut off, late or wrong accuses all servers, and would have all
    /// others leave them. Whoever has requests at a server that others suspect asks it; the rest prefer others
    /// while it is so. A suspect that others trust again is asked at once, so that one entry's question serves all.
    pub fn set_peer_reports(
        &mut self,
        now: Instant,
        reports: BTreeMap<Incarnation, u64>,
    ) -> Vec<Incarnation> {
        let before = std::mem::replace(&mut self.peer_reports, reports);
        for (server, suspect) in &mut self.suspects {
            if before.contains_key(server) && !self.peer_reports.contains_key(server) {
                suspect.ask_at = now;
            }
        }
        let fresh = self
            .peer_reports
            .keys()
            .filter(|server| !before.contains_key(*server));
        fresh.cloned().collect()
    }

    /// Returns how many other entries suspect a server.
    #[must_use]
    pub fn peer_reports(&self, server: &Incarnation) -> u64 {
        self.peer_reports.get(server).copied().unwrap_or(0)
    }

    /// Tells whether so many other entries suspect a server that it is to be avoided.
    #[must_use]
    pub fn is_widely_suspected(&self, server: &Incarnation) -> bool {
        self.peer_reports(server) >= CREDIBLE
    }

    /// Returns when a server came under suspicion last.
    #[must_use]
    pub fn newest(&self) -> Option<Instant> {
        self.suspects.values().map(|suspect| suspect.since).max()
    }

    /// Books that a suspected server's address refuses connections, which no lateness of this process explains.
    pub fn set_refusing(&mut self, server: &Incarnation) {
        if let Some(suspect) = self.suspects.get_mut(server) {
            suspect.is_absent = true;
        }
    }

    /// Tells whether a suspected server's address refuses connections.
    #[must_use]
    pub fn is_refusing(&self, server: &Incarnation) -> bool {
        self.suspects
            .get(server)
            .is_some_and(|suspect| suspect.is_absent)
    }

    /// Books that an answer which a server was giving broke off by itself.
    pub fn connection_broken(&mut self, now: Instant, server: &Incarnation) {
        self.broken.insert(server.clone(), now);
    }

    /// Returns why a suspected server counts as ended, if it does.
    ///
    /// It was asked again in vain, this process was on time itself from the first question on, and reached others
    /// meanwhile. An entry whose link is full finds all servers silent. Took it them for ended, a request would run on
    /// one more server than its route allows, while the one that was given up goes on with it.
    ///
    /// Or it refuses connections, and an answer that it was giving broke off since. One that leaves as planned refuses
    /// new connections seconds before it exits and serves on those that it has: what only refuses may live. The
    /// connections of one that died have all ended.
    #[must_use]
    pub fn evidence(
        &self,
        now: Instant,
        server: &Incarnation,
        local_health: &LocalHealth,
    ) -> Option<Evidence> {
        let suspect = self.suspects.get(server)?;
        if now.since(suspect.since) < ENDED {
            return None;
        }
        let asked = Instant(suspect.since.0.saturating_sub(ASKED.0));
        if suspect.is_absent {
            let broke = self.broken.get(server).is_some_and(|broke| *broke >= asked);
            return broke.then_some(Evidence::Refuses);
        }
        let was_sound =
            !local_health.was_delayed(asked, now) && local_health.was_connected(suspect.since);
        was_sound.then_some(Evidence::Silent)
    }

    /// Tells whether a suspected server's layers are to be placed anew.
    ///
    /// A planner on a link that loses packets finds servers silent that all others reach. Were their layers given to
    /// others for that, requests would be refused until those have loaded, and nothing was gone. So silence counts if
    /// this process was on time and reached others, and soon only if another entry found the same. A server that
    /// refuses connections takes no request, whatever becomes of it.
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
        let lasts = now.since(suspect.since);
        if suspect.is_absent {
            return lasts >= REPLACE_AFTER;
        }
        let is_silent = self.evidence(now, server, local_health).is_some();
        let is_shared = self.peer_reports(server) > 0;
        is_silent
            && lasts
                >= if is_shared {
                    REPLACE_AFTER
                } else {
                    REPLACE_AFTER_ALONE
                }
    }

    /// Returns the suspects to ask now; each is due again after a longer pause.
    ///
    /// The pauses grow with the number of others who ask as well, so that a suspect is asked as often by a hundred
    /// entries as by one.
    pub fn due(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut due = Vec::new();
        for (server, suspect) in &mut self.suspects {
            if suspect.ask_at > now {
                continue;
            }
            let others = self.peer_reports.get(server).copied().unwrap_or(0);
            suspect.pause = Span((suspect.pause.0 * 2).min(LONGEST_PAUSE.0));
            suspect.ask_at = now.plus(Span(suspect.pause.0 * (1 + others)));
            due.push(server.clone());
        }
        due
    }

    /// Takes a server that answered off the list; returns how long it was on it.
    pub fn clear(&mut self, server: &Incarnation) -> Option<Instant> {
        self.suspects.remove(server).map(|suspect| suspect.since)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.suspects.retain(|server, _| keep(server));
        self.broken.retain(|server, _| keep(server));
    }
}
