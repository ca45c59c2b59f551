//! A runner that is silent.

use teaselcroft_parts::Millis;

use super::silence::Silence;

/// The entries of runners that fell silent together vanish within this time: a heartbeat, as each entry outlasts the last one
/// by the same time, and the delay until a daemon sees it.
const REMOVAL_SPREAD: Millis = Millis(1_500);

/// A runner that is silent, as far as this daemon knows.
#[derive(Debug, Clone, Copy)]
pub struct SilentRunner {
    /// The time of its start, if it is known.
    pub started_at: Option<i64>,
    /// When it fell silent.
    pub silence: Silence,
    /// When its entry vanished.
    pub removed_at: Option<Millis>,
}

impl SilentRunner {
    /// Whether both entries vanished so close to each other that the runners may have fallen silent together.
    pub fn is_removed_near(&self, other: &SilentRunner) -> bool {
        let both = self.removed_at.zip(other.removed_at);
        both.is_some_and(|(one, other)| one.since(other).max(other.since(one)) <= REMOVAL_SPREAD)
    }

    /// Whether its entry vanished at `start`, or so soon afterwards.
    pub fn is_removed_within(&self, start: Millis) -> bool {
        self.removed_at.is_some_and(|at| at >= start && at.since(start) <= REMOVAL_SPREAD)
    }
}
