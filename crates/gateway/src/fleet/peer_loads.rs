//! The load that one other daemon put on runners.

use teaselcroft_parts::Millis;

use super::Load;
use crate::heartbeat::RunnerLoad;

/// The load that one other daemon put on runners: the counts it reported, and grants that they do not include yet.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    heard: Millis,
    counts: Vec<RunnerLoad>,
    /// Query number, runner hash and load of each grant.
    grants: Vec<(u64, u64, Load)>,
}

impl PeerLoads {
    /// When the daemon last reported or was granted a runner.
    pub fn heard(&self) -> Millis {
        self.heard
    }

    /// Replaces the reported counts, which include the grants up to query `number`.
    pub fn replace(&mut self, counts: Vec<RunnerLoad>, number: Option<u64>, now: Millis) {
        self.heard = now;
        self.counts = counts;
        if let Some(number) = number {
            self.grants.retain(|(granted, _, _)| *granted > number);
        }
    }

    /// Adds the load of a grant until reported counts include it.
    pub fn grant(&mut self, number: u64, runner: u64, load: Load, now: Millis) {
        self.heard = now;
        self.grants.push((number, runner, load));
    }

    /// The runner hash and load of every reported count and open grant; a runner may occur more than once.
    pub fn entries(&self) -> impl Iterator<Item = (u64, Load)> + '_ {
        let counts = self
            .counts
            .iter()
            .map(|count| (count.runner, Load { requests: count.requests, prefill_tokens: count.reading }));
        counts.chain(self.grants.iter().map(|(_, runner, load)| (*runner, *load)))
    }
}
