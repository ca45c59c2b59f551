//! Learns how long requests of each class occupy a runner.

use std::collections::HashMap;

use teaselcroft_parts::{ClassName, Millis};

use crate::ClassRule;

const INITIAL_MS_PER_TOKEN: u64 = 30;
const INITIAL_BASE_MS: u64 = 50;
/// A new sample moves the mean by one part in this many of the difference.
const SMOOTHING: u64 = 8;

/// An exponentially weighted mean, by class, of the time from grant to end of completed requests.
#[derive(Debug, Default)]
pub struct HoldTimes {
    means: HashMap<ClassName, u64>,
}

impl HoldTimes {
    /// Adds the hold time of a completed request of `class`; the first sets the mean.
    pub fn record(&mut self, class: &ClassName, hold: Millis) {
        let Some(mean) = self.means.get_mut(class) else {
            self.means.insert(class.clone(), hold.0);
            return;
        };
        *mean = (*mean * (SMOOTHING - 1) + hold.0) / SMOOTHING;
    }

    /// The expected hold time of a request of `class`; before the first sample it is estimated from
    /// the expected output tokens.
    pub fn expected(&self, class: &ClassName, rule: &ClassRule) -> Millis {
        let initial = INITIAL_BASE_MS + u64::from(rule.output_tokens) * INITIAL_MS_PER_TOKEN;
        Millis(self.means.get(class).copied().unwrap_or(initial))
    }
}
