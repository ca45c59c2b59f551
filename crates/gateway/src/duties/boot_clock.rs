//! A monotonic clock that also counts the time for which the system was suspended.

use rustix::time::{ClockId, clock_gettime};
use teaselcroft_parts::Millis;

/// The time since the system booted, suspended time included (`CLOCK_BOOTTIME`).
pub fn boot_time() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis(seconds * 1_000 + nanoseconds / 1_000_000)
}
