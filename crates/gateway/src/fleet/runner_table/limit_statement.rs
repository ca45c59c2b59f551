//! What a runner stated last about the rate of requests that it takes.

use teaselcroft_parts::Millis;

use crate::RequestRate;
use crate::heartbeat::RunnerLimit;

/// How long heartbeats repeat that a runner no longer has a limit.
const END_REPORT_TTL: Millis = Millis(10_000);

/// What a runner stated last about the rate of requests that it takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// The limit, or `None` if the runner no longer has one.
    pub rate: Option<RequestRate>,
    /// When the answer with the statement arrived.
    pub at: Millis,
    /// Whether this daemon received that answer.
    pub is_own: bool,
}

impl LimitStatement {
    /// The message to peers about the runner with this hash, if this daemon is the one to tell them.
    pub fn report(self, runner: u64, now: Millis) -> Option<RunnerLimit> {
        let age = now.since(self.at);
        let is_due = self.is_own && (self.rate.is_some() || age < END_REPORT_TTL);
        is_due.then(|| self.describe(runner, now))
    }

    /// The message about the runner with this hash, whoever received the answer.
    pub fn describe(self, runner: u64, now: Millis) -> RunnerLimit {
        RunnerLimit {
            runner,
            per_second: self.rate.map(RequestRate::per_second),
            age_ms: u32::try_from(now.since(self.at).0).unwrap_or(u32::MAX),
        }
    }
}
