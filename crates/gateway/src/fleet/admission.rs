//! Admission control: which requests are shed under prefill pressure, and how many slots sheddable ones may occupy.

use teaselcroft_parts::Millis;

use super::Load;
use crate::Priority;

/// Only requests whose target time to the first event is at least this long may be shed; their callers are asked to
/// retry.
const MIN_SHEDDABLE_TARGET: Millis = Millis(1_000);

/// The pressure up to which sheddable requests of priority 1 are admitted. In a burst of long prompts on cold caches a
/// runner prefills without pause until the admitted pressure has drained, and requests beside them miss their targets.
const MAX_PRESSURE_PRIORITY_1: Millis = Millis(1_000);

/// The pressure up to which sheddable requests of lower priorities are admitted.
const MAX_PRESSURE_LOWER: Millis = Millis(500);

/// The pressure up to which a request is admitted, or `None` if it is never shed: requests of the most urgent
/// priority, and those whose caller waits for an immediate answer. A customer's priority applies to all its requests,
/// so shedding by priority alone would refuse short requests of some customers and admit long ones of others.
pub fn max_pressure(priority: Priority, target: Millis) -> Option<Millis> {
    match priority.0 {
        _ if target < MIN_SHEDDABLE_TARGET => None,
        0 => None,
        1 => Some(MAX_PRESSURE_PRIORITY_1),
        _ => Some(MAX_PRESSURE_LOWER),
    }
}

/// The share of a runner's slots that sheddable requests may occupy; the rest is reserved for urgent ones.
const SHEDDABLE_SHARE: f64 = 0.9;

/// Whether a runner with `slots` slots under `load` has a free slot for one more request, which may use all slots
/// unless it is sheddable.
pub fn has_free_slot(load: Load, slots: u32, is_sheddable: bool) -> bool {
    let share = if is_sheddable { SHEDDABLE_SHARE } else { 1.0 };
    f64::from(load.requests) < (f64::from(slots) * share).max(1.0)
}
