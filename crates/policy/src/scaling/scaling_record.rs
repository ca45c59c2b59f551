//! What a successor needs to go on with the orders of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::ZoneName;

/// The runners ordered in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedCounts {
    /// On-demand runners.
    #[serde(default)]
    pub on_demand: u32,
    /// Preemptible runners.
    #[serde(default)]
    pub preemptible: u32,
}

/// What a successor needs to go on with the orders of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ScalingRecord {
    /// The runners ordered last in each zone.
    #[serde(default)]
    pub orders: BTreeMap<ZoneName, OrderedCounts>,
    /// The capacity to keep until there is enough demand data, in runners.
    #[serde(default)]
    pub target: f64,
    /// The learned work of one runner per second, in prompt tokens.
    #[serde(default)]
    pub capacity: Option<f64>,
}
