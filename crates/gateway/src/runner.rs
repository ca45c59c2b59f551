//! The record of a runner, as it registered itself in the store.

use std::net::SocketAddr;

use teaselcroft_parts::{ModelName, RunnerName, ZoneName};

/// A runner as it registered itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerRecord {
    /// Its unique name, the same across restarts.
    pub name: RunnerName,
    /// The time of its start, which distinguishes starts under one name.
    pub started_at: i64,
    /// The model or plain service that it offers.
    pub service: ModelName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests that it serves at once.
    pub slots: u32,
    /// Whether it takes new requests; false while it is leaving.
    pub is_ready: bool,
    /// Whether the provider may take it away at short notice.
    pub is_preemptible: bool,
}
