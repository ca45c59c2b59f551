//! Adaptive timeouts for a stream that sends nothing.

use teaselcroft_parts::Millis;

const MIN_TIMEOUT_MS: u64 = 400;
const MAX_GAP_TIMEOUT_MS: u64 = 10_000;
const MAX_FIRST_TIMEOUT_MS: u64 = 60_000;
const INITIAL_FIRST_MS: u64 = 1_000;
const INITIAL_GAP_MS: u64 = 400;
const INITIAL_PROMPT_TOKEN_MS: u64 = 1;
const FIRST_TOKEN_FACTOR: u64 = 4;
const GAP_FACTOR: u64 = 5;

/// Learns the time to first token and the gap between tokens of one class, and derives timeouts.
///
/// Each timeout is a multiple of a slowly decaying maximum, clamped to a fixed range.
#[derive(Debug, Clone)]
pub struct SilenceTimeout {
    gap_us: u64,
    first_us: u64,
}

impl SilenceTimeout {
    /// The initial timeouts for prompts of `prompt_tokens` tokens.
    pub fn for_prompt(prompt_tokens: u32) -> SilenceTimeout {
        let first_ms = INITIAL_FIRST_MS + u64::from(prompt_tokens) * INITIAL_PROMPT_TOKEN_MS;
        SilenceTimeout { gap_us: INITIAL_GAP_MS * 1_000, first_us: first_ms * 1_000 }
    }

    /// Records a time to first token.
    pub fn record_first_token(&mut self, span: Millis) {
        self.first_us = decayed_max(self.first_us, span);
    }

    /// Records a gap between two tokens.
    pub fn record_token_gap(&mut self, span: Millis) {
        self.gap_us = decayed_max(self.gap_us, span);
    }

    /// The timeout for the first token.
    pub fn first_token_timeout(&self) -> Millis {
        timeout(self.first_us * FIRST_TOKEN_FACTOR, MAX_FIRST_TIMEOUT_MS)
    }

    /// The timeout for each later token.
    pub fn gap_timeout(&self) -> Millis {
        timeout(self.gap_us * GAP_FACTOR, MAX_GAP_TIMEOUT_MS)
    }
}

/// Rises to a new maximum at once and decays by one part in 256 per sample.
fn decayed_max(maximum: u64, span: Millis) -> u64 {
    let sample = span.0.saturating_mul(1000);
    sample.max(maximum - maximum / 256)
}

fn timeout(us: u64, max_ms: u64) -> Millis {
    Millis((us / 1000).clamp(MIN_TIMEOUT_MS, max_ms))
}
