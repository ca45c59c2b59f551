//! Runners as their registry describes them.

use std::net::SocketAddr;

use teaselcroft_parts::{ModelName, RunnerName, ZoneName};

/// A runner that registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerRecord {
    /// Its name, which it alone has.
    pub name: RunnerName,
    /// Distinguishes starts under one name.
    pub started_at: i64,
    /// The service it offers.
    pub service: ModelName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it serves at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub is_ready: bool,
}
