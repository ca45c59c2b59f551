//! What one daemon knows of one runner.

use std::collections::HashMap;
use std::sync::Arc;

use teaselcroft_parts::Millis;

use super::Load;
use super::allowance::Allowance;
use super::limit_statement::LimitStatement;
use super::placement::seeded_hash;
use super::pressure::Pressure;
use crate::store::Revision;
use crate::{RequestRate, RunnerRecord};

/// Makes the division into interactive and other runners independent of where prompt prefixes are placed.
const POOL_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// What one daemon knows of one runner.
#[derive(Debug)]
pub(super) struct RunnerState {
    /// Its store entry.
    pub record: Arc<RunnerRecord>,
    /// The latest store revision at which that entry was seen.
    pub revision: Revision,
    /// Identifies this start of the runner in messages between daemons.
    pub hash: u64,
    /// Decides which pool it is in: the ready runners with the smallest values serve interactive requests.
    pub pool_hash: u64,
    /// The load that this daemon put on it.
    pub own_load: Load,
    /// The load that other daemons put on it, by their reports.
    pub peer_load: Load,
    /// Prompt tokens that it was recently sent to prefill.
    pub pressure: Pressure,
    /// What it stated last about the rate of requests that it takes; `None` if it never had a limit.
    pub limit: Option<LimitStatement>,
    /// What may be sent to it within its limit, as the placement leader counts.
    pub allowance: Allowance,
    /// The requests that this daemon let pass within the limit, as the placement leader.
    pub permits: u32,
    /// The same for other daemons, as they reported last.
    pub peer_permits: HashMap<String, u32>,
    /// Until when it wants no request from this daemon.
    pub held_until: Millis,
    /// Consecutive refused or broken connections.
    pub failures: u32,
    /// The end of its current avoidance, zero if it answered since.
    pub avoided_until: Millis,
}

impl RunnerState {
    pub fn new(record: RunnerRecord, hash: u64, revision: Revision) -> RunnerState {
        RunnerState {
            record: record.into(),
            revision,
            hash,
            pool_hash: seeded_hash(POOL_SEED, hash),
            own_load: Load::default(),
            peer_load: Load::default(),
            pressure: Pressure::default(),
            limit: None,
            allowance: Allowance::default(),
            permits: 0,
            peer_permits: HashMap::new(),
            held_until: Millis(0),
            failures: 0,
            avoided_until: Millis(0),
        }
    }

    /// The rate limit that it has now.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.limit.and_then(|statement| statement.rate)
    }

    /// Whether its rate limit leaves room for a request; `uses_limited` says whether runners with a limit may be used at all.
    pub fn is_within_limit(&self, uses_limited: bool, now: Millis) -> bool {
        self.rate_limit().is_none_or(|limit| uses_limited && self.allowance.is_available(limit, now))
    }

    /// Replaces the limit statement; returns whether the limit changed. A new limit begins without an allowance.
    pub fn set_limit(&mut self, statement: LimitStatement, now: Millis) -> bool {
        let known = self.rate_limit();
        if known.is_none() {
            self.allowance = Allowance::new(now);
        }
        self.limit = Some(statement);
        known != statement.rate
    }

    /// Counts a request that the placement leader sends there.
    pub fn take_allowance(&mut self, now: Millis) {
        if let Some(limit) = self.rate_limit() {
            self.allowance.take(1, limit, now);
            self.permits = self.permits.wrapping_add(1);
        }
    }

    /// Counts the requests that a peer let pass since its last report; its first report is where counting begins.
    pub fn note_peer_permits(&mut self, peer: &str, count: u32, now: Millis) {
        let known = self.peer_permits.insert(peer.to_owned(), count);
        let new = known.map_or(0, |known| count.checked_sub(known).unwrap_or(count));
        if let Some(limit) = self.rate_limit().filter(|_| new > 0) {
            self.allowance.take(new, limit, now);
        }
    }

    pub fn load(&self) -> Load {
        self.own_load + self.peer_load
    }
}
