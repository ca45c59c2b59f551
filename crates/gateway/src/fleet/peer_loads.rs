//! What one other daemon sent to runners.

use teaselcroft_parts::Millis;

use super::Load;
use crate::heartbeat::RunnerLoad;

/// What one other daemon sent to runners: its own counts, and grants that they do not include yet.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    heard: Millis,
    counts: Vec<RunnerLoad>,
    grants: Vec<(u64, u64, Load)>,
}

impl PeerLoads {
    /// When it was last heard.
    pub fn heard(&self) -> Millis {
        self.heard
    }

    /// Takes in its counts; grants up to question `number` are among them.
    pub fn replace(&mut self, counts: Vec<RunnerLoad>, number: Option<u64>, now: Millis) {
        self.heard = now;
        self.counts = counts;
        if let Some(number) = number {
            self.grants.retain(|(granted, _, _)| *granted > number);
        }
    }

    /// Counts a grant.
    pub fn grant(&mut self, number: u64, runner: u64, load: Load, now: Millis) {
        self.heard = now;
        self.grants.push((number, runner, load));
    }

    /// Every runner's hash and load.
    pub fn entries(&self) -> impl Iterator<Item = (u64, Load)> + '_ {
        let counts =
            self.counts.iter().map(|count| (count.runner, Load { requests: count.requests, reading: count.reading }));
        counts.chain(self.grants.iter().map(|(_, runner, load)| (*runner, *load)))
    }
}
