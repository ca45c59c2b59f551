//! What one daemon states of its counts.

use std::collections::BTreeMap;

use super::CustomerCounts;
use crate::{Member, UnixMs, UsageWindow};

/// The counts of one run of a daemon, cumulative for each window. A later statement has counts at least as high, so that
/// repeated, lost and reordered ones do no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageStatement {
    /// The daemon's run.
    pub member: Member,
    /// The time up to which the counts are complete.
    pub as_of: UnixMs,
    /// The counts by window.
    pub windows: BTreeMap<UsageWindow, CustomerCounts>,
}
