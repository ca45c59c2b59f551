//! The holder's own view of how long a lease is good for.

use crate::Millis;

/// Judges a lease on the holder's monotonic clock, from before each renewal was sent.
///
/// ```
/// use teaselcroft_parts::{LeaseClock, Millis};
///
/// let mut lease = LeaseClock::new(Millis(5_000), Millis(500));
/// lease.renewed(Millis(1_000));
/// assert!(lease.is_valid(Millis(5_000)));
/// assert!(!lease.is_valid(Millis(6_000)));
/// ```
#[derive(Debug, Clone)]
pub struct LeaseClock {
    ttl: Millis,
    margin: Millis,
    until: Millis,
}

impl LeaseClock {
    /// A lease not yet held, of `ttl` less a safety `margin`.
    pub const fn new(ttl: Millis, margin: Millis) -> LeaseClock {
        LeaseClock { ttl, margin, until: Millis(0) }
    }

    /// Records that a renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: Millis) {
        let until = sent + (self.ttl - self.margin);
        self.until = self.until.max(until);
    }

    /// Records that the lease was released or lost.
    pub fn lost(&mut self) {
        self.until = Millis(0);
    }

    /// Whether the lease still holds at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}
