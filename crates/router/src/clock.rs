//! The daemon's monotonic clock.

use std::time::Instant;

use teaselcroft_parts::Millis;

/// Milliseconds since the daemon started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }
}
