//! The figures that decided an order.

use std::fmt;

/// The figures that decided an order, in runners unless stated otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrderInputs {
    /// The mean demand; `None` without demand data.
    pub mean: Option<f64>,
    /// The highest demand.
    pub peak: Option<f64>,
    /// The highest demand of the most urgent priority.
    pub urgent: Option<f64>,
    /// The work that one runner does per second, in prompt tokens.
    pub capacity: f64,
    /// The runners that must be there after the loss of a zone's preemptible ones.
    pub target: f64,
    /// The on-demand runners wanted.
    pub base: f64,
    /// The preemptible runners wanted.
    pub preemptible: f64,
    /// The runners that take requests.
    pub ready: u32,
}

impl fmt::Display for OrderInputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_none = |value: Option<f64>| value.map_or_else(|| "none".to_owned(), |value| format!("{value:.1}"));
        write!(f, "mean={} peak={} urgent={} ", or_none(self.mean), or_none(self.peak), or_none(self.urgent))?;
        write!(f, "capacity={:.0} target={:.1} ", self.capacity, self.target)?;
        write!(f, "base={:.1} preemptible={:.1} ready={}", self.base, self.preemptible, self.ready)
    }
}
