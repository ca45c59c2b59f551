//! Idle connections to runners.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use crate::fleet::RunnerKey;
use crate::http::Inbound;

/// Idle connections kept for one runner.
const MOST_IDLE: usize = 16;

/// How long an idle connection is kept where the runner does not say.
const DEFAULT_KEEP: Millis = Millis(2_000);

/// A connection is given up so long before the runner would close it, so that no request meets the close.
const CLOSE_MARGIN: Millis = Millis(700);

#[derive(Debug)]
struct Idle {
    inbound: Inbound,
    since: Millis,
    until: Millis,
}

/// Idle connections to runners.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<RunnerKey, Vec<Idle>>,
}

impl ConnectionPool {
    /// Takes a connection to `runner` that has been idle for at most `longest`.
    pub fn take(&mut self, runner: RunnerKey, longest: Millis, now: Millis) -> Option<Inbound> {
        let idle = self.idle.get_mut(&runner)?;
        while let Some(mut entry) = idle.pop() {
            let is_fresh = entry.until > now && now.since(entry.since) <= longest;
            if is_fresh && entry.inbound.is_quiet() {
                return Some(entry.inbound);
            }
        }
        None
    }

    /// Keeps a connection; `keep` is the runner's own idle timeout.
    pub fn put(&mut self, runner: RunnerKey, inbound: Inbound, keep: Option<Millis>, now: Millis) {
        let keep = keep.unwrap_or(DEFAULT_KEEP).since(CLOSE_MARGIN);
        let idle = self.idle.entry(runner).or_default();
        if keep > Millis(0) && idle.len() < MOST_IDLE && inbound.bytes().is_empty() {
            idle.push(Idle { inbound, since: now, until: now + keep });
        }
    }

    /// Closes what is no longer used.
    pub fn sweep(&mut self, now: Millis) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| entry.until > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Closes all connections to a runner.
    pub fn forget(&mut self, runner: RunnerKey) {
        self.idle.remove(&runner);
    }
}
