//! Learns how fast a model engine prefills prompts, from its backlog of prompt tokens over time.
//!
//! It answers runners of one service whose speeds differ, permanently or for short periods: with one assumed speed the
//! slow ones are sent more than they can bear, while the fast ones refuse work.

use teaselcroft_parts::Millis;

/// How long it takes on the average until the end of a prefill is known here: the way of the request, half of the time
/// between load reports and the way of a report. It counts as busy time once for each period of work.
const REPORT_DELAY: Millis = Millis(30);

/// Busy time after which an observation has lost half of its weight.
const HALF_LIFE: Millis = Millis(1_500);

/// The busy time for which the assumed rate counts beside what was observed.
const PRIOR_TIME: Millis = Millis(300);

/// Bounds of a learned rate, as ratios of the assumed one. A request that fails, or whose prompt was cached without being
/// known to be, ends its prefill at once and looks like a fast one.
const MIN_RATIO: f64 = 0.3;
const MAX_RATIO: f64 = 1.6;

/// The prefill rate of one engine, learned from its backlog.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillMeter {
    backlog: u32,
    updated: Millis,
    /// What is left of the report delay in this period of work.
    delay: Millis,
    /// Weighted busy time, in milliseconds, and the prompt tokens that were prefilled in it.
    busy: f64,
    done: f64,
}

impl PrefillMeter {
    /// Records the prompt tokens that the engine has not prefilled yet as of `now`.
    pub fn observe(&mut self, backlog: u32, now: Millis) {
        let elapsed = now.since(self.updated);
        if self.backlog > 0 {
            let skipped = elapsed.min(self.delay);
            self.delay = self.delay.since(skipped);
            let busy = elapsed.since(skipped).0 as f64;
            let weight = (-busy / HALF_LIFE.0 as f64).exp2();
            self.busy = self.busy * weight + busy;
            self.done = self.done * weight + f64::from(self.backlog.saturating_sub(backlog));
        } else {
            self.delay = REPORT_DELAY;
        }
        self.backlog = backlog;
        self.updated = self.updated.max(now);
    }

    /// The prompt tokens that the engine prefills per millisecond, given the rate that is assumed without observations.
    pub fn rate(&self, assumed: f64) -> f64 {
        let prior = PRIOR_TIME.0 as f64;
        let rate = (assumed * prior + self.done) / (prior + self.busy);
        rate.clamp(assumed * MIN_RATIO, assumed * MAX_RATIO)
    }
}
