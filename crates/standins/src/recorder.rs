//! What the stand-ins observed during a run: the ground truth that the router's own answers are checked against.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// An execution that a runner started; a request that is retried or resumed has several.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestStart {
    /// When it started, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The runner that executes it.
    pub runner: String,
    /// The id of the request.
    pub id: String,
    /// The request class.
    pub class: String,
    /// The idempotency key; always `None` at model engines.
    pub key: Option<String>,
    /// The index of the first token to generate; above zero after a resumption.
    pub resume_from: u32,
}

/// A team's configuration that a runner accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedConfig {
    /// When it was applied, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The runner that applied it.
    pub runner: String,
    /// The team whose configuration it is.
    pub team: String,
    /// The revision of that configuration.
    pub revision: u64,
}

/// Number of requests that the key-value service received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreRequests {
    /// Reads of one key.
    pub reads: u64,
    /// Conditional writes, also those refused with a conflict.
    pub writes: u64,
    /// Watch requests (long polls), each poll counted.
    pub watches: u64,
}

/// Everything that the stand-ins of a run observed.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Executions that runners started, in order.
    pub starts: Vec<RequestStart>,
    /// Number of tokens generated, by request id, over all executions.
    pub tokens: BTreeMap<String, u64>,
    /// Configurations that runners applied, in order.
    pub applied: Vec<AppliedConfig>,
    /// Load on the key-value service.
    pub store: StoreRequests,
    /// Restarts in which a runner lost its configurations: time in milliseconds and runner.
    pub restarts: Vec<(u64, String)>,
}

/// Collects the observations of all stand-ins of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    records: Mutex<Records>,
}

impl Recorder {
    /// Updates the records under the lock and returns the result of `change`.
    pub fn write<R>(&self, change: impl FnOnce(&mut Records) -> R) -> R {
        change(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A snapshot of the records.
    pub fn read(&self) -> Records {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
