//! Remembers when refused requests first arrived, so that a retry keeps its age.

use std::collections::{BTreeSet, HashMap};

use teaselcroft_parts::{Fingerprint, Millis};

const MAX_REMEMBERED: usize = 100_000;

/// The first arrival times of refused requests, by content, until their callers' patience runs out.
#[derive(Debug, Default)]
pub struct RefusedArrivals {
    arrivals: HashMap<Fingerprint, Millis>,
    expiries: BTreeSet<(Millis, Fingerprint)>,
}

impl RefusedArrivals {
    /// Records that a request that first arrived at `arrival` was refused; its caller may retry
    /// until `expiry`. Nothing is recorded while the table is full.
    pub fn record(&mut self, fingerprint: Fingerprint, arrival: Millis, expiry: Millis) {
        if self.arrivals.contains_key(&fingerprint) || self.arrivals.len() >= MAX_REMEMBERED {
            return;
        }
        self.arrivals.insert(fingerprint, arrival);
        self.expiries.insert((expiry, fingerprint));
    }

    /// The first arrival of a request that was refused before.
    pub fn first_arrival(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.arrivals.get(&fingerprint).copied()
    }

    /// Forgets requests whose callers' patience has run out.
    pub fn expire(&mut self, now: Millis) {
        while let Some((expiry, fingerprint)) = self.expiries.first().copied() {
            if expiry > now {
                return;
            }
            self.expiries.remove(&(expiry, fingerprint));
            self.arrivals.remove(&fingerprint);
        }
    }
}
