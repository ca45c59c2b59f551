//! An order that the decision returns, with what decided it.

use teaselcroft_parts::ZoneName;

use super::{OrderInputs, OrderReason};
use crate::RunnerKind;

/// An order for runners of one kind in one zone, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneOrder {
    /// The availability zone.
    pub zone: ZoneName,
    /// The kind of runner.
    pub kind: RunnerKind,
    /// How many runners there should be.
    pub count: u32,
    /// Why.
    pub reason: OrderReason,
    /// The figures that decided it.
    pub inputs: OrderInputs,
}
