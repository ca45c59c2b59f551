//! What the stand-ins saw, independent of what the router says of itself.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// A request that a runner began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// When, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The runner.
    pub runner: String,
    /// The request's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key, at plain services.
    pub key: Option<String>,
    /// The token it resumed at.
    pub resume_from: u32,
}

/// A configuration that came into force at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// When, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The runner.
    pub runner: String,
    /// The team.
    pub team: String,
    /// The revision.
    pub revision: u64,
}

/// Calls that the key-value service received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}

/// Everything recorded.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Requests begun.
    pub starts: Vec<Start>,
    /// Tokens generated, by request id.
    pub tokens: BTreeMap<String, u64>,
    /// Configurations that came into force.
    pub in_force: Vec<InForce>,
    /// Calls to the key-value service.
    pub store: StoreCalls,
    /// Runners that restarted and lost their configurations, with the time.
    pub restarts: Vec<(u64, String)>,
}

/// A shared record.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<Records>,
}

impl Ledger {
    /// Changes the record.
    pub fn write<R>(&self, change: impl FnOnce(&mut Records) -> R) -> R {
        change(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A copy of the record.
    pub fn read(&self) -> Records {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
