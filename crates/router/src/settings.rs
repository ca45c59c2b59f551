//! The daemon's settings file, in YAML.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselcroft_parts::{CustomerName, DaemonName, ZoneName};

use crate::SecretKey;

/// A daemon's settings, read once at startup.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name; stays the same across restarts.
    pub daemon: DaemonName,
    /// The cell this daemon belongs to; daemons of a cell share runners and slots.
    pub cell: String,
    /// The availability zone this daemon runs in.
    pub zone: ZoneName,
    /// The listen address for callers and operators.
    pub listen: SocketAddr,
    /// The listen address for other daemons.
    pub peer_listen: SocketAddr,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// The shared secret that authenticates daemons to each other.
    pub peer_key: SecretKey,
    /// The bearer key that authenticates operators on the admin API.
    pub operator_key: SecretKey,
    /// The customers that may send traffic.
    pub customers: Vec<CustomerSettings>,
    /// Limits and intervals; each has a default.
    #[serde(default)]
    pub limits: Limits,
}

/// One customer and the key that identifies it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSettings {
    /// The customer's name.
    pub name: CustomerName,
    /// The bearer key that the customer's requests carry.
    pub key: SecretKey,
}

/// Limits and intervals that have defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of threads that serve traffic.
    pub traffic_threads: usize,
    /// The largest request body accepted, in bytes.
    pub body_bytes: usize,
    /// Timeout for reading a request body, in milliseconds.
    pub body_ms: u64,
    /// How long callers may cache a reply of `/v1/addresses`, in milliseconds.
    pub keep_ms: u64,
    /// The shortest interval between heartbeats to one peer, in milliseconds; large cells use a longer one.
    pub heartbeat_ms: u64,
    /// Missed heartbeats after which a peer counts as dead.
    pub heartbeats_missed: u64,
    /// The interval between polls of a runner's load report, in milliseconds.
    pub report_ms: u64,
    /// The interval between reads of the VM list, in milliseconds.
    pub vm_list_ms: u64,
    /// Timeout of calls to the key-value service and the VM list, in milliseconds.
    pub store_ms: u64,
    /// The number of slots in the cell; must be the same for all its daemons.
    pub slots: u32,
    /// How many daemons of the cell watch the key-value service for configurations; the others pull
    /// from peers.
    pub config_readers: usize,
    /// How long a planned stop waits for running requests, in milliseconds.
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

/// Why a settings file was rejected.
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
    /// The file cannot be read or is invalid; the message names the key, the line where known, and the reason.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let fail = |reason: String| SettingsError { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
        Settings::parse(&text).map_err(fail)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// The text is invalid; the message names the key, the line where known, and the reason.
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
        Err(format!("{key}: {value} is out of range ({low} to {high})"))
    }
}
