//! A leaky bucket of the prompt tokens that a runner was sent, against what it can prefill while it generates.
//!
//! An engine that prefills without pause slows its running streams tenfold. The bucket therefore drains at
//! a fraction of the prefill rate: while prompts arrive faster than that, pressure rises until requests of lower
//! priority are shed, and the rest of the engine's time goes to the running streams.

use teaselcroft_parts::Millis;

/// The share of an engine's time that prefill may take in the long run.
const PREFILL_SHARE: f64 = 0.6;

/// Prompt tokens that a runner was sent and that have not drained from the bucket yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    tokens: f64,
    updated: Millis,
}

impl Pressure {
    /// Adds prompt tokens for an engine that prefills `rate` tokens per millisecond.
    pub fn add(&mut self, tokens: u32, rate: f64, now: Millis) {
        self.tokens = self.tokens_at(rate, now) + f64::from(tokens);
        self.updated = now;
    }

    /// How long the tokens in the bucket take to drain.
    pub fn drain_time(&self, rate: f64, now: Millis) -> Millis {
        Millis((self.tokens_at(rate, now) / (rate * PREFILL_SHARE)) as u64)
    }

    fn tokens_at(&self, rate: f64, now: Millis) -> f64 {
        let drained = now.since(self.updated).0 as f64 * rate * PREFILL_SHARE;
        (self.tokens - drained).max(0.0)
    }
}
