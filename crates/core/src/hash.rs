//! Hashes that all entries compute alike.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Returns the hash of a value, such as the score of a pair in rendezvous hashing.
pub(crate) fn of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
