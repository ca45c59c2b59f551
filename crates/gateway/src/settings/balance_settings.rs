//! The settings of even load from reports of some age.

use serde::Deserialize;
use teaselcroft_parts::Millis;

/// The settings of even load from reports of some age, in use where the deployment states the condition `health`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct BalanceSettings {
    /// Whether it is in use there.
    pub enabled: bool,
    /// The mean time that a plain request occupies its runner, after which a reported load says little.
    pub hold_ms: Millis,
}

impl Default for BalanceSettings {
    fn default() -> BalanceSettings {
        BalanceSettings { enabled: true, hold_ms: Millis(100) }
    }
}
