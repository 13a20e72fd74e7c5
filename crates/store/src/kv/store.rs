//! What the system needs of a key-value service.

use std::fmt;
use std::future::Future;

use jujube_core::revision::Revision;
use jujube_core::time::Span;

/// The identifier of a lease.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lease(pub i64);

/// A key with its value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// When it was last written.
    pub revision: Revision,
}

/// A condition of a transaction: the key was last written at this revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its revision; 0 when it must not be there.
    pub revision: Revision,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Sets a key; with a lease it goes when the lease does.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The lease, if any.
        lease: Option<Lease>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// Why the service gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Nothing was sent.
    Down(String),
    /// Nothing was done: there were more calls than the service takes.
    Busy(String),
    /// It was sent, and the connection ended before the answer: a write may have taken effect.
    Cut(String),
    /// It was sent, and the answer is lost: a write may have taken effect.
    Unknown(String),
    /// It was answered, and the answer cannot be read or held: a write may have taken effect.
    Unusable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down(why) => write!(f, "key-value service cannot be reached: {why}"),
            Self::Busy(why) => write!(f, "key-value service takes no more calls: {why}"),
            Self::Cut(why) => write!(f, "key-value service ended the connection: {why}"),
            Self::Unknown(why) => write!(f, "key-value service gave no answer: {why}"),
            Self::Unusable(why) => write!(f, "key-value service gave an unusable answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// A key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Pair>, Error>> + Send;

    /// Reads all keys with a prefix, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Pair>, Error>> + Send;

    /// Writes everything if every condition holds, else nothing; tells which.
    fn swap(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Takes a lease that ends after a time without renewal.
    fn grant(&self, ttl: Span) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease; `false` when it has ended.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Waits until a key changes after a revision, and returns its new value. The wait has a bound
    /// after which it returns `None`.
    fn changed(
        &self,
        key: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Option<Pair>, Error>> + Send;
}
