//! The platform's list of VMs, which may lag behind reality.

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{DaemonName, ModelName, RunnerName, ZoneName};

use crate::kv::NoAnswer;

/// A VM that runs an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The name of the daemon on it.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// The daemon's address for callers.
    pub address: String,
    /// The daemon's address for other daemons.
    pub peer_address: String,
}

/// A VM that runs a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerVm {
    /// The name of the runner on it.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// The runner's address as `host:port`.
    pub address: String,
    /// The model or service that the runner serves.
    pub upstream: ModelName,
    /// The runner's concurrency limit: how many requests it runs at once.
    pub places: u32,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
    /// Whether the runner rejects orders with a fencing token lower than one it has seen.
    pub fencing: bool,
}

/// The contents of the VM list at one read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The VMs that run entry daemons.
    pub entries: Vec<EntryVm>,
    /// The VMs that run runners.
    pub runners: Vec<RunnerVm>,
}

/// A client of the platform's VM list.
pub trait VmList: Send + Sync + 'static {
    /// Reads the whole list; it may be out of date.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer.
    fn read(&self) -> impl Future<Output = Result<Vms, NoAnswer>> + Send;
}
