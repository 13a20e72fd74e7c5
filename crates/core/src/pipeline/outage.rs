//! Distinguishes an outage of the store for all entries from one for some of them.

/// The state of the store as other entries report it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Observation {
    /// The number of other entries.
    pub peers: u64,
    /// The number of entries that reported recently.
    pub reachable: u64,
    /// The number of those that the store answers.
    pub with_store: u64,
}

/// Returns whether no other entry reaches the store, provided that at least half of them reported.
///
/// An entry that reaches the store may have become planner, and silent entries may be on the
/// store's side of a partition. Two planners would place layers against each other, so this returns
/// `false` if more than half of the others are silent, or if a single one reaches the store.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::outage::Observation;
/// # use jujube_core::pipeline::outage::is_global;
/// let observation = |peers, reachable, with_store| Observation { peers, reachable, with_store };
/// assert!(is_global(observation(3, 2, 0)));
/// assert!(!is_global(observation(3, 3, 1)));
/// assert!(!is_global(observation(3, 1, 0)));
/// ```
#[must_use]
pub fn is_global(observation: Observation) -> bool {
    let silent = observation.peers.saturating_sub(observation.reachable);
    observation.with_store == 0 && observation.reachable >= silent
}
