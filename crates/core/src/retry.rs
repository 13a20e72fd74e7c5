//! Retry budgets: a failure must not multiply load.

/// A token bucket that successes fill.
///
/// When a service fails as a whole, every request would be tried as often as the limit allows, and
/// the extra load keeps the service down. A budget that only successes fill runs dry at once.
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
    /// What is there now, in thousandths of a retry.
    pub filled: u64,
    /// What a success adds, in thousandths of a retry.
    pub per_success: u64,
    /// The most that is kept, in thousandths of a retry.
    pub most: u64,
}

const ONE: u64 = 1000;

impl Default for Budget {
    fn default() -> Self {
        Self {
            filled: 10 * ONE,
            per_success: ONE / 10,
            most: 50 * ONE,
        }
    }
}

impl Budget {
    /// Books a success.
    pub fn succeeded(&mut self) {
        self.filled = (self.filled + self.per_success).min(self.most);
    }

    /// Takes one retry; `false` when the budget is spent.
    pub fn take(&mut self) -> bool {
        if self.filled < ONE {
            return false;
        }
        self.filled -= ONE;
        true
    }
}
