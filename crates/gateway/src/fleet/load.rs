//! The load of a runner.

/// The load of a runner, or the part of it that one daemon put there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_tokens: u32,
}

impl std::ops::Add for Load {
    type Output = Load;

    fn add(self, other: Load) -> Load {
        Load { requests: self.requests + other.requests, prefill_tokens: self.prefill_tokens + other.prefill_tokens }
    }
}

impl Load {
    /// This load less another; neither count goes below zero.
    pub fn without(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
        }
    }
}
