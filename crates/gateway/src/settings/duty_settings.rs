//! The settings of duties that one daemon at a time performs.

use std::net::SocketAddr;

use serde::Deserialize;
use teaselcroft_parts::Millis;

use crate::Seconds;

/// A duty that one daemon at a time performs. Others that the file names are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Duty {
    /// Reporting how many requests of each customer began to run.
    Usage,
    /// Ordering runners.
    Autoscale,
    /// A duty that this version does not know.
    #[serde(other)]
    Unknown,
}

/// The settings of duties that one daemon at a time performs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct DutySettings {
    /// The address of the platform's control API; without it no duty is performed.
    pub api: Option<SocketAddr>,
    /// The duties to perform.
    pub names: Vec<Duty>,
    /// The calls per second that the API takes from all daemons together.
    pub rate: f64,
    /// The time to live of the holder's lease, within which two holders must not act by turns.
    pub lease_ms: Millis,
    /// The length of a usage window.
    pub window: Seconds,
    /// How long after a window's end its report is due.
    pub due: Seconds,
}

impl Default for DutySettings {
    fn default() -> DutySettings {
        DutySettings {
            api: None,
            names: Vec::new(),
            rate: 50.0,
            lease_ms: Millis(3_000),
            window: Seconds(5.0),
            due: Seconds(10.0),
        }
    }
}

impl DutySettings {
    /// The API's address if `duty` is to be performed.
    pub fn api_for(&self, duty: Duty) -> Option<SocketAddr> {
        self.api.filter(|_| self.names.contains(&duty))
    }
}
