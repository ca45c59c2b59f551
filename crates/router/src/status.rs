//! A daemon's state for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{DaemonName, ModelName, RunnerName, TeamName, ZoneName};

/// The state of one dispatcher.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Requests that wait, by tier.
    pub waiting: Vec<u32>,
    /// Requests that run.
    pub running: u32,
    /// Places at usable runners.
    pub places: u32,
    /// The configuration revisions acknowledged by each runner.
    pub runners: BTreeMap<RunnerName, BTreeMap<TeamName, u64>>,
}

/// The state of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its incarnation.
    pub incarnation: String,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether the key-value service answers it.
    pub store_reachable: bool,
    /// The configuration revision in force, by team.
    pub revisions: BTreeMap<TeamName, u64>,
    /// The daemons that it sees alive.
    pub live: Vec<DaemonName>,
    /// The slots that it executes.
    pub slots: Vec<u32>,
    /// Requests that it serves now.
    pub in_flight: u64,
    /// The models and services that it dispatches.
    pub shards: BTreeMap<ModelName, ShardStatus>,
}
