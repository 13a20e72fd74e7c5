//! Quarantines requests, and parts of prompts, that crash the backend servers that run them.
//!
//! A server that crashes ends everything that it runs, so each of its requests may be the cause, and
//! each part of their prompts ([`features`]). Every entry records which of these had only just begun
//! on a server that ended ([`suspects`]) and which lived ([`survivors`], [`lives`]), and shares these
//! records with the others. What several servers ended under, and whose ends nothing else explains
//! (`judge`), is quarantined: no entry sends a request with it to a server again.

pub mod features;
mod judge;
pub mod lives;
mod records;
pub mod run;
pub mod survivors;
pub mod suspects;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pipeline::digest::Digest;
use crate::pipeline::digest::Kind;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

use features::Features;
use lives::Life;
use lives::Lives;
use lives::Tally;
use records::Finding;
use records::Records;
use run::End;
use run::Run;
use survivors::Survivors;
use suspects::Suspects;

pub use records::MAX_QUARANTINED;
pub use records::Source;

/// How long after the first event of a run the end of its server may still be due to it. A server
/// crashes within some 0.1 s of the beginning, and a busy entry sees this later.
pub const BEGINNING: Span = Span(300);
/// How long after its first event a run is known to have survived its beginning. Longer than
/// [`BEGINNING`], so that a request that crashes servers late is not cleared by mistake.
pub const SURVIVAL: Span = Span(2_000);

/// How long after the loss of a run its server may be found ended for both to count as one failure.
const SETTLE_WINDOW: Span = Span(1_000);
/// The most lost runs that wait for the state of their servers, far more than one crash ends.
const MAX_LOST: usize = 1_024;
/// How long an entry reports what it found out itself. Reports are repeated within a second, and
/// the store keeps what is in quarantine.
const REPORT_FOR: Span = Span(10_000);
/// The most parts per report on which runs lived, those with the most ends.
const MAX_REPORTED_LIVES: usize = 64;

/// A run that was lost, while it is unknown whether its server ended.
#[derive(Clone, Debug)]
struct Lost {
    run: Run,
    at: Instant,
}

/// What an entry knows about requests and parts of prompts that crash servers.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// # use jujube_core::pipeline::quarantine::Quarantine;
/// # use jujube_core::pipeline::quarantine::run::Run;
/// # use jujube_core::time::Instant;
/// let (mut quarantine, digest) = (Quarantine::default(), Digest(7));
/// for server in ["a", "b"] {
///     let (sent, server) = (Instant(0), server.into());
///     let run = Run { features: digest.into(), server, sent, began: None, may_be_complete: false };
///     quarantine.lost(Instant(50), run);
///     quarantine.settle(Instant(50), |_| true);
/// }
/// quarantine.receive(Instant(200), digest, &"c".into());
/// assert_eq!(quarantine.evaluate(Instant(200)), [digest]);
/// assert!(quarantine.contains(digest));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    lost: Vec<Lost>,
    suspects: Suspects,
    survivors: Survivors,
    /// The survivors that were answered well.
    answered: Survivors,
    lives: Lives,
    /// The recent runs of other entries.
    others: Tally,
    records: Records,
}

impl Quarantine {
    /// Records that a run was lost.
    ///
    /// A run that had survived its beginning is ignored: it did not crash its server.
    pub fn lost(&mut self, now: Instant, run: Run) {
        if run.began.is_some_and(|began| now.since(began) > BEGINNING) {
            return;
        }
        let is_known = self.lost.iter().any(|lost| lost.run == run);
        let is_full = self.lost.len() >= MAX_LOST;
        if is_known || is_full || self.survivors.contains(run.features.request) {
            return;
        }
        self.lost.push(Lost { run, at: now });
    }

    /// Records the lost runs whose servers have ended; returns these. A run that may be complete was if
    /// its server has not ended for a while.
    pub fn settle(
        &mut self,
        now: Instant,
        has_ended: impl Fn(&Incarnation) -> bool,
    ) -> Vec<(Features, End)> {
        let (mut ended, mut complete) = (Vec::new(), Vec::new());
        for lost in std::mem::take(&mut self.lost) {
            if has_ended(&lost.run.server) {
                ended.push(lost.run);
            } else if now.since(lost.at) <= SETTLE_WINDOW {
                self.lost.push(lost);
            } else if lost.run.may_be_complete {
                complete.push(lost.run);
            }
        }
        let ended = ended.into_iter();
        let ended = ended.map(|run| self.record_own_end(now, run)).collect();
        // After the ends, which clear nothing: what survives is no suspect.
        for run in complete {
            self.survived(run.features.request);
            self.lived(now, run.sent, run.features.parts());
        }
        ended
    }

    fn record_own_end(&mut self, now: Instant, run: Run) -> (Features, End) {
        self.suspects.record_loss(now, &run.server);
        let end = self.record_own_end_under(now, run.features.request, &run);
        for part in run.features.parts() {
            self.record_own_end_under(now, *part, &run);
        }
        (run.features, end)
    }

    fn record_own_end_under(&mut self, now: Instant, digest: Digest, run: &Run) -> End {
        let earlier = self.suspects.earlier_ends(digest, &run.server, run.sent);
        let server = run.server.clone();
        let end = End { server, earlier };
        if self.record_if_quarantined(now, digest, &end) {
            self.records.ended_here(now, digest, &end);
        } else {
            let lived = self.lives.total();
            self.suspects.ended_here(now, digest, &end, lived);
        }
        end
    }

    /// Applies another entry's report that a server ended under a request or a part.
    pub fn receive(&mut self, now: Instant, digest: Digest, end: &End) {
        if !self.survivors.contains(digest) && !self.record_if_quarantined(now, digest, end) {
            let lived = self.lives.total();
            self.suspects.ended(now, digest, end, lived);
        }
    }

    /// Records that a server ended under a digest, if that is in quarantine; returns whether it is.
    fn record_if_quarantined(&mut self, now: Instant, digest: Digest, end: &End) -> bool {
        let is_quarantined = self.records.ended(digest, end);
        if is_quarantined {
            self.suspects.explain(now, end.server.clone());
        }
        is_quarantined
    }

    /// Records that a request did not end the server that ran it, however it was answered.
    pub fn survived(&mut self, request: Digest) {
        self.survivors.insert(request);
        self.suspects.remove(request);
        self.lost
            .retain(|lost| lost.run.features.request != request);
    }

    /// Records that a request was answered well, or survived its beginning on a server. Returns whether it
    /// was in quarantine, which it leaves: the servers that ended under it ended for another reason.
    pub fn answered(&mut self, request: Digest) -> bool {
        self.survived(request);
        self.answered.insert(request);
        let was_quarantined = self.records.remove(request);
        if was_quarantined {
            self.records.remove_from_store(request);
        }
        was_quarantined
    }

    /// Records that a server wrote for longer than [`BEGINNING`], or to the end, on the parts of a
    /// request that was sent to it at an instant.
    pub fn lived(&mut self, now: Instant, sent: Instant, parts: &[Digest]) {
        if parts.is_empty() {
            return;
        }
        self.lives.insert(now, parts);
        self.suspects.lived(now, sent, parts);
    }

    /// Applies what other entries report of runs on a part that lived.
    pub fn receive_life(&mut self, part: Digest, life: Life) {
        self.suspects.lived_elsewhere(part, life);
    }

    /// Applies how many recent runs of other entries lived and were lost.
    pub fn receive_runs(&mut self, others: Tally) {
        self.others = others;
    }

    /// Returns how many recent runs of this entry lived and were lost, while others may judge parts.
    #[must_use]
    pub fn reported_runs(&self, now: Instant) -> Tally {
        if !self.suspects.has_recent(now, REPORT_FOR, Kind::Part) {
            return Tally::default();
        }
        Tally {
            lived: self.lives.recent(now),
            lost: self.suspects.recent_losses(),
        }
    }

    /// Returns what this entry reports to others of runs that lived, on parts under which servers
    /// ended.
    #[must_use]
    pub fn reported_lives(&self, now: Instant) -> BTreeMap<Digest, Life> {
        let recent = self.suspects.recent(now, REPORT_FOR, Kind::Part);
        let lived = recent
            .into_iter()
            .filter(|(part, _)| self.lives.contains(*part));
        let lives = lived.map(|(part, suspect)| match suspect.has_lived_since {
            true => (part, Life::Since),
            false => (part, Life::Before),
        });
        lives.take(MAX_REPORTED_LIVES).collect()
    }

    /// Quarantines what must have crashed servers; returns what was added.
    pub fn evaluate(&mut self, now: Instant) -> Vec<Digest> {
        self.suspects.expire(now);
        let mut added = Vec::new();
        loop {
            let culprits = self.culprits(now);
            if culprits.is_empty() {
                return added;
            }
            for digest in culprits {
                if self.insert(now, digest, Source::Own, now) {
                    added.push(digest);
                }
            }
        }
    }

    fn culprits(&self, now: Instant) -> Vec<Digest> {
        let quarantined = self.records.ends();
        judge::culprits(now, &self.suspects, &self.lives, self.others, &quarantined)
    }

    /// Quarantines a request or a part; returns whether it was not in quarantine before. Unless
    /// another entry does so first, it is written to the store at `store_at`.
    ///
    /// A request that was answered well here is not quarantined, and is removed from the store if another entry
    /// wrote it there.
    pub fn insert(
        &mut self,
        now: Instant,
        digest: Digest,
        source: Source,
        store_at: Instant,
    ) -> bool {
        if self.answered.contains(digest) {
            // Nor is it judged again, or the search for culprits would not end.
            self.suspects.remove(digest);
            if source == Source::Store {
                self.records.remove_from_store(digest);
            }
            return false;
        }
        if self.records.contains(digest) {
            if source == Source::Store {
                self.records.stored(digest);
            }
            return false;
        }
        let (ends, own) = self.suspects.remove(digest);
        for end in &ends {
            self.suspects.explain(now, end.server.clone());
        }
        let finding = Finding {
            source,
            ends,
            own,
            store_at,
        };
        self.records.insert(now, digest, finding);
        true
    }

    /// Releases a request or a part, because an operator removed it from the store.
    pub fn release(&mut self, digest: Digest) -> bool {
        self.records.remove(digest)
    }

    /// Returns whether a request or a part is in quarantine.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.records.contains(digest)
    }

    /// Returns why a request may be sent to no server: what of it is in quarantine.
    #[must_use]
    pub fn cause(&self, features: &Features) -> Option<Digest> {
        features.iter().find(|digest| self.contains(*digest))
    }

    /// Returns the number of requests and parts in quarantine.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Returns the ends of servers that are known under what is in quarantine.
    pub fn ends(&self, digest: Digest) -> impl Iterator<Item = &End> {
        self.records.ends_under(digest)
    }

    /// Returns the ends that this entry saw and reports to others.
    ///
    /// Those under digests in quarantine are among them: others would blame the parts of requests that
    /// come beside for ends that they cannot explain.
    #[must_use]
    pub fn own_ends(&self, now: Instant) -> BTreeMap<End, BTreeSet<Digest>> {
        let mut reported = self.suspects.own(now, REPORT_FOR);
        for (end, digest) in self.records.own_ends(now) {
            reported.entry(end).or_default().insert(digest);
        }
        reported
    }

    /// Returns the requests and parts in quarantine to report to others.
    #[must_use]
    pub fn reported(&self, now: Instant) -> BTreeSet<Digest> {
        self.records.reported(now)
    }

    /// Returns the requests and parts that this entry is to write to the store now.
    #[must_use]
    pub fn unstored(&self, now: Instant) -> Vec<Digest> {
        self.records.unstored(now)
    }

    /// Records that a request or a part in quarantine is in the store.
    pub fn stored(&mut self, digest: Digest) {
        self.records.stored(digest);
    }

    /// Records which requests and parts a snapshot of the store contains; the others are written again
    /// at `store_at`, unless another entry does so first.
    pub fn replaced(&mut self, contained: &BTreeSet<Digest>, store_at: Instant) {
        self.records.replaced(contained, store_at);
    }

    /// Returns the requests and parts that left the quarantine and may still be in the store.
    pub fn take_evicted(&mut self) -> Vec<Digest> {
        self.records.take_evicted()
    }
}
