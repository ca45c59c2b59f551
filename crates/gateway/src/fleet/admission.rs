//! Whether a runner takes one more request: answers bursts in which engines read prompts without pause.
//!
//! While an engine reads, each step of its batch takes ten times as long. Requests then pile up, streams last
//! longer than callers wait, and slots run out for urgent work too. Less urgent requests therefore leave a part
//! of each runner free; beyond it they are refused at once and may come back.

use teaselcroft_parts::Millis;

use super::Load;
use crate::Priority;

/// The part of a runner's slots that the most urgent requests may fill.
const MOST_URGENT_SHARE: f64 = 1.0;

/// How much smaller the part is for each step of priority.
const SHARE_STEP: f64 = 0.25;

/// The smallest part.
const LEAST_SHARE: f64 = 0.5;

/// How many times a request's target may pass before its prompt's turn comes.
const WAIT_SHARE: f64 = 1.5;

/// Whether a request of this priority that would wait so long begins soon enough to be worth it: late answers still help their callers, and
/// refused requests do not always return in time. The most urgent ones are
/// read first and wait for nobody.
pub fn begins_soon(wait: f64, target: Millis, priority: Priority) -> bool {
    priority == Priority(0) || wait <= target.0 as f64 * WAIT_SHARE
}

/// Whether a runner with `slots` slots that carries `load` takes a request of this priority.
pub fn admits(load: Load, slots: u32, priority: Priority) -> bool {
    let share = (MOST_URGENT_SHARE - SHARE_STEP * f64::from(priority.0)).max(LEAST_SHARE);
    f64::from(load.requests) < (f64::from(slots) * share).max(1.0)
}
