//! The time until which the holder of a lease may rely on it.

use crate::Millis;

/// Tracks the expiry of a lease on the holder's monotonic clock. The time runs from when a renewal was sent, so that
/// the holder stops before the granting side lets the lease expire.
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
    expires: Millis,
}

impl LeaseClock {
    /// A lease that is not held yet; once renewed, it is valid for `ttl` less the safety margin `margin`.
    pub const fn new(ttl: Millis, margin: Millis) -> LeaseClock {
        LeaseClock { ttl, margin, expires: Millis(0) }
    }

    /// Records that a renewal sent at `sent` succeeded; a late reply to an earlier renewal does not shorten the lease.
    pub fn renewed(&mut self, sent: Millis) {
        let expires = sent + (self.ttl - self.margin);
        self.expires = self.expires.max(expires);
    }

    /// Records that the lease was released or lost.
    pub fn lost(&mut self) {
        self.expires = Millis(0);
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires
    }
}
