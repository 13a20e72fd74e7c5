//! The requests and parts of prompts in quarantine, and which of them the store has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::pipeline::digest::Digest;
use crate::time::Instant;

use super::REPORT_FOR;
use super::run::End;

/// The most digests in quarantine; the oldest ones leave it first. Only crashes of servers add any, so
/// callers cannot push others out at will.
pub const MAX_QUARANTINED: usize = 256;
/// The most digests in quarantine per report; more are read from the store.
const MAX_REPORTED: usize = 32;

/// Where an entry learned that a request or a part is in quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It decided so itself.
    Own,
    /// Another entry reported it.
    Report,
    /// It is in the store.
    Store,
}

/// The value of `source=` in logs.
impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Own => "own",
            Self::Report => "report",
            Self::Store => "store",
        })
    }
}

/// A request or a part in quarantine.
#[derive(Clone, Debug)]
struct Record {
    at: Instant,
    /// The ends of servers under it, as far as known.
    ends: BTreeSet<End>,
    /// Those that this entry saw itself, and when.
    own: BTreeMap<End, Instant>,
    is_own: bool,
    is_stored: bool,
    /// When it is written to the store unless another entry has done so.
    store_at: Instant,
}

/// What an entry learned when a digest was quarantined.
#[derive(Clone, Debug)]
pub(super) struct Finding {
    pub(super) source: Source,
    /// The ends of servers under it, as far as known.
    pub(super) ends: BTreeSet<End>,
    /// Those that this entry saw itself, and when.
    pub(super) own: BTreeMap<End, Instant>,
    /// When it is written to the store unless another entry does so first.
    pub(super) store_at: Instant,
}

/// The requests and parts in quarantine.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    by_digest: BTreeMap<Digest, Record>,
    /// Those that left the quarantine, until they are removed from the store.
    evicted: Vec<Digest>,
}

impl Records {
    pub(super) fn contains(&self, digest: Digest) -> bool {
        self.by_digest.contains_key(&digest)
    }

    pub(super) fn len(&self) -> usize {
        self.by_digest.len()
    }

    /// Adds a digest; the oldest other one leaves if there are too many.
    pub(super) fn insert(&mut self, now: Instant, digest: Digest, finding: Finding) {
        let record = Record {
            at: now,
            ends: finding.ends,
            own: finding.own,
            is_own: finding.source == Source::Own,
            is_stored: finding.source == Source::Store,
            store_at: finding.store_at,
        };
        self.by_digest.insert(digest, record);
        if self.by_digest.len() > MAX_QUARANTINED {
            self.evict(digest);
        }
    }

    fn evict(&mut self, added: Digest) {
        let records = self.by_digest.iter();
        let others = records.filter(|(digest, _)| **digest != added);
        let oldest = others.min_by_key(|(_, record)| record.at);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.by_digest.remove(&digest);
            self.evicted.push(digest);
        }
    }

    /// Has a digest that is not in quarantine removed from the store.
    pub(super) fn remove_from_store(&mut self, digest: Digest) {
        self.evicted.push(digest);
    }

    /// Removes a digest; returns whether it was in quarantine.
    pub(super) fn remove(&mut self, digest: Digest) -> bool {
        self.by_digest.remove(&digest).is_some()
    }

    /// Records that a server ended under a digest, if that is in quarantine; returns whether it is.
    pub(super) fn ended(&mut self, digest: Digest, end: &End) -> bool {
        let record = self.by_digest.get_mut(&digest);
        record.is_some_and(|record| {
            record.ends.insert(end.clone());
            true
        })
    }

    /// Records that this entry saw the end of a server under a digest in quarantine.
    pub(super) fn ended_here(&mut self, now: Instant, digest: Digest, end: &End) {
        if let Some(record) = self.by_digest.get_mut(&digest) {
            record.own.insert(end.clone(), now);
        }
    }

    /// Returns the known ends under each digest.
    pub(super) fn ends(&self) -> Vec<&BTreeSet<End>> {
        let records = self.by_digest.values();
        records.map(|record| &record.ends).collect()
    }

    /// Returns the known ends under a digest.
    pub(super) fn ends_under(&self, digest: Digest) -> impl Iterator<Item = &End> {
        let record = self.by_digest.get(&digest);
        record.into_iter().flat_map(|record| &record.ends)
    }

    /// Returns the recent ends that this entry saw.
    pub(super) fn own_ends(&self, now: Instant) -> impl Iterator<Item = (End, Digest)> {
        let recent = self.by_digest.iter().flat_map(move |(digest, record)| {
            let own = record.own.iter();
            let recent = own.filter(move |(_, at)| now.since(**at) <= REPORT_FOR);
            recent.map(|(end, _)| (end.clone(), *digest))
        });
        recent.take(MAX_REPORTED)
    }

    /// Returns the digests to report to others: those that this entry quarantined, and those that an
    /// entry which starts cannot read from the store.
    pub(super) fn reported(&self, now: Instant) -> BTreeSet<Digest> {
        let is_recent = |record: &Record| record.is_own && now.since(record.at) <= REPORT_FOR;
        let is_reported = |record: &Record| is_recent(record) || !record.is_stored;
        let records = self.by_digest.iter();
        let reported = records.filter(|(_, record)| is_reported(record));
        let reported = reported.map(|(digest, _)| *digest);
        reported.take(MAX_REPORTED).collect()
    }

    /// Returns the digests that this entry is to write to the store now.
    pub(super) fn unstored(&self, now: Instant) -> Vec<Digest> {
        let is_due = |record: &Record| !record.is_stored && record.store_at <= now;
        let due = self.by_digest.iter().filter(|(_, record)| is_due(record));
        due.map(|(digest, _)| *digest).collect()
    }

    /// Records that a digest is in the store.
    pub(super) fn stored(&mut self, digest: Digest) {
        if let Some(record) = self.by_digest.get_mut(&digest) {
            record.is_stored = true;
        }
    }

    /// Records which digests a snapshot of the store contains; the others are written again at
    /// `store_at`.
    pub(super) fn replaced(&mut self, contained: &BTreeSet<Digest>, store_at: Instant) {
        for (digest, record) in &mut self.by_digest {
            if record.is_stored && !contained.contains(digest) {
                record.is_stored = false;
                record.store_at = store_at;
            }
        }
    }

    /// Returns the digests that left the quarantine and may still be in the store.
    pub(super) fn take_evicted(&mut self) -> Vec<Digest> {
        std::mem::take(&mut self.evicted)
    }
}
