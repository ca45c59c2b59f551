//! The work that one runner does per second, learned from what the runners achieved.

use super::ScalingSettings;

/// How fast the estimate follows what runners at their capacity achieve.
const FOLLOW_SHARE: f64 = 0.1;

/// How fast the estimate follows what the slots in use say; slower, as runners answer sooner when they have few requests.
const SLOTS_SHARE: f64 = 0.05;

/// The most that the slots in use can raise the estimate to, over the default: long prompts fill a runner's prefill with
/// few slots in use.
const MAX_BY_SLOTS: f64 = 1.5;

/// With fewer slots in use they say little of the capacity.
const MIN_USED: f64 = 0.25;

/// The work that one runner does per second, in prompt tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityEstimate {
    work: f64,
}

impl CapacityEstimate {
    /// The estimate of a predecessor, or the default.
    pub fn new(learned: Option<f64>, settings: &ScalingSettings) -> CapacityEstimate {
        let valid = learned.filter(|work| work.is_finite() && *work > 0.0);
        CapacityEstimate { work: valid.unwrap_or(settings.default_capacity) }
    }

    /// The work per second.
    pub fn work(self) -> f64 {
        self.work
    }

    /// Learns from the work per second that each ready runner did while `used` of its capacity was in use, judged by its
    /// slots. Runners that are full, or that refuse work, do what they can; without that it is a lower bound.
    pub fn learn(&mut self, done: f64, used: f64, is_full: bool, settings: &ScalingSettings) {
        if !done.is_finite() {
            return;
        }
        // A fault may keep full runners from doing any work, which says nothing of their capacity.
        let least = settings.default_capacity / 4.0;
        if is_full {
            self.work += (done.max(least) - self.work) * FOLLOW_SHARE;
            return;
        }
        if used >= MIN_USED {
            let most = settings.default_capacity * MAX_BY_SLOTS;
            self.work += ((done / used).clamp(least, most) - self.work) * SLOTS_SHARE;
        }
        self.work = self.work.max(done);
    }
}
