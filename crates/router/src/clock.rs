//! The daemon's monotonic clock.

use std::time::Instant;

use teaselcroft_parts::Millis;

/// A monotonic clock that counts milliseconds from the daemon's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time since the clock started.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }
}
