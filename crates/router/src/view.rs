//! What the control thread lets the traffic threads see.

use std::collections::BTreeMap;

use teaselcroft_parts::{DaemonName, Member, ModelName, RunnerName, SlotId};
use teaselcroft_policy::{ClassTable, EntryPoint};

use crate::vm_list::EntryVm;

/// A consistent picture of the cell; replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The rules in force.
    pub classes: ClassTable,
    /// Every entry VM listed.
    pub entries: BTreeMap<DaemonName, EntryVm>,
    /// Daemons that callers may be told to use.
    pub entry_points: Vec<EntryPoint>,
    /// The address of each runner.
    pub runners: BTreeMap<RunnerName, String>,
    /// The dispatcher of each model or service.
    pub dispatchers: BTreeMap<ModelName, DaemonName>,
    /// The executor of each slot, if it is known and alive.
    pub executors: BTreeMap<SlotId, Member>,
}
