//! The counts of all daemons in one window.

use super::CustomerCounts;
use crate::Member;

/// The counts of all daemons in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageTotal {
    /// The requests of each customer, estimated ones included.
    pub counts: CustomerCounts,
    /// Daemons that fell silent within the window, and how many requests were added for each.
    pub estimated: Vec<(Member, u64)>,
}
