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
}

/// Requests whose longest allowed pause is at most this are kept apart from long prompts: each prefill chunk of a
/// long prompt delays every token of the batch, and one event consists of several tokens.
const MAX_INTERACTIVE_PAUSE: Millis = Millis(300);

impl PlacementRequest<'_> {
    /// Whether long prompts on the same runner would delay its events too much.
    pub fn is_interactive(&self) -> bool {
        self.longest_pause.is_some_and(|pause| pause <= MAX_INTERACTIVE_PAUSE)
    }
}
