//! Remembers which runner last got each prompt prefix, and so probably has it cached.

use std::collections::{HashMap, VecDeque};

use teaselcroft_parts::Fingerprint;

use crate::RunnerKey;

/// A bounded map from prompt prefix to runner that evicts the prefix inserted first.
#[derive(Debug)]
pub struct PrefixMap {
    runners: HashMap<Fingerprint, RunnerKey>,
    insertion_order: VecDeque<Fingerprint>,
    capacity: usize,
}

impl PrefixMap {
    /// Creates a map of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> PrefixMap {
        PrefixMap { runners: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// The runner that last got `prefix`.
    pub fn get(&self, prefix: Fingerprint) -> Option<RunnerKey> {
        self.runners.get(&prefix).copied()
    }

    /// Records that `runner` got `prefix`; a new prefix may evict the oldest.
    pub fn set(&mut self, prefix: Fingerprint, runner: RunnerKey) {
        if self.runners.insert(prefix, runner).is_some() {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.runners.remove(&oldest);
        }
    }
}
