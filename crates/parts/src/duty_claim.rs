//! One attempt to become the duty holder.

use crate::{DaemonName, DutyHistory};

/// One attempt to become the duty holder. Sent again unchanged, it is applied at most once, since it depends on the
/// revision of the history that it changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyClaim {
    /// The daemon that claims.
    pub name: DaemonName,
    /// A random number that tells this attempt from others of the same daemon.
    pub nonce: u64,
    /// The id of the lease under which the holder's key is written.
    pub lease: u64,
    /// The revision of the history that was read; `None` if there was none.
    pub read_at: Option<u64>,
    /// The history with this daemon as its last holder.
    pub history: DutyHistory,
}

impl DutyClaim {
    /// The value of the holder's key.
    pub fn holder_value(&self) -> String {
        format!("{}\n{}", self.name, self.nonce)
    }
}
