//! Which runner last saw a prompt's beginning.

use std::collections::{HashMap, VecDeque};

use teaselcroft_parts::Fingerprint;

use crate::RunnerKey;

/// A bounded map from prompt prefix to runner; the oldest entry goes first.
#[derive(Debug)]
pub struct PrefixMap {
    runners: HashMap<Fingerprint, RunnerKey>,
    ages: VecDeque<Fingerprint>,
    max: usize,
}

impl PrefixMap {
    /// A map of at most `max` prefixes.
    pub fn new(max: usize) -> PrefixMap {
        PrefixMap { runners: HashMap::new(), ages: VecDeque::new(), max }
    }

    /// The runner that last got `prefix`.
    pub fn get(&self, prefix: Fingerprint) -> Option<RunnerKey> {
        self.runners.get(&prefix).copied()
    }

    /// Records that `runner` got `prefix`.
    pub fn set(&mut self, prefix: Fingerprint, runner: RunnerKey) {
        if self.runners.insert(prefix, runner).is_some() {
            return;
        }
        self.ages.push_back(prefix);
        if self.ages.len() > self.max
            && let Some(oldest) = self.ages.pop_front()
        {
            self.runners.remove(&oldest);
        }
    }
}
