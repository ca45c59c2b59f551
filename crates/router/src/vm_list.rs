//! The platform's lagging list of VMs.

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{DaemonName, ModelName, RunnerName, ZoneName};

use crate::kv::NoAnswer;

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The daemon on it.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for callers.
    pub address: String,
    /// Its address for other daemons.
    pub peer_address: String,
}

/// A runner's VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerVm {
    /// The runner on it.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: String,
    /// The model or service that it offers.
    pub upstream: ModelName,
    /// How many requests it runs at once.
    pub places: u32,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
}

/// The VMs known to the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// Entry VMs.
    pub entries: Vec<EntryVm>,
    /// Runners' VMs.
    pub runners: Vec<RunnerVm>,
}

/// What the system needs of the VM list.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list, which may lag.
    ///
    /// # Errors
    ///
    /// The platform did not answer.
    fn read(&self) -> impl Future<Output = Result<Vms, NoAnswer>> + Send;
}
