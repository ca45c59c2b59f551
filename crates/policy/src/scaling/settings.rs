//! The constants of the decision how many runners to order.

use teaselcroft_parts::Millis;

/// The constants of the decision how many runners to order; `docs/design/runner-orders.md` has the figures behind them.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSettings {
    /// Capacity kept against the highest demand of the window.
    pub headroom: f64,
    /// How far a burst exceeds the mean demand.
    pub burst: f64,
    /// The part of the mean demand that on-demand runners carry; without demand data, of the capacity at the start.
    pub base_share: f64,
    /// The most that one order lowers the runners of a zone by, as a share.
    pub down_share: f64,
    /// The same while preemptible runners that serve already replace on-demand ones.
    pub replace_share: f64,
    /// The time between two orders that lower the on-demand runners of a zone.
    pub down_interval: Millis,
    /// The time between two orders that lower the preemptible runners, and after one that raised them.
    pub shed_interval: Millis,
    /// Preemptible runners are ordered down only above this many times the need.
    pub shed_above: f64,
    /// An order above the last one adds this share, so that small changes of demand need no further order.
    pub raise_margin: f64,
    /// How long nothing of a kind is ordered in a zone that had none available.
    pub none_pause: Millis,
    /// How long an order that got no answer waits before it is repeated.
    pub retry_pause: Millis,
    /// How long a new runner serves before another one is ordered down for it.
    pub settle: Millis,
    /// Nothing is ordered down until the runners and the demand have been known for this long.
    pub min_knowledge: Millis,
    /// How long a zone that lost its preemptible runners counts as without them, unless they return earlier. Reclaims
    /// last up to 11 s.
    pub reclaim: Millis,
    /// How much later than the boot time an ordered runner may appear; its entry passes the store and a watch.
    pub boot_slack: Millis,
    /// The demand that is considered.
    pub window: Millis,
    /// The time over which a rate of demand is averaged.
    pub rate_span: Millis,
    /// The work of one runner per second, in prompt tokens, until a higher one was seen. Admission control lets a
    /// runner of 50 tokens per ms prefill for 0.6 of the time.
    pub default_capacity: f64,
    /// The work of one output token, in prompt tokens: a runner that prefills 50 tokens per ms generates about 1,250
    /// tokens per second for a full batch.
    pub output_weight: f64,
    /// The share of a runner's slots that may be in use before it counts as full.
    pub busy_share: f64,
    /// A smaller share of refused work is no sign that the runners are at their capacity.
    pub refused_share: f64,
}

impl Default for ScalingSettings {
    fn default() -> ScalingSettings {
        ScalingSettings {
            headroom: 1.15,
            burst: 2.6,
            base_share: 0.4,
            down_share: 0.1,
            replace_share: 0.25,
            down_interval: Millis(2_000),
            shed_interval: Millis(15_000),
            shed_above: 1.5,
            raise_margin: 0.1,
            none_pause: Millis(5_000),
            retry_pause: Millis(1_000),
            settle: Millis(2_000),
            min_knowledge: Millis(3_000),
            reclaim: Millis(12_000),
            boot_slack: Millis(2_000),
            window: Millis(60_000),
            rate_span: Millis(2_000),
            default_capacity: 30_000.0,
            output_weight: 40.0,
            busy_share: 0.7,
            refused_share: 0.02,
        }
    }
}
