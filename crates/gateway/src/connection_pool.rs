//! Idle connections to runners.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use crate::fleet::RunnerKey;
use crate::http::Connection;

/// The most idle connections kept for one runner.
const MAX_IDLE: usize = 16;

/// The idle timeout assumed for runners that do not state theirs.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(2_000);

/// A connection is dropped this long before the runner would close it, so that no request races with the close.
const CLOSE_MARGIN: Millis = Millis(700);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Millis,
    expires: Millis,
}

/// Idle connections to runners, reused last in, first out.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<RunnerKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an open connection to `runner` that has been idle for at most `max_idle`; drops those it passes over.
    pub fn take(&mut self, runner: RunnerKey, max_idle: Millis, now: Millis) -> Option<Connection> {
        let idle = self.idle.get_mut(&runner)?;
        while let Some(mut entry) = idle.pop() {
            let is_fresh = entry.expires > now && now.since(entry.since) <= max_idle;
            if is_fresh && entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless the runner has enough of them; `idle_timeout` is the one that the
    /// runner states.
    pub fn put(&mut self, runner: RunnerKey, connection: Connection, idle_timeout: Option<Millis>, now: Millis) {
        let idle_timeout = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).since(CLOSE_MARGIN);
        let idle = self.idle.entry(runner).or_default();
        if idle_timeout > Millis(0) && idle.len() < MAX_IDLE && connection.bytes().is_empty() {
            idle.push(IdleConnection { connection, since: now, expires: now + idle_timeout });
        }
    }

    /// Closes connections that the runner is about to close.
    pub fn sweep(&mut self, now: Millis) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| entry.expires > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Closes all idle connections to a runner.
    pub fn forget(&mut self, runner: RunnerKey) {
        self.idle.remove(&runner);
    }
}
