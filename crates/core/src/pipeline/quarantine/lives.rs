//! The parts of prompts on which servers wrote without crashing.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::pipeline::digest::Digest;
use crate::time::Instant;
use crate::time::Span;

/// The most remembered parts, those that lived last: the parts of an hour at an entry that sees a
/// new one every two seconds.
const MAX_PARTS: usize = 2_048;

/// How long runs that lived count as recent.
pub(super) const RECENT: Span = Span(60_000);
/// The time over which recent runs are counted together.
const BUCKET: Span = Span(1_000);

/// When a server was last seen to write on a part, compared with the first end under it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Life {
    /// Only on requests sent before that end.
    Before,
    /// On a request sent after that end.
    Since,
}

/// How many recent runs on prompts lived, and how many were lost with their servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// The runs that lived.
    pub lived: u64,
    /// The runs that were lost.
    pub lost: u64,
}

impl Tally {
    /// Adds the runs of other entries.
    pub fn add(&mut self, other: Self) {
        self.lived += other.lived;
        self.lost += other.lost;
    }

    /// Returns the share of runs that are lost, which is never quite zero.
    #[must_use]
    pub fn loss_rate(self) -> f64 {
        let (lived, lost) = (self.lived as f64, self.lost as f64);
        (lost + 1.0) / (lost + lived + 2.0)
    }
}

/// The parts of prompts that are known not to crash servers, as this entry saw.
///
/// Without this, the part that all prompts of a route share would be blamed for each crash.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// # use jujube_core::pipeline::quarantine::lives::Lives;
/// # use jujube_core::time::Instant;
/// let mut lives = Lives::default();
/// let part = Digest::of_part("5c1e07a2");
/// lives.insert(Instant(0), &[part]);
/// assert!(lives.contains(part));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lives {
    /// How many runs lived.
    total: u64,
    /// How many had when each second began.
    by_second: VecDeque<(Instant, u64)>,
    /// How many had when the latest one on each part did.
    by_part: BTreeMap<Digest, u64>,
}

impl Lives {
    /// Records that a run on some parts lived; forgets the part that lived longest ago if there are
    /// too many.
    pub fn insert(&mut self, now: Instant, parts: &[Digest]) {
        let latest = self.by_second.back();
        if latest.is_none_or(|(begin, _)| now.since(*begin) >= BUCKET) {
            self.by_second.push_back((now, self.total));
        }
        self.by_second
            .retain(|(begin, _)| now.since(*begin) <= RECENT);
        self.total += 1;
        for part in parts {
            self.by_part.insert(*part, self.total);
        }
        while self.by_part.len() > MAX_PARTS {
            let oldest = self.by_part.iter().min_by_key(|(_, latest)| **latest);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.by_part.remove(&oldest);
        }
    }

    /// Returns how many runs lived, whatever their parts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns how many runs lived recently.
    #[must_use]
    pub fn recent(&self, now: Instant) -> u64 {
        let mut recent = self.by_second.iter();
        let first = recent.find(|(begin, _)| now.since(*begin) <= RECENT);
        first.map_or(0, |(_, before)| self.total - before)
    }

    /// Returns whether a run on a part is known to have lived.
    #[must_use]
    pub fn contains(&self, part: Digest) -> bool {
        self.by_part.contains_key(&part)
    }
}
