//! A key-value service that can be followed as a whole.

use std::future::Future;

use jujube_core::time::Span;

use crate::kv::Error;
use crate::kv::Lease;
use crate::kv::Pair;
use crate::kv::Revision;
use crate::kv::Store;

/// A key that was written or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Its new value; `None` when it was removed.
    pub value: Option<String>,
    /// The revision of the change.
    pub revision: Revision,
}

/// What a wait for changes brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// Changes in order, perhaps none, and the revision up to which they are complete.
    Changes(Vec<Change>, Revision),
    /// The history since the revision asked for is gone: read everything again.
    Forgotten,
}

/// A store whose changes can be followed by prefix.
pub trait Feed: Store {
    /// Reads all keys with a prefix, and the revision from which to follow them.
    fn snapshot(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Pair>, Revision), Error>> + Send;

    /// Ends a lease at once; its keys go.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits for changes after a revision, for a bounded time.
    fn follow(
        &self,
        prefix: &str,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<News, Error>> + Send;
}
