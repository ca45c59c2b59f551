//! The rate of calls to the control API that all duties share.

use teaselcroft_parts::Millis;

/// The share of the API's limit that the holder uses; calls of an earlier holder may still count against it.
const USED_SHARE: f64 = 0.2;

/// The most calls at once.
const BURST_CALLS: f64 = 3.0;

/// The pause after the API refused a call for its rate; it doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Millis = Millis(250);

/// The longest pause.
const MAX_PAUSE: Millis = Millis(4_000);

/// A token bucket for calls to the control API. A refusal for the rate pauses all calls.
#[derive(Debug, Clone, PartialEq)]
pub struct DutyRate {
    per_ms: f64,
    tokens: f64,
    updated: Millis,
    paused_until: Millis,
    pause: Millis,
}

impl DutyRate {
    /// A bucket for an API that takes `limit` calls per second from all daemons together.
    pub fn new(limit: f64, now: Millis) -> DutyRate {
        let per_ms = limit * USED_SHARE / 1_000.0;
        DutyRate { per_ms, tokens: 1.0, updated: now, paused_until: now, pause: MIN_PAUSE }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// It is too early; returns how long to wait before the next try.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        if now < self.paused_until {
            return Err(self.paused_until - now);
        }
        let filled = self.tokens + now.since(self.updated).0 as f64 * self.per_ms;
        (self.tokens, self.updated) = (filled.min(BURST_CALLS), now);
        if self.tokens < 1.0 {
            return Err(Millis(((1.0 - self.tokens) / self.per_ms).ceil() as u64));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Notes that the API refused a call for its rate.
    pub fn throttled(&mut self, now: Millis) {
        // Calls that were under way together are one refusal.
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + self.pause;
        self.pause = Millis(self.pause.0 * 2).min(MAX_PAUSE);
    }

    /// Notes that the API took a call.
    pub fn accepted(&mut self) {
        self.pause = MIN_PAUSE;
    }
}
