//! A budget that keeps retries to a share of first attempts.

/// Bounds of a retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudgetSettings {
    /// Retries earned by each first attempt, in thousandths.
    pub earned_milli: u64,
    /// The most retries that can be saved up.
    pub saved_max: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { earned_milli: 200, saved_max: 50 }
    }
}

/// Counts first attempts and allows retries in proportion.
///
/// ```
/// use teaselcroft_parts::{RetryBudget, RetryBudgetSettings};
///
/// let mut budget = RetryBudget::new(RetryBudgetSettings { saved_max: 1, ..Default::default() });
/// assert!(budget.retry());
/// assert!(!budget.retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    milli: u64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        let milli = settings.saved_max * 1000;
        RetryBudget { settings, milli }
    }

    /// Counts a first attempt.
    pub fn attempt(&mut self) {
        let full = self.settings.saved_max * 1000;
        self.milli = (self.milli + self.settings.earned_milli).min(full);
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn retry(&mut self) -> bool {
        let Some(rest) = self.milli.checked_sub(1000) else {
            return false;
        };
        self.milli = rest;
        true
    }
}
