//! Why runners are ordered.

use std::fmt;

/// Why runners are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReason {
    /// Capacity for a burst, or for the loss of a zone's preemptible runners, is missing.
    Need,
    /// Preemptible runners are to replace on-demand ones.
    Replace,
    /// The preemptible runners of another zone are being reclaimed.
    Reclaimed,
    /// Too few preemptible runners are available for the present demand.
    Shortage,
    /// The zone has fewer runners than the operators ask for.
    Minimum,
    /// Preemptible runners have taken over from on-demand ones.
    Replaced,
    /// There are more runners than needed.
    Surplus,
    /// An earlier order had no effect yet, or its runners are gone.
    Repeat,
}

impl fmt::Display for OrderReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OrderReason::Need => "need",
            OrderReason::Replace => "replace",
            OrderReason::Reclaimed => "reclaimed",
            OrderReason::Shortage => "shortage",
            OrderReason::Minimum => "minimum",
            OrderReason::Replaced => "replaced",
            OrderReason::Surplus => "surplus",
            OrderReason::Repeat => "repeat",
        })
    }
}
