//! Requests that were running when a runner crashed.

use std::collections::{BTreeSet, HashMap};

use teaselcroft_parts::Fingerprint;

const MAX_SUSPECTS: usize = 10_000;

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    alone: u32,
}

/// Tells requests that crash their runner from those that merely shared it.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    condemned: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Records that a runner crashed with `fingerprint` on it, alone or among companions.
    ///
    /// Returns true if the request is now refused: after `limit` crashes without companions.
    pub fn crashed(&mut self, fingerprint: Fingerprint, alone: bool, limit: u32) -> bool {
        if self.records.len() >= MAX_SUSPECTS {
            self.records.clear();
        }
        let record = self.records.entry(fingerprint).or_default();
        record.alone += u32::from(alone);
        if record.alone < limit {
            return false;
        }
        self.records.remove(&fingerprint);
        self.condemned.insert(fingerprint)
    }

    /// Clears a request that ran to its end.
    pub fn cleared(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Whether `fingerprint` has to run without companions.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    /// Whether `fingerprint` is refused.
    pub fn is_condemned(&self, fingerprint: Fingerprint) -> bool {
        self.condemned.contains(&fingerprint)
    }

    /// Takes in a refusal decided elsewhere; true if it is news.
    pub fn condemn(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint);
        self.condemned.insert(fingerprint)
    }

    /// Every refused fingerprint.
    pub fn condemned(&self) -> impl Iterator<Item = Fingerprint> {
        self.condemned.iter().copied()
    }
}
