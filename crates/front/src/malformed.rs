//! Values in the store that cannot be decoded.

use std::cell::RefCell;
use std::collections::BTreeMap;

use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Revision;

/// The undecodable values that have been logged.
///
/// The whole store is read again whenever the watch history has been compacted; without this, the
/// same malformed value would be logged each time.
#[derive(Default)]
pub struct Malformed(RefCell<BTreeMap<String, Revision>>);

/// The maximum number of remembered keys, so that a writer of ever new keys cannot exhaust the
/// memory.
const MAX_MALFORMED_KEYS: usize = 1_000;

impl Malformed {
    /// Logs a value that cannot be decoded, once for each revision.
    pub fn log(&self, change: &Change, error: &anyhow::Error) {
        let mut logged = self.0.borrow_mut();
        if logged.get(&change.key) == Some(&change.revision) {
            return;
        }
        if logged.len() >= MAX_MALFORMED_KEYS {
            logged.clear();
        }
        logged.insert(change.key.clone(), change.revision);
        event!(
            Error,
            "malformed",
            key = change.key,
            revision = change.revision,
            cause = format_args!("{error:#}")
        );
    }
}
