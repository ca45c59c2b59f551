//! The status report that the admin API gives to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{DaemonName, ModelName, RunnerName, TeamName, ZoneName};

/// The state of the dispatcher of one model or service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Number of queued requests, by tier.
    pub waiting: Vec<u32>,
    /// Number of running requests.
    pub running: u32,
    /// Total concurrency limit of the usable runners.
    pub places: u32,
    /// The configuration revision that each runner has acknowledged, by runner and team.
    pub runners: BTreeMap<RunnerName, BTreeMap<TeamName, u64>>,
}

/// The state of one daemon, as it sees its cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its incarnation, which differs after each restart.
    pub incarnation: String,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Whether the last call to the key-value service was answered.
    pub store_reachable: bool,
    /// The configuration revision in force, by team.
    pub revisions: BTreeMap<TeamName, u64>,
    /// The daemons that it considers alive and not stopping, itself included.
    pub live: Vec<DaemonName>,
    /// The slots that it owns as executor.
    pub slots: Vec<u32>,
    /// Number of chat completions and at-most-once calls that run here, including calls executed for
    /// peers.
    pub in_flight: u64,
    /// The dispatchers that it runs, by model or service.
    pub shards: BTreeMap<ModelName, ShardStatus>,
}
