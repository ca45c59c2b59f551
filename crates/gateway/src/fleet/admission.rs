//! Whether a runner has a place for one more request.

use super::Load;
use crate::Priority;

/// The part of a runner's slots that lesser requests may fill; the rest is for the most urgent ones.
const LESSER_SHARE: f64 = 0.9;

/// Whether a runner with `slots` slots that carries `load` has a place for a request of this priority.
pub fn has_place(load: Load, slots: u32, priority: Priority) -> bool {
    let share = if priority == Priority(0) { 1.0 } else { LESSER_SHARE };
    f64::from(load.requests) < (f64::from(slots) * share).max(1.0)
}
