//! What one start of a runner stated about itself in its answers.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use super::allowance::Allowance;
use super::departure::Departure;
use super::limit_statement::LimitStatement;
use crate::RequestRate;

/// How long it is remembered that a runner said that it leaves, also without its entry: longer than any takes to leave.
const LEAVING_TTL: Millis = Millis(600_000);

/// How long the rate limit of a start without an entry is kept: longer than an entry is away while its runner serves on, or
/// than a starting daemon waits for the list of runners.
const ABSENT_LIMIT_TTL: Millis = Millis(60_000);

/// What one start of a runner stated about itself in its answers, and what was sent to it within its rate limit.
#[derive(Debug, Default)]
pub struct Stated {
    /// When it was last heard that the runner leaves, if it said so.
    pub leaving: Option<Millis>,
    /// How it left by its entry, if it did.
    pub departure: Option<Departure>,
    /// Until when it wants no request from this daemon.
    pub held_until: Millis,
    /// What it stated last about the rate of requests that it takes; `None` if it never had a limit.
    pub limit: Option<LimitStatement>,
    /// What may be sent to it within its limit, as the placement leader counts.
    pub allowance: Allowance,
    /// The requests that this daemon let pass within the limit, as the placement leader.
    pub permits: u32,
    /// The same for other daemons, as they reported last.
    pub peer_permits: HashMap<String, u32>,
}

impl Stated {
    /// Whether any of it still matters once the runner has no entry.
    pub fn outlives_entry(&self, now: Millis) -> bool {
        let is_limited = |limit: LimitStatement| now.since(limit.at) < ABSENT_LIMIT_TTL;
        self.leaving.is_some()
            || self.departure.is_some()
            || self.held_until > now
            || self.limit.is_some_and(is_limited)
    }

    /// Forgets that the runner left or said that it leaves, if that was long ago.
    pub fn expire(&mut self, now: Millis) {
        self.leaving = self.leaving.filter(|heard| now.since(*heard) < LEAVING_TTL);
        self.departure.take_if(|departure| !departure.is_recent(now));
    }

    /// The rate limit that the runner has now.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.limit.and_then(|statement| statement.rate)
    }

    /// Whether the rate limit leaves room for a request; `uses_limited` says whether runners with a limit may be used at
    /// all.
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

    /// Counts a request that the placement leader sends to the runner.
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
}
