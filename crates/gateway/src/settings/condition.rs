//! What a deployment has to expect of its runners and callers.

use serde::Deserialize;

/// What a deployment has to expect; features that answer it are in use only there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Condition {
    /// Runners whose health checks are wrong, that fail their requests or turn slow.
    Health,
    /// A condition that needs no feature of its own.
    #[serde(other)]
    Other,
}
