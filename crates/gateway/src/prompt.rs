//! The prompt of a request as its header fields describe it.

/// One part of a prompt; requests that begin with the same parts share the KV cache of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text; equal ids mean equal text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt part that a runner lists as cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// The model for which it is cached.
    pub model: String,
    /// Identifies the part's text, as in [`PromptPart`].
    pub id: u64,
    /// The tokens that are cached now; less than the part's length if some were evicted.
    pub tokens: u32,
}

/// The prompt of a request, as far as placement needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name as the caller gave it.
    pub model: String,
    /// Prompt tokens in all.
    pub input_tokens: u32,
    /// The most tokens to generate.
    pub output_tokens: u32,
    /// The parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}
