//! Whether a runner has a place for one more request.

use teaselcroft_parts::Millis;

use super::Load;
use crate::Priority;

/// A request whose first event is on time later than this can be asked to come back.
const PATIENT_TARGET: Millis = Millis(1_000);

/// The pressure up to which patient requests of the second priority are admitted: such a burst is read in so long.
const MOST_PRESSURE_SECOND: Millis = Millis(3_000);

/// The same for patient requests of lower priorities.
const MOST_PRESSURE: Millis = Millis(1_000);

/// The pressure up to which a request is admitted, or `None` if it gives way to nobody: the most urgent priority,
/// and whoever waits for an answer now. A customer's priority counts for all its requests, so that priority
/// alone would refuse some customers' short requests and admit others' long ones.
pub fn most_pressure(priority: Priority, target: Millis) -> Option<Millis> {
    match priority.0 {
        _ if target < PATIENT_TARGET => None,
        0 => None,
        1 => Some(MOST_PRESSURE_SECOND),
        _ => Some(MOST_PRESSURE),
    }
}

/// The part of a runner's slots that lesser requests may fill; the rest is for urgent ones.
const LESSER_SHARE: f64 = 0.9;

/// Whether a runner with `slots` slots that carries `load` has a place for a request that gives way, or for one that
/// does not.
pub fn has_place(load: Load, slots: u32, gives_way: bool) -> bool {
    let share = if gives_way { LESSER_SHARE } else { 1.0 };
    f64::from(load.requests) < (f64::from(slots) * share).max(1.0)
}
