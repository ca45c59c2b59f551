//! What the duty holder writes to the store, so that a successor goes on where it was.

use std::collections::BTreeSet;

use super::UsageStatement;
use crate::UsageWindow;

/// What the duty holder knows of windows that are not reported yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageCheckpoint {
    /// The oldest window that may still be written down; the records of older ones may be removed.
    pub floor: UsageWindow,
    /// Windows from the floor on whose reports the control API accepted.
    pub accepted: BTreeSet<UsageWindow>,
    /// The counts of each daemon's run.
    pub statements: Vec<UsageStatement>,
}
