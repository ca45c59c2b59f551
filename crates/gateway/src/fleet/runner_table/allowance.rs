//! What may be sent to a runner within its rate limit.

use teaselcroft_parts::Millis;

use crate::RequestRate;

/// The share of a limit that is used; the rest covers two placement leaders at once and word that is late.
const LIMIT_SHARE: f64 = 0.75;

/// The slowest rate that is used, so that a runner with the limit 0 can state another one, in requests per second.
const MIN_RATE: f64 = 0.05;

/// Unused allowance is kept for this long, beside one whole request, in seconds.
const BURST_SECONDS: f64 = 0.5;

/// The deepest debt, as seconds of the rate; two leaders at once may take more than there is.
const MAX_DEBT_SECONDS: f64 = 4.0;

/// A token bucket that fills with the runner's rate limit; each request takes one token, also those that other daemons let
/// pass, so that a daemon which becomes the placement leader goes on where the last one was.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Allowance {
    tokens: f64,
    updated: Millis,
}

impl Allowance {
    /// An empty bucket.
    pub fn new(now: Millis) -> Allowance {
        Allowance { tokens: 0.0, updated: now }
    }

    /// Whether a request may be sent.
    pub fn is_available(&self, limit: RequestRate, now: Millis) -> bool {
        self.tokens_at(limit, now) >= 1.0
    }

    /// Takes the tokens of `count` requests.
    pub fn take(&mut self, count: u32, limit: RequestRate, now: Millis) {
        let lowest = -1.0 - fill_rate(limit) * MAX_DEBT_SECONDS;
        self.tokens = (self.tokens_at(limit, now) - f64::from(count)).max(lowest);
        self.updated = now;
    }

    fn tokens_at(&self, limit: RequestRate, now: Millis) -> f64 {
        let rate = fill_rate(limit);
        let filled = self.tokens + now.since(self.updated).0 as f64 / 1_000.0 * rate;
        filled.min(1.0 + rate * BURST_SECONDS)
    }
}

/// The tokens per second.
fn fill_rate(limit: RequestRate) -> f64 {
    (limit.per_second() * LIMIT_SHARE).max(MIN_RATE)
}
