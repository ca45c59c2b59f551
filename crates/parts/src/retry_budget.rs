//! A token bucket that limits retries to a share of first attempts.

/// The settings of a retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudgetSettings {
    /// The share of a retry that each first attempt adds, in thousandths.
    pub earned_milli: u64,
    /// The capacity of the bucket, in retries.
    pub saved_max: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { earned_milli: 200, saved_max: 50 }
    }
}

/// A token bucket that first attempts fill and retries drain.
///
/// ```
/// use teaselcroft_parts::{RetryBudget, RetryBudgetSettings};
///
/// let mut budget = RetryBudget::new(RetryBudgetSettings { saved_max: 1, ..Default::default() });
/// assert!(budget.spend_retry());
/// assert!(!budget.spend_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    left_milli: u64,
}

impl RetryBudget {
    /// A full bucket.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        let left_milli = settings.saved_max * 1000;
        RetryBudget { settings, left_milli }
    }

    /// Counts a first attempt, which adds its share of a retry.
    pub fn count_attempt(&mut self) {
        let capacity_milli = self.settings.saved_max * 1000;
        self.left_milli = (self.left_milli + self.settings.earned_milli).min(capacity_milli);
    }

    /// Takes one retry from the bucket; returns false if none is left.
    pub fn spend_retry(&mut self) -> bool {
        let Some(remaining) = self.left_milli.checked_sub(1000) else {
            return false;
        };
        self.left_milli = remaining;
        true
    }
}
