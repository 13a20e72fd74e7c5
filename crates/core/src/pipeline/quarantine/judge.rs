//! Which request or part of prompts must have crashed the servers that ended under it.
//!
//! A request is judged by the ends under it alone: it is one of many, and its caller is one. A part
//! may be in half of all prompts, so it is judged as in a sequential test, by the runs on it that
//! lived as well: one that crashes each server that begins to write on it has none. Of the parts that
//! may be to blame, the one that fits the ends best is, and explains those of requests.

use std::collections::BTreeSet;

use crate::pipeline::cell::MAX_REPORT_AGE;
use crate::pipeline::digest::Digest;
use crate::pipeline::digest::Kind;
use crate::time::Instant;
use crate::time::Span;

use super::lives::Life;
use super::lives::Lives;
use super::lives::Tally;
use super::run::End;
use super::suspects::Suspect;
use super::suspects::Suspects;

/// The number of ends at which a digest is the culprit if no other one explains them.
pub(super) const MIN_ENDS: usize = 3;
/// The number of ends at which a digest is the culprit although another one shares all of them.
const MAX_ENDS: usize = 5;
/// How many more ends than any one request, and beside those of each digest in quarantine, a part must
/// have: the ends of one request are no reason to refuse others.
const MIN_ENDS_BESIDE: usize = 2;
/// The runs that must have lived at an entry, or at all, before it blames parts: by then the parts that
/// most prompts share are known to live.
const MIN_LIVES: u64 = 10;
/// At how many moments servers must have ended under a part on which runs lived before. A rack ends
/// at one, also under parts that are sent often.
const MIN_WAVES: u64 = 5;
/// The logarithm of the least likelihood ratio, some 10,000, at which a part is blamed on which no run
/// lived: as many parts are seen in some hours.
const MIN_LOG_LIKELIHOOD_RATIO: f64 = 9.2;
/// The fit of a part with one end and one lost run.
const FIT_UNIT: u64 = 1_000;
/// How long after the first end under a part others have told of the runs on it that lived: their
/// reports answer one that has to reach them first, and one may be lost.
const REPORTS_ARE_IN: Span = Span(3 * MAX_REPORT_AGE.0);

/// Returns what must have crashed servers: a request, or a part and those that nothing tells from it.
///
/// `others` are the recent runs of other entries, `quarantined` the ends under what is in quarantine.
pub(super) fn culprits(
    now: Instant,
    suspects: &Suspects,
    lives: &Lives,
    others: Tally,
    quarantined: &[&BTreeSet<End>],
) -> Vec<Digest> {
    let case = Case {
        now,
        suspects,
        lives,
        others,
    };
    let blamable = case.blamable();
    // Parts first: they explain the ends of the requests that have them.
    let culprits = culprit_parts(now, suspects, &blamable, quarantined);
    if !culprits.is_empty() {
        return culprits;
    }
    let culprit = culprit_request(now, suspects, &blamable);
    culprit.into_iter().collect()
}

/// Returns a request that must have crashed servers.
///
/// Several servers must have ended under it, at least one of them as this entry saw itself, and
/// no other request may share all of these ends. Requests that lose one server after another
/// beside a culprit share ends with it, but rarely all of them. Such a request stays at one
/// entry, which may not have received the culprit's ends at others yet: a suspect all of whose
/// ends this entry saw is judged once their reports are in.
///
/// A part that is about to be blamed, and has more ends, holds back the requests that come beside it.
fn culprit_request(
    now: Instant,
    suspects: &Suspects,
    blamable: &[(Digest, &Suspect)],
) -> Option<Digest> {
    let mut candidates = suspects.of(Kind::Request).filter(|(_, suspect)| {
        let ends = suspect.ends.len();
        let is_known_elsewhere = suspect.own.len() < ends;
        let due_for = suspect.due_since.map(|since| now.since(since));
        let are_reports_in = due_for.is_some_and(|span| span >= MAX_REPORT_AGE);
        let is_due = is_known_elsewhere || are_reports_in;
        ends >= MIN_ENDS && !suspect.own.is_empty() && is_due
    });
    let is_shared = |digest: Digest, suspect: &Suspect| {
        let mut others = suspects
            .of(Kind::Request)
            .filter(|(other, _)| *other != digest);
        let mut parts = blamable.iter();
        let is_beside = |part: &Suspect| {
            part.ends.len() > suspect.ends.len() && !part.ends.is_disjoint(&suspect.ends)
        };
        others.any(|(_, other)| suspect.ends.is_subset(&other.ends))
            || parts.any(|(_, part)| is_beside(part))
    };
    let culprit = candidates
        .find(|(digest, suspect)| suspect.ends.len() >= MAX_ENDS || !is_shared(*digest, suspect));
    culprit.map(|(digest, _)| digest)
}

/// Returns a part that must have crashed servers, or several that nothing tells apart.
fn culprit_parts(
    now: Instant,
    suspects: &Suspects,
    blamable: &[(Digest, &Suspect)],
    quarantined: &[&BTreeSet<End>],
) -> Vec<Digest> {
    let Some(best) = blamable.iter().map(|(_, suspect)| fit(suspect)).max() else {
        return Vec::new();
    };
    let culprits: Vec<(Digest, &Suspect)> = blamable
        .iter()
        .copied()
        .filter(|(_, suspect)| fit(suspect) == best)
        .collect();
    // Where nothing tells several apart up to this number of ends, each is as likely.
    let is_clear = culprits.len() == 1 || culprits[0].1.ends.len() >= MAX_ENDS;
    let is_due = |(_, suspect): &(Digest, &Suspect)| {
        let is_own = !suspect.own.is_empty();
        is_own && now.since(suspect.first) >= REPORTS_ARE_IN
    };
    let most = suspects
        .of(Kind::Request)
        .map(|(_, request)| request.all_ends());
    let most = most.max().unwrap_or(0);
    let is_beside_others = |(_, suspect): &(Digest, &Suspect)| {
        let ends = &suspect.ends;
        let mut quarantined = quarantined.iter();
        let beside = MIN_ENDS_BESIDE;
        ends.len() >= most + beside
            && quarantined.all(|known| ends.difference(known).count() >= beside)
    };
    let culprits = culprits.into_iter().filter(|_| is_clear);
    let culprits = culprits.filter(is_due).filter(is_beside_others);
    culprits.map(|(part, _)| part).collect()
}

/// Returns how well a part explains ends, as a number to compare: the ends, times those per lost run.
///
/// Each end speaks for a part. Each further run that was lost with it speaks against: the first one
/// would have crashed the server before many others began there. So of a deadly part and the one that
/// all prompts share, which have much the same ends, the first fits better.
fn fit(suspect: &Suspect) -> u64 {
    let ends = suspect.ends.len() as u64;
    ends * ends * FIT_UNIT / suspect.losses()
}

/// What parts are judged by.
struct Case<'a> {
    now: Instant,
    suspects: &'a Suspects,
    lives: &'a Lives,
    /// The recent runs of other entries.
    others: Tally,
}

impl Case<'_> {
    /// Returns the parts that may be to blame: those on which no run lived, or, if there are none, those
    /// on which none has lived since the first end.
    fn blamable(&self) -> Vec<(Digest, &Suspect)> {
        let parts = self.suspects.of(Kind::Part);
        let (lived, unknown): (Vec<_>, Vec<_>) =
            parts.partition(|(part, suspect)| self.has_lived(*part, suspect));
        let deadly = unknown.into_iter();
        let deadly = deadly.filter(|(_, suspect)| self.is_deadly(suspect));
        let deadly: Vec<(Digest, &Suspect)> = deadly.collect();
        if !deadly.is_empty() {
            return deadly;
        }
        let deadly = lived.into_iter();
        let deadly = deadly.filter(|(_, suspect)| self.has_become_deadly(suspect));
        deadly.collect()
    }

    fn has_lived(&self, part: Digest, suspect: &Suspect) -> bool {
        self.lives.contains(part) || suspect.life_elsewhere.is_some()
    }

    /// Returns whether the ends under a part on which no run lived are those of a part that crashes
    /// each server.
    fn is_deadly(&self, suspect: &Suspect) -> bool {
        let ends = suspect.ends.len();
        let recent = self.lives.recent(self.now);
        ends >= MIN_ENDS && self.is_likely(suspect, ends as u64, recent)
    }

    /// Returns whether the servers that begin on a part that lived before have crashed ever since the
    /// first end under it.
    fn has_become_deadly(&self, suspect: &Suspect) -> bool {
        let has_lived_since =
            suspect.has_lived_since || suspect.life_elsewhere == Some(Life::Since);
        let lived = self.lives.total() - suspect.lived_before;
        let waves = suspect.waves.min(suspect.ends.len() as u64);
        !has_lived_since && waves >= MIN_WAVES && self.is_likely(suspect, waves, lived)
    }

    /// Returns whether it is far more likely that servers ended `ends` times if a part crashes each of
    /// them than if it crashes none, where `lived` runs beside it lived at this entry.
    ///
    /// A run on a harmless part is lost as often as those beside it. Where servers crash all the
    /// time for other reasons, a part that is rarely sent may lose all of its runs by chance.
    fn is_likely(&self, suspect: &Suspect, ends: u64, lived: u64) -> bool {
        let Some(runs) = self.runs_beside(suspect, lived) else {
            return false;
        };
        -runs.loss_rate().ln() * ends as f64 >= MIN_LOG_LIKELIHOOD_RATIO
    }

    /// Returns the runs to compare with: those of this entry beside the ends of a part, or, where
    /// callers send too few here to tell anything, those of all entries.
    ///
    /// How many runs others lost beside these ends is estimated from those that this entry lost.
    fn runs_beside(&self, suspect: &Suspect, lived: u64) -> Option<Tally> {
        let lost_beside = self.suspects.losses_beside(suspect);
        if self.lives.total() >= MIN_LIVES {
            return Some(Tally {
                lived,
                lost: lost_beside,
            });
        }
        let own_lost = self.suspects.recent_losses();
        let mut all = self.others;
        all.add(Tally {
            lived: self.lives.recent(self.now),
            lost: own_lost,
        });
        all.lost = all.lost * (lost_beside + 1) / (own_lost + 1);
        Some(all).filter(|all| all.lived >= MIN_LIVES)
    }
}
