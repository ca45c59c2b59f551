//! Whether a runner has a place for one more request.

use super::Load;
use crate::Priority;

/// Priorities from here on are lesser: they are refused under pressure, so that more urgent ones never are.
const FIRST_LESSER: Priority = Priority(2);

/// Whether requests of this priority give way to others.
pub fn is_lesser(priority: Priority) -> bool {
    priority >= FIRST_LESSER
}

/// The part of a runner's slots that lesser requests may fill; the rest is for urgent ones.
const LESSER_SHARE: f64 = 0.9;

/// Whether a runner with `slots` slots that carries `load` has a place for a request of this priority.
pub fn has_place(load: Load, slots: u32, priority: Priority) -> bool {
    let share = if is_lesser(priority) { LESSER_SHARE } else { 1.0 };
    f64::from(load.requests) < (f64::from(slots) * share).max(1.0)
}
