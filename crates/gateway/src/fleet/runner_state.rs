//! A known runner.

use std::sync::Arc;

use teaselcroft_parts::Millis;

use super::Load;
use super::placement::mix;
use super::pressure::Pressure;
use crate::RunnerRecord;
use crate::store::Revision;

/// Orders runners for the division otherwise than for the homes of prompts.
const SIDE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A known runner.
#[derive(Debug)]
pub(super) struct RunnerState {
    /// What its entry says.
    pub record: Arc<RunnerRecord>,
    /// When the store had that entry.
    pub revision: Revision,
    /// The hash of its name.
    pub hash: u64,
    /// Its place in the division into interactive and other runners.
    pub side: u64,
    /// What this daemon sent it.
    pub mine: Load,
    /// What other daemons sent it.
    pub others: Load,
    /// What it was given to read lately.
    pub pressure: Pressure,
    /// Connections refused or broken in a row.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoided_until: Millis,
}

impl RunnerState {
    pub fn new(record: RunnerRecord, hash: u64, revision: Revision) -> RunnerState {
        RunnerState {
            record: record.into(),
            revision,
            hash,
            side: mix(SIDE_SEED, hash),
            mine: Load::default(),
            others: Load::default(),
            pressure: Pressure::default(),
            failures: 0,
            avoided_until: Millis(0),
        }
    }

    pub fn load(&self) -> Load {
        self.mine + self.others
    }
}
