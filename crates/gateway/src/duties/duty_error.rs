//! Why a call of a duty failed.

use std::fmt;

use crate::ControlError;
use crate::store::StoreError;

/// Why a call of a duty failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyError {
    /// This daemon does not hold the duties any more; nothing was sent.
    NotHolder,
    /// The control API failed or rejected the call.
    Control(ControlError),
    /// The store failed or rejected the call.
    Store(StoreError),
}

impl fmt::Display for DutyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DutyError::NotHolder => f.write_str("this daemon does not hold the duties"),
            DutyError::Control(error) => error.fmt(f),
            DutyError::Store(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DutyError {}

impl From<ControlError> for DutyError {
    fn from(error: ControlError) -> DutyError {
        DutyError::Control(error)
    }
}

impl From<StoreError> for DutyError {
    fn from(error: StoreError) -> DutyError {
        DutyError::Store(error)
    }
}
