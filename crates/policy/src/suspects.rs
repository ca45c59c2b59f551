//! Requests that were running when a runner crashed.

use std::collections::{BTreeSet, HashMap};

use teaselcroft_parts::Fingerprint;

const MAX_SUSPECTS: usize = 10_000;

/// Crashes after which a request that then crashes a runner without companions is refused.
const CRASHES_BEFORE: u32 = 3;

/// How a request has to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Like any other.
    None,
    /// It saw one crash: with companions, but with no other suspect.
    Shared,
    /// It saw more: without companions.
    Alone,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    crashes: u32,
    alone: u32,
}

/// Tells requests that crash their runner from those that merely shared it.
///
/// Most crashes have no request to blame, so that the companions of a first crash run again at
/// once, each on a runner of its own. One that sees another crash runs without companions.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    condemned: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Records that a runner crashed with `fingerprint` on it, alone or among companions.
    ///
    /// Returns true if the request is now refused: after `limit` crashes without companions, or one
    /// after two others.
    pub fn crashed(&mut self, fingerprint: Fingerprint, alone: bool, limit: u32) -> bool {
        if self.records.len() >= MAX_SUSPECTS {
            self.records.clear();
        }
        let record = self.records.entry(fingerprint).or_default();
        record.crashes += 1;
        record.alone += u32::from(alone);
        let proven = record.alone > 0 && record.crashes >= CRASHES_BEFORE;
        if record.alone < limit && !proven {
            return false;
        }
        self.records.remove(&fingerprint);
        self.condemned.insert(fingerprint)
    }

    /// Clears a request that ran to its end.
    pub fn cleared(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// How `fingerprint` has to run.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        match self.records.get(&fingerprint) {
            None => Suspicion::None,
            Some(Record { crashes: 1, .. }) => Suspicion::Shared,
            Some(_) => Suspicion::Alone,
        }
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
