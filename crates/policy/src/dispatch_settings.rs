//! Bounds of a dispatcher.

use teaselcroft_parts::Millis;

/// Bounds of a dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Share of all places kept free of tiers below the urgent ones, in percent.
    pub reserve_percent: u32,
    /// Share of its patience that a lower tier's request waits before it is aged, in percent.
    pub age_percent: u64,
    /// One grant in this many goes to an aged request.
    pub aged_every: u64,
    /// Aged requests get no grants for this long after an urgent one was refused.
    pub refusal_hold: Millis,
    /// Share of its target that an urgent request waits before it preempts, in percent.
    pub preempt_percent: u64,
    /// Expected time at a runner that a request needs to count as on time, in percent.
    pub margin_percent: u64,
    /// How long a suspect runs without companions.
    pub alone_for: Millis,
    /// Crashes without companions after which a request is refused.
    pub alone_crashes: u32,
    /// A runner this many times slower than the median, in percent, gets a single request at a time.
    pub eject_percent: u64,
    /// An ejected runner at most this many times slower than the median, in percent, is let back.
    pub readmit_percent: u64,
    /// How long a runner that refused a connection or crashed gets no work without a new report.
    pub down_for: Millis,
    /// How long a new dispatcher trusts load reports over its own counts.
    pub adopt_for: Millis,
    /// How far above the mean load a runner may be to get a prompt for its cached prefix, in percent.
    pub affinity_percent: u32,
    /// Prefixes remembered.
    pub prefix_max: usize,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            reserve_percent: 15,
            age_percent: 25,
            aged_every: 8,
            refusal_hold: Millis(1_000),
            preempt_percent: 15,
            margin_percent: 150,
            alone_for: Millis(3_000),
            alone_crashes: 2,
            eject_percent: 250,
            readmit_percent: 150,
            down_for: Millis(1_000),
            adopt_for: Millis(3_000),
            affinity_percent: 125,
            prefix_max: 10_000,
        }
    }
}
