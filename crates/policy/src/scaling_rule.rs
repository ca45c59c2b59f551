//! What the operators allow and pay for runners of one service.

use std::collections::BTreeMap;

use teaselcroft_parts::{Millis, ZoneName};

/// How many runners of a service may be ordered in each availability zone, and what they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingRule {
    /// The fewest runners in a zone, both kinds together.
    pub min: u32,
    /// The most runners in a zone, both kinds together.
    pub max: u32,
    /// The time from an order until the runner serves.
    pub boot: Millis,
    /// The price of a preemptible runner, as a share of an on-demand one's.
    pub preemptible_price: Option<f64>,
    /// The price of an on-demand runner in each zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}
