//! Decides when to fetch a peer's known crashes: datagrams with them may have been lost, or sent before this daemon ran.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

/// How long a peer's crashes differ from the known ones before they are fetched; heartbeats usually deliver them sooner.
const HEARTBEAT_ALLOWANCE: Millis = Millis(1_200);

/// The shortest time between two fetches.
const FETCH_INTERVAL: Millis = Millis(1_000);

/// A peer whose crashes differ from the known ones.
#[derive(Debug, Clone, Copy)]
struct Difference {
    since: Millis,
    /// The digest that was fetched last; what still differs then are crashes that this daemon has cleared or dropped.
    fetched: Option<u64>,
}

/// Decides when to fetch a peer's known crashes.
#[derive(Debug, Default)]
pub struct CrashSync {
    differences: HashMap<String, Difference>,
    fetched_at: Option<Millis>,
}

impl CrashSync {
    /// Compares a peer's digest with this daemon's `own`; returns whether to fetch the peer's crashes now. A daemon that
    /// has not fetched any yet does so at once.
    pub fn is_due(&mut self, peer: &str, digest: u64, own: u64, now: Millis) -> bool {
        if digest == own || digest == 0 {
            self.differences.remove(peer);
            return false;
        }
        let difference = self.differences.entry(peer.to_owned()).or_insert(Difference { since: now, fetched: None });
        let is_waiting = match self.fetched_at {
            Some(at) => now.since(at) < FETCH_INTERVAL || now.since(difference.since) < HEARTBEAT_ALLOWANCE,
            None => false,
        };
        if is_waiting || difference.fetched == Some(digest) {
            return false;
        }
        difference.fetched = Some(digest);
        self.fetched_at = Some(now);
        true
    }

    /// Forgets that a peer's crashes were fetched, since the call failed.
    pub fn fetch_failed(&mut self, peer: &str) {
        self.differences.remove(peer);
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: &str) {
        self.differences.remove(peer);
    }
}
