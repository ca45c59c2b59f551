//! The settings of usage reports.

use crate::{Millis, UnixMs, UsageWindow};

/// The settings of usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageSettings {
    /// The length of a window.
    pub window: Millis,
    /// How long after its end a window's report is due.
    pub due: Millis,
    /// The time between two statements of a daemon.
    pub interval: Millis,
    /// How long after its end, and two intervals, a window is settled.
    pub margin: Millis,
    /// The time between two checkpoints.
    pub checkpoint: Millis,
    /// The age in windows at which a report is given up and its record removed.
    pub retained: u64,
    /// The windows of which a daemon states its counts.
    pub stated: u64,
}

impl Default for UsageSettings {
    fn default() -> UsageSettings {
        UsageSettings {
            window: Millis(5_000),
            due: Millis(10_000),
            interval: Millis(250),
            margin: Millis(500),
            checkpoint: Millis(1_000),
            retained: 10,
            stated: 4,
        }
    }
}

impl UsageSettings {
    /// The shortest time between two statements of a daemon, and its growth with the number of daemons; it keeps the
    /// holder's load at 330 statements a second.
    const MIN_INTERVAL: Millis = Millis(250);
    const INTERVAL_PER_DAEMON: u64 = 3;

    /// The time between two statements of each of so many daemons.
    pub fn interval_for(daemons: usize) -> Millis {
        let daemons = u64::try_from(daemons).unwrap_or(u64::MAX);
        Millis(daemons.saturating_mul(Self::INTERVAL_PER_DAEMON)).max(Self::MIN_INTERVAL)
    }

    /// The window at a time.
    pub fn window_at(&self, at: UnixMs) -> UsageWindow {
        UsageWindow(at.0 / self.window.0.max(1))
    }

    /// The beginning of a window.
    pub fn start(&self, window: UsageWindow) -> UnixMs {
        UnixMs(window.0.saturating_mul(self.window.0))
    }

    /// The end of a window.
    pub fn end(&self, window: UsageWindow) -> UnixMs {
        self.start(window) + self.window
    }

    /// When a window is settled if every daemon that counted in it was heard after its end.
    pub fn settled(&self, window: UsageWindow) -> UnixMs {
        self.end(window) + self.interval + self.interval + self.margin
    }

    /// When a window is settled in any case. Half of the time until the report is due is left to write and send it.
    pub fn latest(&self, window: UsageWindow) -> UnixMs {
        self.settled(window).max(self.end(window) + Millis(self.due.0 / 2))
    }

    /// The oldest window that is still reported at a time.
    pub fn oldest(&self, at: UnixMs) -> UsageWindow {
        UsageWindow(self.window_at(at).0.saturating_sub(self.retained))
    }
}
