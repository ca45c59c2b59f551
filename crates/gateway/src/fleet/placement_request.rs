//! What a request needs of a runner.

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::{Priority, Prompt};

/// What a request needs of a runner.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ModelName,
    /// The prompt, where it has one.
    pub prompt: Option<&'a Prompt>,
    /// The longest pause between events that is on time.
    pub longest_pause: Option<Millis>,
    /// How urgent it is.
    pub priority: Priority,
    /// The time in which its first event is on time.
    pub target: Millis,
    /// Runners that it was already sent to.
    pub tried: &'a [RunnerName],
}

/// Requests whose events may not pause longer than this are kept apart from long prompts: a chunk of a long
/// prompt holds up each token of the batch, and one event holds several tokens.
const INTERACTIVE_PAUSE: Millis = Millis(300);

impl PlacementRequest<'_> {
    /// Whether long prompts beside it would make its events late.
    pub fn is_interactive(&self) -> bool {
        self.longest_pause.is_some_and(|pause| pause <= INTERACTIVE_PAUSE)
    }
}
