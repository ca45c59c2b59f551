//! The store calls that a duty holder or candidate asks for.

use crate::{DutyClaim, DutyHistory, FencingToken};

/// A store call that a duty holder or candidate asks for; its driver makes one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyAction {
    /// Read the holder's key.
    ReadHolder,
    /// Read the history of holders.
    ReadHistory,
    /// Create a lease.
    Grant,
    /// Write the holder's key and the history, if there is no holder and the history is as read.
    Claim(DutyClaim),
    /// Renew the lease with this id.
    Renew(u64),
    /// Remove the holder's key and write the history, if the holder's key is still at the revision of this token.
    Release(FencingToken, DutyHistory),
    /// End the lease with this id.
    Revoke(u64),
}
