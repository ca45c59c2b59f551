//! Features of placement that a deployment may turn off.

use serde::Deserialize;

/// Features of placement, in use where the deployment's conditions call for them.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PlacementSettings {
    /// Whether runners that fail most of their requests while others answer theirs are ejected for a while.
    pub outliers: bool,
    /// Whether the prefill rates of model runners are learned.
    pub speeds: bool,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings { outliers: true, speeds: true }
    }
}
