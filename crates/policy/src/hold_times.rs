//! How long requests of each class keep their place at a runner.

use std::collections::HashMap;

use teaselcroft_parts::{ClassName, Millis};

use crate::ClassRule;

const FIRST_GUESS_MS_PER_TOKEN: u64 = 30;
const FIRST_GUESS_BASE_MS: u64 = 50;
const WEIGHT: u64 = 8;

/// A moving mean of the time from grant to end, by class.
#[derive(Debug, Default)]
pub struct HoldTimes {
    means: HashMap<ClassName, u64>,
}

impl HoldTimes {
    /// Takes in the time that a request of `class` held its place.
    pub fn record(&mut self, class: &ClassName, held: Millis) {
        let Some(mean) = self.means.get_mut(class) else {
            self.means.insert(class.clone(), held.0);
            return;
        };
        *mean = (*mean * (WEIGHT - 1) + held.0) / WEIGHT;
    }

    /// The expected time that a request of `class` holds its place.
    pub fn expected(&self, class: &ClassName, rule: &ClassRule) -> Millis {
        let guess = FIRST_GUESS_BASE_MS + u64::from(rule.output_tokens) * FIRST_GUESS_MS_PER_TOKEN;
        Millis(self.means.get(class).copied().unwrap_or(guess))
    }
}
