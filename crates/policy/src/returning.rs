//! When requests that were refused first arrived.

use std::collections::{BTreeSet, HashMap};

use teaselcroft_parts::{Fingerprint, Millis};

const MAX_REQUESTS: usize = 100_000;

/// Remembers refused requests by content until their callers' patience has run out.
#[derive(Debug, Default)]
pub struct Returning {
    arrivals: HashMap<Fingerprint, Millis>,
    ends: BTreeSet<(Millis, Fingerprint)>,
}

impl Returning {
    /// Records that a request that first arrived at `arrival` was refused; it may come back until
    /// `until`.
    pub fn refused(&mut self, fingerprint: Fingerprint, arrival: Millis, until: Millis) {
        if self.arrivals.contains_key(&fingerprint) || self.arrivals.len() >= MAX_REQUESTS {
            return;
        }
        self.arrivals.insert(fingerprint, arrival);
        self.ends.insert((until, fingerprint));
    }

    /// When a request first arrived, if it was refused before.
    pub fn first_arrival(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.arrivals.get(&fingerprint).copied()
    }

    /// Forgets requests whose callers have given up.
    pub fn forget(&mut self, now: Millis) {
        while let Some((until, fingerprint)) = self.ends.first().copied() {
            if until > now {
                return;
            }
            self.ends.remove(&(until, fingerprint));
            self.arrivals.remove(&fingerprint);
        }
    }
}
