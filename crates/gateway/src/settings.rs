//! The gateway daemon's settings file.

mod balance_settings;
mod condition;
mod duty_settings;
mod placement_settings;

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselcroft_parts::{DaemonName, Millis, ZoneName};

use crate::Seconds;
pub use balance_settings::BalanceSettings;
pub use condition::Condition;
pub use duty_settings::{Duty, DutySettings};
pub use placement_settings::PlacementSettings;

/// The settings of one gateway daemon, read at its start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The daemon's name, the same across restarts.
    pub daemon: DaemonName,
    /// The availability zone of the daemon's VM.
    pub zone: ZoneName,
    /// The VM's IP address, for heartbeats and metrics.
    pub ip: IpAddr,
    /// The address that serves callers' requests.
    pub front: SocketAddr,
    /// The address that answers readiness checks.
    pub ready: SocketAddr,
    /// The address at which callers look up the addresses of gateway daemons.
    pub directory: SocketAddr,
    /// The address at which peers fetch the configuration and the list of runners.
    pub peer: SocketAddr,
    /// The UDP port for heartbeats and placement, the same on every VM.
    pub heartbeat_port: u16,
    /// The port that serves metrics.
    #[serde(default = "default_metrics_port")]
    pub metrics_port: u16,
    /// Peers' addresses for the first contact; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The VM's memory, in MB.
    pub memory_mb: u64,
    /// The VM's share of a processor, in cores.
    pub cpu_share: f64,
    /// Service limits; defaults apply to those that are not set.
    #[serde(default)]
    pub bounds: Bounds,
    /// Duties that one daemon at a time performs; none by default.
    #[serde(default)]
    pub duties: DutySettings,
    /// Even load of plain services' runners.
    #[serde(default)]
    pub balance: BalanceSettings,
    /// What this deployment has to expect; none by default, unknown ones are ignored.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Features of placement that a deployment may turn off.
    #[serde(default)]
    pub placement: PlacementSettings,
}

const fn default_metrics_port() -> u16 {
    9_464
}

/// Service limits that the platform's users state.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// The time from the stop signal until the platform kills the process.
    pub grace: Seconds,
    /// How long callers may cache the addresses of gateway daemons.
    pub addresses: Seconds,
    /// How long a runner keeps serving after its store entry was removed.
    pub drain_ms: Millis,
    /// Retries allowed as a ratio of first attempts, over all daemons together.
    pub retry_ratio: f64,
    /// The sliding window over which first attempts and retries are counted.
    pub retry_window: Seconds,
    /// Retries allowed in the window on top of the ratio, over all daemons together.
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

/// The settings file cannot be read or is invalid.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, its text is not valid YAML, or a value is missing or out of range; the message names the key.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let error_for = |reason: String| SettingsError { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|error| error_for(error.to_string()))?;
        Settings::parse(&text).map_err(error_for)
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    ///
    /// The text is not valid YAML, or a value is missing or out of range; the message names the key.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Whether this deployment has to expect `condition`.
    pub fn expects(&self, condition: Condition) -> bool {
        self.conditions.contains(&condition)
    }

    /// The hold time for even load from reports of some age; `None` if it is not in use.
    pub fn balance_hold(&self) -> Option<Millis> {
        (self.balance.enabled && self.expects(Condition::Health)).then_some(self.balance.hold_ms)
    }

    fn check(&self) -> Result<(), String> {
        let ranges = [
            ("memory_mb", self.memory_mb as f64, 16.0, 1e7),
            ("cpu_share", self.cpu_share, 0.01, 1e4),
            ("bounds.grace", self.bounds.grace.0, 0.5, 3_600.0),
            ("bounds.addresses", self.bounds.addresses.0, 0.1, 3_600.0),
            ("bounds.drain_ms", self.bounds.drain_ms.0 as f64, 100.0, 3_600_000.0),
            ("bounds.retry_ratio", self.bounds.retry_ratio, 0.0, 10.0),
            ("bounds.retry_window", self.bounds.retry_window.0, 0.1, 3_600.0),
            ("bounds.retry_slack", self.bounds.retry_slack, 0.0, 1e6),
            ("balance.hold_ms", self.balance.hold_ms.0 as f64, 1.0, 600_000.0),
            ("duties.rate", self.duties.rate, 0.1, 1e6),
            ("duties.lease_ms", self.duties.lease_ms.0 as f64, 1_000.0, 600_000.0),
            ("duties.window", self.duties.window.0, 1.0, 3_600.0),
            ("duties.due", self.duties.due.0, 1.0, 3_600.0),
        ];
        let violation = ranges.iter().find(|(_, value, low, high)| !(*low..=*high).contains(value));
        let Some((key, value, low, high)) = violation else {
            return Ok(());
        };
        Err(format!("{key}: {value} is not between {low} and {high}"))
    }
}
