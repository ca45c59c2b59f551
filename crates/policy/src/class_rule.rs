//! The rule by which requests of one class are served.

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{Millis, ModelName};

use crate::Tier;

/// The kind of back end that serves a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// An engine that serves a language model.
    Model,
    /// A plain HTTP service.
    Service,
}

/// The rule of one class, generated from a team's answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRule {
    /// The tier that its urgency maps to.
    pub tier: Tier,
    /// Whether a model engine or a plain service serves it.
    pub kind: UpstreamKind,
    /// The model or service that serves it.
    pub upstream: ModelName,
    /// The target time from first sending to the whole answer.
    pub target: Millis,
    /// How long callers keep retrying a request.
    pub patience: Millis,
    /// Whether a call must run at most once.
    pub never_repeat: bool,
    /// The expected size of a prompt in tokens.
    pub prompt_tokens: u32,
    /// The expected size of an answer in tokens.
    pub output_tokens: u32,
    /// How many requests may wait in the class's tier at one dispatcher before it refuses those of
    /// this class.
    pub queue_limit: u32,
}

impl ClassRule {
    /// The expected wait above which a request is refused on arrival.
    pub fn wait_limit(&self) -> Millis {
        if self.tier.is_urgent() { self.target } else { self.patience }
    }

    /// The cost of a request in output tokens, for fair queueing among customers.
    ///
    /// Eight prompt tokens cost as much as one output token.
    pub fn cost(&self, prompt_tokens: u32) -> u64 {
        u64::from(prompt_tokens / 8) + u64::from(self.output_tokens) + 1
    }
}
