//! How much of what others send may be kept at the same time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A number of bytes that several receivers share.
///
/// # Examples
///
/// ```
/// # use jujube_program::allowance::Allowance;
/// let allowance = Allowance::new(100);
/// let (mut one, mut other) = (allowance.open(80), allowance.open(80));
/// assert!(one.grow(70));
/// assert!(!one.grow(11), "more than one may have");
/// assert!(!other.grow(31), "more than is left");
/// drop(one);
/// assert!(other.grow(31));
/// ```
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Creates an allowance of which nothing is used.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Opens a share that holds nothing, and may hold so many bytes while they are left.
    #[must_use]
    pub fn open(&self, limit: usize) -> Share {
        Share {
            allowance: self.clone(),
            held: 0,
            limit,
        }
    }
}

/// What one receiver holds; given back on drop.
#[derive(Debug)]
pub struct Share {
    allowance: Allowance,
    held: usize,
    limit: usize,
}

impl Share {
    /// Takes more bytes; returns whether the receiver may have them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.held.saturating_add(bytes);
        let take = |left: usize| left.checked_sub(bytes);
        let left = &self.allowance.0;
        let may_have = held <= self.limit
            && left
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok();
        if may_have {
            self.held = held;
        }
        may_have
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.allowance.0.fetch_add(self.held, Ordering::Relaxed);
    }
}
