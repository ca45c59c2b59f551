//! How long a stream of a class may stay silent.

use teaselcroft_parts::Millis;

const SHORTEST_MS: u64 = 400;
const LONGEST_GAP_MS: u64 = 10_000;
const LONGEST_FIRST_MS: u64 = 60_000;
const FIRST_BASE_MS: u64 = 1_000;
const FIRST_GAP_MS: u64 = 400;
const FIRST_EACH_TOKEN_MS: u64 = 1;
const FIRST_TOKEN_FACTOR: u64 = 4;
const GAP_FACTOR: u64 = 5;

/// Learns the gaps between the parts of an answer and bounds the next one.
#[derive(Debug, Clone)]
pub struct SilenceTimeout {
    gap_milli: u64,
    first_milli: u64,
}

impl SilenceTimeout {
    /// Bounds for prompts of `prompt_tokens` tokens, before anything was learned.
    pub fn for_prompt(prompt_tokens: u32) -> SilenceTimeout {
        let first_ms = FIRST_BASE_MS + u64::from(prompt_tokens) * FIRST_EACH_TOKEN_MS;
        SilenceTimeout { gap_milli: FIRST_GAP_MS * 1_000, first_milli: first_ms * 1_000 }
    }

    /// Takes in the time to a first token.
    pub fn first(&mut self, span: Millis) {
        self.first_milli = decayed_max(self.first_milli, span);
    }

    /// Takes in a gap between two tokens.
    pub fn gap(&mut self, span: Millis) {
        self.gap_milli = decayed_max(self.gap_milli, span);
    }

    /// The longest silence to accept before the first token.
    pub fn first_token_timeout(&self) -> Millis {
        bound(self.first_milli * FIRST_TOKEN_FACTOR, LONGEST_FIRST_MS)
    }

    /// The longest silence to accept after the first token.
    pub fn gap_timeout(&self) -> Millis {
        bound(self.gap_milli * GAP_FACTOR, LONGEST_GAP_MS)
    }
}

/// Rises to a new maximum at once and falls by one part in 256 a sample.
fn decayed_max(held: u64, span: Millis) -> u64 {
    let sample = span.0.saturating_mul(1000);
    sample.max(held - held / 256)
}

fn bound(milli: u64, longest_ms: u64) -> Millis {
    Millis((milli / 1000).clamp(SHORTEST_MS, longest_ms))
}
