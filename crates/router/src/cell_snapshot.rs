//! The read-only cell state that the control thread publishes to the traffic threads.

use std::collections::BTreeMap;

use teaselcroft_parts::{DaemonName, Member, ModelName, RunnerName, SlotId};
use teaselcroft_policy::{ClassTable, EntryPoint};

use crate::vm_list::EntryVm;

/// A consistent snapshot of the cell; the control thread replaces it as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellSnapshot {
    /// The class rules of all teams' configurations in force.
    pub classes: ClassTable,
    /// Every entry VM in the VM list, alive or not.
    pub entries: BTreeMap<DaemonName, EntryVm>,
    /// Live daemons that are not stopping; callers are directed to these.
    pub entry_points: Vec<EntryPoint>,
    /// The address of each listed runner.
    pub runners: BTreeMap<RunnerName, String>,
    /// The daemon that dispatches each model or service.
    pub dispatchers: BTreeMap<ModelName, DaemonName>,
    /// The executor of each slot; slots whose executor is unknown or dead are absent.
    pub executors: BTreeMap<SlotId, Member>,
}
