//! Remembers requests after which runners crashed, so that the same request does not crash more of them.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use crate::heartbeat::Crash;

/// Crashed runners after which a request is no longer sent to any.
const MOST_CRASHES: usize = 3;

/// How long a crash is remembered.
const REMEMBERED: Millis = Millis(60_000);

/// How long a crash is told to peers at least; several heartbeats, since datagrams get lost.
const TOLD: Millis = Millis(3_000);

/// Requests remembered at most.
const MOST_CONTENTS: usize = 4_096;

/// Remembers requests after which runners crashed.
#[derive(Debug, Default)]
pub struct CrashTracker {
    contents: HashMap<u64, Vec<(Crash, Millis, bool)>>,
}

impl CrashTracker {
    /// Notes a crash; `is_own` if this daemon saw it.
    pub fn note(&mut self, crash: Crash, is_own: bool, now: Millis) {
        self.contents.retain(|_, crashes| {
            crashes.retain(|(_, at, _)| now.since(*at) < REMEMBERED);
            !crashes.is_empty()
        });
        if self.contents.len() >= MOST_CONTENTS && !self.contents.contains_key(&crash.content) {
            return;
        }
        let crashes = self.contents.entry(crash.content).or_default();
        if crashes.iter().all(|(known, _, _)| *known != crash) {
            crashes.push((crash, now, is_own));
        }
    }

    /// Whether a request crashed so many runners that no other gets it.
    pub fn is_blocked(&self, content: u64) -> bool {
        self.contents.get(&content).is_some_and(|crashes| crashes.len() >= MOST_CRASHES)
    }

    /// Whether one more crash condemns a request, so that peers should know at once.
    pub fn is_suspect(&self, content: u64) -> bool {
        self.contents.get(&content).is_some_and(|crashes| crashes.len() + 1 >= MOST_CRASHES)
    }

    /// The crashes to tell peers of, who are sent news every `period`.
    pub fn news(&self, period: Millis, now: Millis) -> Vec<Crash> {
        let told = Millis(period.0 * 2).max(TOLD);
        let fresh = |(crash, at, is_own): &(Crash, Millis, bool)| (*is_own && now.since(*at) < told).then_some(*crash);
        self.contents.values().flatten().filter_map(fresh).collect()
    }
}
