//! A key-value service that can be followed as a whole.

use std::future::Future;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::feed::room::Kind;
use jujube_core::time::Span;

use crate::kv::Condition;
use crate::kv::Error;
use crate::kv::Lease;
use crate::kv::Pair;
use crate::kv::Revision;
use crate::kv::Store;
use crate::kv::Write;

/// A value as it was written.
///
/// Others write to the store as well, and whatever they write under one key must not hide what stands
/// under the others: a value that is no text is that key's matter only.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// A text.
    Text(String),
    /// Bytes that are no text, and why.
    Unreadable(String),
}

/// A key that was written or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Its new value; `None` when it was removed.
    pub value: Option<Value>,
    /// The revision of the change.
    pub revision: Revision,
}

impl Change {
    /// Returns how many bytes of the value are held; of one that cannot be read, only the reason is.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        match &self.value {
            Some(Value::Text(text) | Value::Unreadable(text)) => text.len(),
            None => 0,
        }
    }

    /// Returns how many bytes are held in all.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.key.len() + self.value_bytes()
    }
}

impl TryFrom<Change> for Pair {
    type Error = Error;

    fn try_from(change: Change) -> Result<Self, Error> {
        match change.value {
            Some(Value::Text(value)) => Ok(Self {
                key: change.key,
                value,
                revision: change.revision,
            }),
            Some(Value::Unreadable(why)) => Err(Error::Unknown(why)),
            None => Err(Error::Unknown("the key was removed".into())),
        }
    }
}

/// What a wait for changes brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// Changes in order, perhaps none, and the revision up to which they are complete.
    Changes(Vec<Change>, Revision),
    /// Changes through a revision, in an answer that may have been cut: there may be later ones, made
    /// before the call.
    Part(Vec<Change>, Revision),
    /// The history since the revision asked for is gone: read everything again.
    Forgotten,
}

/// How far reads of all keys have come.
///
/// # Examples
///
/// ```
/// # use jujube_store::kv::Progress;
/// let progress = Progress::default();
/// progress.received("jujube/entries/a");
/// assert_eq!((progress.pages(), progress.last_key()), (1, "jujube/entries/a".into()));
/// ```
#[derive(Debug, Default)]
pub struct Progress {
    pages: AtomicU64,
    last_key: Mutex<String>,
}

impl Progress {
    /// Records a page and its last key.
    pub fn received(&self, last_key: &str) {
        self.pages.fetch_add(1, Ordering::Relaxed);
        let mut last = self.last_key.lock().unwrap_or_else(PoisonError::into_inner);
        last.replace_range(.., last_key);
    }

    /// Returns the number of pages that were received.
    #[must_use]
    pub fn pages(&self) -> u64 {
        self.pages.load(Ordering::Relaxed)
    }

    /// Returns the last key of the last page, empty if it had none.
    #[must_use]
    pub fn last_key(&self) -> String {
        let last = self.last_key.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }
}

/// A store whose changes can be followed by prefix.
pub trait Feed: Store {
    /// Reads all keys with a prefix, each as its last change, and the revision from which to follow them.
    fn snapshot(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Change>, Revision), Error>> + Send;

    /// Reads all keys with a prefix as [`Feed::snapshot`] does, at a fraction of its price; the store
    /// may answer with what it held some seconds ago. Each page that is received is recorded.
    fn snapshot_stale(
        &self,
        prefix: &str,
        progress: &Progress,
    ) -> impl Future<Output = Result<(Vec<Change>, Revision), Error>> + Send;

    /// Returns the kinds of keys of which the last snapshot left out some, because there was no room.
    fn left_out(&self) -> Vec<Kind>;

    /// Writes everything if every condition holds, and returns the revision of the writes; `None` if
    /// one did not hold.
    fn swap_at(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> impl Future<Output = Result<Option<Revision>, Error>> + Send;

    /// Returns the newest era that answers told; `None` while none did.
    fn era(&self) -> Option<Era>;

    /// Waits until the newest era is a later one than `known`.
    fn risen(&self, known: Option<Era>) -> impl Future<Output = ()> + Send;

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
