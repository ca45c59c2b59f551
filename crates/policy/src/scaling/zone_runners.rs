//! The runners of one service in one zone, as counted from their entries.

/// The runners of one service in one zone, as counted from their entries. Those whose entry does not state a kind count
/// as on-demand ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneRunners {
    /// On-demand runners that take requests.
    pub on_demand: u32,
    /// Preemptible runners that take requests.
    pub preemptible: u32,
    /// Runners of both kinds that are leaving.
    pub leaving: u32,
}
