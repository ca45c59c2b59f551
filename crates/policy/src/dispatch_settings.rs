//! The tuning parameters of a dispatcher.

use teaselcroft_parts::Millis;

/// The tuning parameters of a dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Share of all places that requests of non-urgent tiers may not take, in percent.
    pub reserve_percent: u32,
    /// Share of its patience after which a waiting request of a non-urgent tier is aged, in
    /// percent.
    pub age_percent: u64,
    /// One grant in this many goes to an aged request, so that lower tiers are not starved.
    pub aged_every: u64,
    /// How long aged requests get no precedence after an urgent request was refused.
    pub refusal_hold: Millis,
    /// Share of its target after which a waiting urgent request preempts others, in percent.
    pub preempt_percent: u64,
    /// The time that must be left until a request's target for it to count as on time, in percent
    /// of its expected hold time.
    pub margin_percent: u64,
    /// How long a crash suspect has a runner to itself; after that other requests may join it.
    pub isolate_for: Millis,
    /// A request's content is condemned after this many crashes during which it was the only
    /// request on its runner.
    pub isolated_crashes: u32,
    /// A runner whose token step takes more than this share of the median, in percent, is ejected:
    /// it gets a single request at a time.
    pub eject_percent: u64,
    /// An ejected runner whose token step takes at most this share of the median, in percent, is
    /// readmitted: its limit doubles with each tick.
    pub readmit_percent: u64,
    /// How long a runner that refused a connection or crashed gets no requests; a load report after
    /// this time brings it back.
    pub down_for: Millis,
    /// How long a new dispatcher takes the higher of load report and own count as a runner's load,
    /// because requests that its predecessor granted may not have been added again yet.
    pub adopt_for: Millis,
    /// The highest load, in percent of the mean, at which a runner still gets a prompt because it
    /// has the prefix cached.
    pub affinity_percent: u32,
    /// The maximum number of prompt prefixes whose last runner is remembered.
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
            isolate_for: Millis(3_000),
            isolated_crashes: 2,
            eject_percent: 250,
            readmit_percent: 150,
            down_for: Millis(1_000),
            adopt_for: Millis(3_000),
            affinity_percent: 125,
            prefix_max: 10_000,
        }
    }
}
