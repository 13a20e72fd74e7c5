//! The servers that one choice looks at.

use std::collections::BTreeMap;

use super::Candidate;
use crate::hash;
use crate::layer::Range;
use crate::name::Zone;

/// Maximum servers of one kind that a choice looks at, drawn at random.
///
/// The best of a few random servers is nearly as good as the best of all, and what a choice costs
/// does not grow with the servers: with a thousand of them, a choice took a tenth of a second of a
/// small entry's processor.
const MAX_OF_KIND: usize = 4;

/// The layers that servers of a kind hold, and the key of their accelerator's profile.
type Kind = (Range, [u64; 3]);

/// The servers of an availability zone by kind: those of one kind have the same accelerator and
/// hold the same layers.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds(Vec<Vec<usize>>);

impl Kinds {
    /// Groups candidates, which are named by their indices, by zone and kind.
    pub(super) fn by_zone(candidates: &[Candidate]) -> BTreeMap<Zone, Self> {
        let mut zones: BTreeMap<Zone, BTreeMap<Kind, Vec<usize>>> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let kind = (candidate.held, candidate.profile.key());
            let kinds = zones.entry(candidate.zone.clone()).or_default();
            kinds.entry(kind).or_default().push(index);
        }
        let zones = zones.into_iter();
        zones
            .map(|(zone, kinds)| (zone, Self(kinds.into_values().collect())))
            .collect()
    }

    /// Returns whether a sample leaves servers out.
    pub(super) fn is_larger_than_sample(&self) -> bool {
        self.0.iter().any(|servers| servers.len() > MAX_OF_KIND)
    }

    /// Returns the indices of all servers, in order.
    pub(super) fn all(&self) -> Vec<usize> {
        let mut all: Vec<usize> = self.0.iter().flatten().copied().collect();
        all.sort_unstable();
        all
    }

    /// Returns the indices of a few random servers of each kind, in order.
    pub(super) fn sample(&self, random: u64) -> Vec<usize> {
        let mut sample = Vec::new();
        for (kind, servers) in self.0.iter().enumerate() {
            let start = hash::of((random, kind)) as usize % servers.len();
            let drawn = servers.iter().cycle().skip(start);
            sample.extend(drawn.take(servers.len().min(MAX_OF_KIND)));
        }
        sample.sort_unstable();
        sample
    }
}
