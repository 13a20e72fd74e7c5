//! The requests and parts of prompts under which servers ended at the beginning of runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::digest::Digest;
use crate::pipeline::digest::Kind;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

use super::lives::Life;
use super::lives::RECENT;
use super::run::End;

/// How long an end counts after the latest one under the same digest.
const TTL: Span = Span(600_000);
/// How long after the latest end under a part a run that lives clears it: longer than entries report
/// an end, so that none of those that it is cleared of comes again.
const CLEARED_AFTER: Span = Span(15_000);
/// How far apart two ends are learned at different moments: entries report an end within this time.
const WAVE: Span = Span(200);
/// The most suspects. Those with the fewest ends leave first; only crashes of servers add any.
const MAX_SUSPECTS: usize = 1_024;
/// The most ends per report for each kind, those of the suspects with the most ends.
const MAX_REPORTED: usize = 64;

/// What is known of a request or a part under which servers ended.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// The ends that no digest in quarantine explains.
    pub(super) ends: BTreeSet<End>,
    /// The ends that one explains.
    explained: BTreeSet<End>,
    /// The unexplained ends that this entry saw itself, and when.
    pub(super) own: BTreeMap<End, Instant>,
    /// How many runs this entry lost with them.
    losses: u64,
    /// When this entry learned of the first end.
    pub(super) first: Instant,
    /// When it learned of the latest end.
    pub(super) latest: Instant,
    /// At how many moments it learned of ends, and when the latest of them was.
    pub(super) waves: u64,
    latest_wave: Instant,
    /// When enough servers had ended under a request to judge it.
    pub(super) due_since: Option<Instant>,
    /// How many runs had lived at this entry when it learned of the first end.
    pub(super) lived_before: u64,
    /// Whether runs on the part lived here since the first end.
    pub(super) has_lived_since: bool,
    /// What other entries report of runs on the part that lived.
    pub(super) life_elsewhere: Option<Life>,
}

impl Suspect {
    fn new(now: Instant, lived_before: u64) -> Self {
        Self {
            ends: BTreeSet::new(),
            explained: BTreeSet::new(),
            own: BTreeMap::new(),
            losses: 0,
            first: now,
            latest: now,
            waves: 1,
            latest_wave: now,
            due_since: None,
            lived_before,
            has_lived_since: false,
            life_elsewhere: None,
        }
    }

    /// Records when this entry learned of an end.
    fn learned(&mut self, now: Instant) {
        self.latest = now;
        if now.since(self.latest_wave) >= WAVE {
            self.latest_wave = now;
            self.waves += 1;
        }
    }

    /// Returns the number of ends, explained or not.
    pub(super) fn all_ends(&self) -> usize {
        self.ends.len() + self.explained.len()
    }

    /// Records that a digest in quarantine explains the end of a server.
    fn explain(&mut self, server: &Incarnation) {
        let ends = std::mem::take(&mut self.ends).into_iter();
        let (explained, ends) = ends.partition(|end| end.server == *server);
        self.ends = ends;
        self.explained.extend::<BTreeSet<End>>(explained);
        self.own.retain(|end, _| end.server != *server);
    }

    /// Returns the least number of runs that were lost with the ends.
    pub(super) fn losses(&self) -> u64 {
        self.losses.max(self.ends.len() as u64)
    }
}

/// The runs that this entry lost with the end of a server.
#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Instant,
    runs: u64,
}

/// The digests under which servers ended, and these servers.
///
/// Ends are a set for each digest, so that reports may arrive repeatedly, late and by
/// several ways. A crash is explained by the digest that was quarantined for it, and no longer
/// counts for the other requests that the server ran. It does for parts, each of which is compared
/// with all that is in quarantine: one that was blamed by mistake must not hide the one that is guilty.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_digest: BTreeMap<Digest, Suspect>,
    /// The servers whose ends a digest in quarantine explains.
    explained: BTreeMap<Incarnation, Instant>,
    /// The servers that ended recently under runs of this entry.
    losses: BTreeMap<Incarnation, Loss>,
}

impl Suspects {
    /// Returns how often a server ended under a digest before a run was sent there, as far as this
    /// entry saw.
    ///
    /// Runs that were on their way or in progress when a server ended are lost with the same end.
    #[must_use]
    pub fn earlier_ends(&self, digest: Digest, server: &Incarnation, sent: Instant) -> u32 {
        let suspect = self.by_digest.get(&digest);
        let own = suspect.into_iter().flat_map(|suspect| &suspect.own);
        let earlier = own.filter(|(end, at)| end.server == *server && **at < sent);
        earlier.count() as u32
    }

    /// Records that a server ended under a digest, as this entry saw; `lived` runs have lived here.
    pub fn ended_here(&mut self, now: Instant, digest: Digest, end: &End, lived: u64) {
        self.ended(now, digest, end, lived);
        if let Some(suspect) = self.by_digest.get_mut(&digest) {
            suspect.own.entry(end.clone()).or_insert(now);
            suspect.losses += 1;
        }
    }

    /// Records that this entry lost a run with the end of a server.
    pub fn record_loss(&mut self, now: Instant, server: &Incarnation) {
        let loss = self.losses.entry(server.clone());
        let loss = loss.or_insert(Loss { at: now, runs: 0 });
        loss.runs += 1;
    }

    /// Returns how many runs this entry lost recently.
    #[must_use]
    pub fn recent_losses(&self) -> u64 {
        self.losses.values().map(|loss| loss.runs).sum()
    }

    /// Returns how many runs this entry lost recently with servers that ended under other digests.
    pub(super) fn losses_beside(&self, suspect: &Suspect) -> u64 {
        let is_beside = |server: &Incarnation| suspect.ends.iter().all(|end| end.server != *server);
        let beside = self.losses.iter().filter(|(server, _)| is_beside(server));
        beside.map(|(_, loss)| loss.runs).sum()
    }

    /// Records that a server ended under a digest; `lived` runs have lived at this entry.
    pub fn ended(&mut self, now: Instant, digest: Digest, end: &End, lived: u64) {
        let is_explained = self.explained.contains_key(&end.server);
        if is_explained && digest.kind() == Kind::Request {
            if let Some(suspect) = self.by_digest.get_mut(&digest) {
                suspect.explained.insert(end.clone());
            }
            return;
        }
        let suspect = self.by_digest.entry(digest);
        let suspect = suspect.or_insert_with(|| Suspect::new(now, lived));
        if suspect.ends.insert(end.clone()) {
            suspect.learned(now);
        }
        if suspect.ends.len() >= super::judge::MIN_ENDS {
            suspect.due_since.get_or_insert(now);
        }
        if self.by_digest.len() > MAX_SUSPECTS {
            self.evict(digest);
        }
    }

    fn evict(&mut self, added: Digest) {
        let others = self
            .by_digest
            .iter()
            .filter(|(digest, _)| **digest != added);
        let least = others.min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.latest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.by_digest.remove(&digest);
        }
    }

    /// Records that a run on some parts, sent at an instant, lived.
    pub fn lived(&mut self, now: Instant, sent: Instant, parts: &[Digest]) {
        for part in parts {
            let Some(suspect) = self.by_digest.get_mut(part) else {
                continue;
            };
            suspect.has_lived_since |= sent >= suspect.first;
            if suspect.has_lived_since && now.since(suspect.latest) > CLEARED_AFTER {
                self.by_digest.remove(part);
            }
        }
    }

    /// Records what other entries report of runs on a part that lived.
    pub fn lived_elsewhere(&mut self, part: Digest, life: Life) {
        if let Some(suspect) = self.by_digest.get_mut(&part) {
            suspect.life_elsewhere = suspect.life_elsewhere.max(Some(life));
        }
    }

    /// Removes a digest; returns the ends of servers under it, and those that this entry saw and when.
    pub fn remove(&mut self, digest: Digest) -> (BTreeSet<End>, BTreeMap<End, Instant>) {
        let suspect = self.by_digest.remove(&digest);
        suspect
            .map(|suspect| (suspect.ends, suspect.own))
            .unwrap_or_default()
    }

    /// Records that a digest in quarantine explains the end of a server.
    pub fn explain(&mut self, now: Instant, server: Incarnation) {
        let suspects = self.by_digest.iter_mut();
        let requests = suspects.filter(|(digest, _)| digest.kind() == Kind::Request);
        requests.for_each(|(_, suspect)| suspect.explain(&server));
        self.explained.insert(server, now);
    }

    /// Drops ends that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.by_digest
            .retain(|_, suspect| now.since(suspect.latest) <= TTL);
        self.explained.retain(|_, at| now.since(*at) <= TTL);
        self.losses.retain(|_, loss| now.since(loss.at) <= RECENT);
    }

    /// Returns the suspects of a kind.
    pub(super) fn of(&self, kind: Kind) -> impl Iterator<Item = (Digest, &Suspect)> {
        let of_kind = self.by_digest.iter();
        of_kind
            .filter(move |(digest, _)| digest.kind() == kind)
            .map(|(digest, suspect)| (*digest, suspect))
    }

    /// Returns whether servers ended under a suspect of a kind in the last `span`.
    pub(super) fn has_recent(&self, now: Instant, span: Span, kind: Kind) -> bool {
        let mut suspects = self.of(kind);
        suspects.any(|(_, suspect)| now.since(suspect.latest) <= span)
    }

    /// Returns the suspects of a kind under which servers ended in the last `span`, those with the
    /// most ends first.
    pub(super) fn recent(&self, now: Instant, span: Span, kind: Kind) -> Vec<(Digest, &Suspect)> {
        let suspects = self.of(kind);
        let mut recent: Vec<(Digest, &Suspect)> = suspects
            .filter(|(_, suspect)| now.since(suspect.latest) <= span)
            .collect();
        recent.sort_by_key(|(_, suspect)| Reverse((suspect.ends.len(), suspect.latest)));
        recent
    }

    /// Returns the ends of the last `span` that this entry saw, of the suspects of each kind with the
    /// most ends if there are too many for a report.
    #[must_use]
    pub fn own(&self, now: Instant, span: Span) -> BTreeMap<End, BTreeSet<Digest>> {
        let mut reported: BTreeMap<End, BTreeSet<Digest>> = BTreeMap::new();
        for kind in [Kind::Request, Kind::Part] {
            let recent = self.recent(now, span, kind).into_iter();
            // Of a part that lives, others have to know the ends last.
            let (lived, unknown): (Vec<_>, Vec<_>) =
                recent.partition(|(_, suspect)| suspect.has_lived_since);
            let pairs = unknown.into_iter().chain(lived);
            let pairs = pairs.flat_map(|(digest, suspect)| {
                let own = suspect.own.keys();
                own.map(move |end| (end.clone(), digest))
            });
            for (end, digest) in pairs.take(MAX_REPORTED) {
                reported.entry(end).or_default().insert(digest);
            }
        }
        reported
    }
}
