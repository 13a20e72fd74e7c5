//! The requests that recently survived their beginning on a server.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::pipeline::digest::Digest;

/// The most remembered requests: those of a minute at an entry with some tens of them a second.
const MAX_SURVIVORS: usize = 2_048;

/// The requests that recently ran to their end, or survived their beginning on a server.
///
/// Such a request does not crash servers. Without this, a request that many callers send at the
/// same time would be blamed when a rack of servers fails, each of which runs it.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// # use jujube_core::pipeline::quarantine::survivors::Survivors;
/// let mut survivors = Survivors::default();
/// survivors.insert(Digest(7));
/// assert!(survivors.contains(Digest(7)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Survivors {
    known: BTreeSet<Digest>,
    /// The known requests, the oldest first.
    order: VecDeque<Digest>,
}

impl Survivors {
    /// Adds a request; forgets the oldest one if there are too many.
    pub fn insert(&mut self, digest: Digest) {
        if !self.known.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() <= MAX_SURVIVORS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether a request recently survived its beginning.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.known.contains(&digest)
    }
}
