//! Tracks requests after which runners crashed, so that a poison request does not crash further runners.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use crate::heartbeat::Crash;

/// A request is blocked once it crashed this many runners.
const MAX_CRASHES: usize = 3;

/// How long a crash counts.
const CRASH_TTL: Millis = Millis(60_000);

/// The shortest time for which heartbeats repeat a crash; several heartbeats, since datagrams get lost.
const MIN_REPORT_TTL: Millis = Millis(3_000);

/// The most requests tracked; crashes of further ones are ignored until others expire.
const MAX_CONTENTS: usize = 4_096;

/// Tracks by content hash the requests after which runners crashed.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// The crashes of each content hash: when they were noted, and whether this daemon saw them.
    contents: HashMap<u64, Vec<(Crash, Millis, bool)>>,
}

impl CrashTracker {
    /// Records a crash, once per runner start; `is_own` says that this daemon saw it itself.
    pub fn note(&mut self, crash: Crash, is_own: bool, now: Millis) {
        self.contents.retain(|_, crashes| {
            crashes.retain(|(_, at, _)| now.since(*at) < CRASH_TTL);
            !crashes.is_empty()
        });
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&crash.content) {
            return;
        }
        let crashes = self.contents.entry(crash.content).or_default();
        if crashes.iter().all(|(known, _, _)| *known != crash) {
            crashes.push((crash, now, is_own));
        }
    }

    /// Whether a request crashed so many runners that it must not be sent again.
    pub fn is_blocked(&self, content: u64) -> bool {
        self.contents.get(&content).is_some_and(|crashes| crashes.len() >= MAX_CRASHES)
    }

    /// Whether one more crash blocks a request, so that peers should be told at once.
    pub fn is_suspect(&self, content: u64) -> bool {
        self.contents.get(&content).is_some_and(|crashes| crashes.len() + 1 >= MAX_CRASHES)
    }

    /// The recent crashes that this daemon saw itself, for peers that get a heartbeat every `period`.
    pub fn recent_crashes(&self, period: Millis, now: Millis) -> Vec<Crash> {
        let ttl = Millis(period.0 * 2).max(MIN_REPORT_TTL);
        let fresh = |(crash, at, is_own): &(Crash, Millis, bool)| (*is_own && now.since(*at) < ttl).then_some(*crash);
        self.contents.values().flatten().filter_map(fresh).collect()
    }
}
