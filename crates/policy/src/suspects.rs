//! Finds requests that crash their runners.

use std::collections::{BTreeSet, HashMap};

use teaselcroft_parts::Fingerprint;

const MAX_SUSPECTS: usize = 10_000;

/// Crashes that condemn a request if at least one happened while it was alone on its runner.
const CONDEMN_CRASHES: u32 = 3;

/// How far a request has to be kept apart from others on its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// It may run with any others.
    None,
    /// It saw one crash: it may run with other requests, but with no other suspect.
    FromSuspects,
    /// It saw several crashes: it runs alone.
    Full,
}

#[derive(Debug, Clone, Copy, Default)]
struct CrashRecord {
    crashes: u32,
    alone_crashes: u32,
}

/// Tells requests that crash their runner from those that merely ran beside them.
///
/// Most crashes are no request's fault. The requests on a runner that crashed therefore run again
/// at once, no two of them on the same runner; one that sees a second crash runs alone from then
/// on. A request proven to crash runners is condemned: refused by every dispatcher.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, CrashRecord>,
    condemned: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Records that a runner crashed with `fingerprint` on it, `alone` or beside other requests.
    ///
    /// Returns true if this condemns the request: after `limit` crashes while alone, or after three
    /// of which one was while alone.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, alone: bool, limit: u32) -> bool {
        if self.records.len() >= MAX_SUSPECTS {
            self.records.clear();
        }
        let record = self.records.entry(fingerprint).or_default();
        record.crashes += 1;
        record.alone_crashes += u32::from(alone);
        let proven = record.alone_crashes > 0 && record.crashes >= CONDEMN_CRASHES;
        if record.alone_crashes < limit && !proven {
            return false;
        }
        self.records.remove(&fingerprint);
        self.condemned.insert(fingerprint)
    }

    /// Forgets the crashes of a request that ran to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// How far `fingerprint` has to be kept apart from other requests.
    pub fn isolation(&self, fingerprint: Fingerprint) -> Isolation {
        match self.records.get(&fingerprint) {
            None => Isolation::None,
            Some(CrashRecord { crashes: 1, .. }) => Isolation::FromSuspects,
            Some(_) => Isolation::Full,
        }
    }

    /// Whether `fingerprint` is refused because it crashes runners.
    pub fn is_condemned(&self, fingerprint: Fingerprint) -> bool {
        self.condemned.contains(&fingerprint)
    }

    /// Condemns `fingerprint` as another dispatcher decided; true if it was not condemned before.
    pub fn condemn(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint);
        self.condemned.insert(fingerprint)
    }

    /// Every condemned fingerprint.
    pub fn condemned(&self) -> impl Iterator<Item = Fingerprint> {
        self.condemned.iter().copied()
    }
}
