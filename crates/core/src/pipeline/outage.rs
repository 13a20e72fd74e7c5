//! Whether the store is away for all entries, or only for some.

/// What the other entries say of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Observation {
    /// How many other entries there are.
    pub peers: u64,
    /// How many of them were reachable lately.
    pub reachable: u64,
    /// How many of those the store answers.
    pub with_store: u64,
}

/// Tells whether the store answers no other entry, as far as most of them are reachable.
///
/// An entry that the store answers may have been made planner, and those that are silent may be cut off
/// together with the store. One planner more than one would place layers against each other: with half
/// of the others silent, or a single one with_store, the answer is no.
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
