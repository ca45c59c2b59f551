//! What a request says of its prompt.

/// One part of a prompt; requests with the same parts in front share their KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request says of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name as the caller gave it.
    pub model: String,
    /// Tokens to read.
    pub input_tokens: u32,
    /// The most tokens to generate.
    pub output_tokens: u32,
    /// The parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests may begin with too.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}
