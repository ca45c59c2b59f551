//! How requests of one class are treated.

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{Millis, ModelName};

use crate::Tier;

/// What serves a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// The generated rule of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRule {
    /// The tier that its urgency maps to.
    pub tier: Tier,
    /// The kind of upstream.
    pub kind: UpstreamKind,
    /// The model or service that serves it.
    pub upstream: ModelName,
    /// The time from first sending to the whole answer.
    pub target: Millis,
    /// How long callers keep trying.
    pub patience: Millis,
    /// Whether execution must never repeat.
    pub never_repeat: bool,
    /// The expected size of a prompt in tokens.
    pub prompt_tokens: u32,
    /// The expected size of an answer in tokens.
    pub output_tokens: u32,
    /// The most requests of this class that wait at one dispatcher.
    pub queue_limit: u32,
}

impl ClassRule {
    /// The longest a request may be expected to wait before it is refused on arrival.
    pub fn wait_limit(&self) -> Millis {
        if self.tier.is_urgent() { self.target } else { self.patience }
    }

    /// The cost of a request in tokens, for fairness among customers.
    pub fn cost(&self, prompt_tokens: u32) -> u64 {
        u64::from(prompt_tokens / 8) + u64::from(self.output_tokens) + 1
    }
}
