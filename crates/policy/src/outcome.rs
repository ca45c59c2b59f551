//! The outcome of a granted request at its runner.

use teaselcroft_parts::Millis;

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// It completed with a whole answer.
    Done,
    /// It was cancelled: its caller disconnected, or it was preempted.
    Cancelled,
    /// The connection broke while it ran; the runner may have crashed.
    Broken,
    /// The runner refused the connection.
    Refused,
    /// The runner sent nothing for longer than the timeout.
    Silent,
}

/// The end of a granted request, as its entry daemon reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: EndKind,
    /// Tokens received under this grant.
    pub tokens: u32,
    /// The time between the first and the last of these tokens.
    pub elapsed: Millis,
}

impl Outcome {
    /// An outcome without any tokens.
    pub const fn bare(kind: EndKind) -> Outcome {
        Outcome { kind, tokens: 0, elapsed: Millis(0) }
    }
}
