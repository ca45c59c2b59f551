//! A request at one start of a runner.

use std::sync::Arc;

use teaselcroft_parts::{ModelName, RunnerName};

use crate::RunnerRecord;
use crate::crash_tracker::Suspect;

/// A request at one start of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingCrash {
    /// The runner.
    pub runner: RunnerName,
    /// The time of its start.
    pub started_at: i64,
    /// The service that it belongs to.
    pub service: ModelName,
    /// What the request carries: its content, then the shared parts of its prompt.
    pub suspects: Arc<[Suspect]>,
}

impl PendingCrash {
    /// Whether it is at the runner's start that this entry tells of.
    pub fn is_at(&self, record: &RunnerRecord) -> bool {
        self.started_at == record.started_at && self.runner == record.name
    }
}
