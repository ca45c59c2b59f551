//! An order for a number of runners.

use std::fmt;

use teaselcroft_parts::{ModelName, ZoneName};

/// What kind of runner is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunnerKind {
    /// It stays until it is ordered down.
    OnDemand,
    /// It is cheaper, and the provider may take all of a zone away at short notice.
    Preemptible,
}

impl fmt::Display for RunnerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunnerKind::OnDemand => "on-demand",
            RunnerKind::Preemptible => "preemptible",
        })
    }
}

/// An order for a number of runners of one kind in one zone; it replaces the previous one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerOrder {
    /// The service.
    pub service: ModelName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The kind of runner.
    pub kind: RunnerKind,
    /// How many runners there should be.
    pub count: u32,
}
