//! The daemon's settings file.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselcroft_parts::{CustomerName, DaemonName, ZoneName};

use crate::SecretKey;

/// Everything a daemon is told at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, the same across restarts.
    pub daemon: DaemonName,
    /// The cell: daemons of one cell share runners and slots.
    pub cell: String,
    /// The availability zone.
    pub zone: ZoneName,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for other daemons.
    pub peer_listen: SocketAddr,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// The key by which daemons know one another.
    pub peer_key: SecretKey,
    /// The key by which daemons know operators.
    pub operator_key: SecretKey,
    /// The customers and their bearer keys.
    pub customers: Vec<CustomerSettings>,
    /// Bounds that have defaults.
    #[serde(default)]
    pub limits: Limits,
}

/// A customer and its bearer key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSettings {
    /// The customer.
    pub name: CustomerName,
    /// Its bearer key.
    pub key: SecretKey,
}

/// Bounds that have defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// The largest body accepted, in bytes.
    pub body_bytes: usize,
    /// The longest time for a body to arrive, in milliseconds.
    pub body_ms: u64,
    /// How long callers may keep an address answer, in milliseconds.
    pub keep_ms: u64,
    /// The shortest time between heartbeats to one peer, in milliseconds.
    pub heartbeat_ms: u64,
    /// Heartbeats missed before a peer counts as dead.
    pub heartbeats_missed: u64,
    /// The time between polls of runners' load reports, in milliseconds.
    pub report_ms: u64,
    /// The time between reads of the VM list, in milliseconds.
    pub vm_list_ms: u64,
    /// The longest wait for the key-value service, in milliseconds.
    pub store_ms: u64,
    /// The number of slots in the cell; equal for all its daemons.
    pub slots: u32,
    /// Daemons of the cell that watch the key-value service for configurations.
    pub config_readers: usize,
    /// The longest planned stop, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            traffic_threads: 2,
            body_bytes: 1_048_576,
            body_ms: 10_000,
            keep_ms: 5_000,
            heartbeat_ms: 500,
            heartbeats_missed: 4,
            report_ms: 500,
            vm_list_ms: 1_000,
            store_ms: 1_000,
            slots: 8,
            config_readers: 2,
            stop_ms: 600_000,
        }
    }
}

/// Settings that cannot be used.
#[derive(Debug)]
pub struct SettingsError {
    path: PathBuf,
    reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the key and line that cannot be used, and why.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let fail = |reason: String| SettingsError { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
        Settings::parse(&text).map_err(fail)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Names the key and line that cannot be used, and why.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        settings.limits.check()?;
        Ok(settings)
    }
}

impl Limits {
    fn check(&self) -> Result<(), String> {
        let bounds = [
            ("limits.traffic_threads", self.traffic_threads as u64, 1, 64),
            ("limits.body_bytes", self.body_bytes as u64, 1_024, 1 << 30),
            ("limits.body_ms", self.body_ms, 100, 600_000),
            ("limits.keep_ms", self.keep_ms, 100, 3_600_000),
            ("limits.heartbeat_ms", self.heartbeat_ms, 50, 60_000),
            ("limits.heartbeats_missed", self.heartbeats_missed, 2, 100),
            ("limits.report_ms", self.report_ms, 50, 60_000),
            ("limits.vm_list_ms", self.vm_list_ms, 50, 60_000),
            ("limits.store_ms", self.store_ms, 50, 60_000),
            ("limits.slots", u64::from(self.slots), 1, 1_024),
            ("limits.config_readers", self.config_readers as u64, 1, 64),
            ("limits.stop_ms", self.stop_ms, 1_000, 86_400_000),
        ];
        let violation = bounds.iter().find(|(_, value, low, high)| value < low || value > high);
        let Some((key, value, low, high)) = violation else {
            return Ok(());
        };
        Err(format!("{key}: {value} is not within {low} and {high}"))
    }
}
