//! How much a runner was given to read lately, against what it can read while its streams go on.
//!
//! An engine that reads without pause makes its streams ten times slower. Each runner's pressure therefore drains
//! at a part of its reading rate: while requests come faster than that, pressure rises until lesser ones are
//! refused, and the rest of the time belongs to the streams under way.

use teaselcroft_parts::Millis;

use super::READ_TOKENS_PER_MS;

/// The part of an engine's time that reading may take for long.
const READING_SHARE: f64 = 0.6;

/// Tokens that a runner was given to read and that have not drained yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    tokens: f64,
    at: Millis,
}

impl Pressure {
    /// Adds tokens to read.
    pub fn add(&mut self, tokens: u32, now: Millis) {
        self.tokens = self.tokens_at(now) + f64::from(tokens);
        self.at = now;
    }

    /// How long all that was given would take to drain.
    pub fn drain_time(&self, now: Millis) -> Millis {
        Millis((self.tokens_at(now) / (READ_TOKENS_PER_MS * READING_SHARE)) as u64)
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let drained = now.since(self.at).0 as f64 * READ_TOKENS_PER_MS * READING_SHARE;
        (self.tokens - drained).max(0.0)
    }
}
