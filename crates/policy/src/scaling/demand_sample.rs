//! What callers asked for in a short time.

use std::ops::AddAssign;

/// What callers asked for in a short time, whether it was served, refused or put off.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandSample {
    /// Prompt tokens to prefill.
    pub prompt_tokens: f64,
    /// Output tokens.
    pub output_tokens: f64,
    /// Prompt tokens of requests of the most urgent priority; `prompt_tokens` has them too.
    pub urgent_prompt: f64,
    /// Output tokens of requests of the most urgent priority; `output_tokens` has them too.
    pub urgent_output: f64,
    /// Prompt and output tokens of requests that were refused.
    pub refused_tokens: f64,
}

impl AddAssign for DemandSample {
    fn add_assign(&mut self, other: DemandSample) {
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
        self.urgent_prompt += other.urgent_prompt;
        self.urgent_output += other.urgent_output;
        self.refused_tokens += other.refused_tokens;
    }
}
