//! Retry budgets, which limit the extra load of retries.

/// A token bucket that is refilled by successes.
///
/// When a whole service fails, retries would multiply the load on it and delay its recovery. Without
/// successes the budget is soon empty.
///
/// # Examples
///
/// ```
/// # use jujube_core::retry::Budget;
/// let mut budget = Budget::default();
/// while budget.take() {}
/// budget.succeeded();
/// assert!(!budget.take(), "one success pays for a tenth of a retry");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The current level, in thousandths of a retry.
    pub level: u64,
    /// The refill per success, in thousandths of a retry.
    pub per_success: u64,
    /// The capacity, in thousandths of a retry.
    pub capacity: u64,
}

/// One retry, in the unit of [`Budget::level`].
const RETRY: u64 = 1000;

impl Default for Budget {
    fn default() -> Self {
        Self {
            level: 10 * RETRY,
            per_success: RETRY / 10,
            capacity: 50 * RETRY,
        }
    }
}

impl Budget {
    /// Refills the budget after a success.
    pub fn succeeded(&mut self) {
        self.level = (self.level + self.per_success).min(self.capacity);
    }

    /// Spends one retry; returns `false` if the budget is exhausted.
    pub fn take(&mut self) -> bool {
        if self.level < RETRY {
            return false;
        }
        self.level -= RETRY;
        true
    }
}
