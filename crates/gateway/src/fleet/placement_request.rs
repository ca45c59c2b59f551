//! What placement needs to know of a request.

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::{Priority, Prompt};

/// What placement needs to know of a request to choose its runner.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service whose runners can take the request.
    pub service: &'a ModelName,
    /// The prompt, or `None` for a request to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// The longest pause between two events of the stream that meets the service level.
    pub longest_pause: Option<Millis>,
    /// How urgent the request is.
    pub priority: Priority,
    /// The target time to the first event.
    pub target: Millis,
    /// The runners that earlier attempts were sent to; they are not chosen again.
    pub tried: &'a [RunnerName],
    /// Whether a runner with a rate limit may be chosen; only the placement leader does, since it knows what all daemons
    /// send there.
    pub uses_limited: bool,
    /// Whether the request has a runner already, which is silent; it is counted as demand once.
    pub is_placed: bool,
}

/// Requests that may pause for less than this are kept apart from long prompts: each prefill chunk of a long prompt delays
/// every token of the batch, and one event consists of several tokens.
const MIN_PATIENT_PAUSE: Millis = Millis(1_000);

/// The prompt tokens that an engine prefills in one step. A longer prompt delays the batch by several full steps, so that
/// its request is placed like other long ones however short its own pauses must be.
const PREFILL_CHUNK_TOKENS: u32 = 4_096;

impl PlacementRequest<'_> {
    /// Whether long prompts on the same runner would delay its events too much, and it delays no others.
    pub fn is_interactive(&self) -> bool {
        self.longest_pause.is_some_and(|pause| pause < MIN_PATIENT_PAUSE)
            && self.prompt.is_some_and(|prompt| prompt.input_tokens <= PREFILL_CHUNK_TOKENS)
    }
}
