//! The gateway's settings file.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselcroft_parts::{DaemonName, Millis, ZoneName};

use crate::Seconds;

/// Everything a gateway daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The daemon's name, the same across restarts.
    pub daemon: DaemonName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The VM's address.
    pub ip: IpAddr,
    /// The address for callers' requests.
    pub front: SocketAddr,
    /// The address for readiness checks.
    pub ready: SocketAddr,
    /// The address for callers that ask where to connect.
    pub directory: SocketAddr,
    /// The address where other daemons fetch configurations.
    pub peer: SocketAddr,
    /// The port for heartbeats, the same on every VM.
    pub heartbeat_port: u16,
    /// The port for metrics.
    #[serde(default = "default_metrics_port")]
    pub metrics_port: u16,
    /// Peer addresses to begin with; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The VM's memory, in MB.
    pub memory_mb: u64,
    /// The VM's processor share.
    pub cpu_share: f64,
    /// Bounds that the users state.
    #[serde(default)]
    pub bounds: Bounds,
}

const fn default_metrics_port() -> u16 {
    9_464
}

/// Bounds that the users state.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// The longest planned stop.
    pub grace: Seconds,
    /// How long callers may keep an address answer.
    pub addresses: Seconds,
    /// How long a runner whose entry was removed still serves.
    pub drain_ms: Millis,
    /// Retries allowed as a share of first attempts, in all daemons together.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: Seconds,
    /// Retries allowed beside the share, in all daemons together.
    pub retry_slack: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            grace: Seconds(8.0),
            addresses: Seconds(2.0),
            drain_ms: Millis(2_000),
            retry_ratio: 0.2,
            retry_window: Seconds(10.0),
            retry_slack: 50.0,
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
        write!(f, "{}: {}; correct the key and start again", self.path.display(), self.reason)
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
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let within = [
            ("memory_mb", self.memory_mb as f64, 16.0, 1e7),
            ("cpu_share", self.cpu_share, 0.01, 1e4),
            ("bounds.grace", self.bounds.grace.0, 0.5, 3_600.0),
            ("bounds.addresses", self.bounds.addresses.0, 0.1, 3_600.0),
            ("bounds.drain_ms", self.bounds.drain_ms.0 as f64, 100.0, 3_600_000.0),
            ("bounds.retry_ratio", self.bounds.retry_ratio, 0.0, 10.0),
            ("bounds.retry_window", self.bounds.retry_window.0, 0.1, 3_600.0),
            ("bounds.retry_slack", self.bounds.retry_slack, 0.0, 1e6),
        ];
        let wrong = within.iter().find(|(_, value, low, high)| !(*low..=*high).contains(value));
        let Some((key, value, low, high)) = wrong else {
            return Ok(());
        };
        Err(format!("{key}: {value} is not within {low} and {high}"))
    }
}
