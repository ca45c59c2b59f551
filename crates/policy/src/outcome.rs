//! How a granted request ended.

use teaselcroft_parts::Millis;

/// The way in which a request left its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// Its answer is whole.
    Done,
    /// Its caller left, or it was preempted.
    Cancelled,
    /// The connection broke while it ran.
    Broken,
    /// The runner refused the connection.
    Refused,
    /// The connection went silent.
    Silent,
}

/// The end of a granted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: EndKind,
    /// Tokens that it received on this grant.
    pub tokens: u32,
    /// Time between the first and the last of them.
    pub elapsed: Millis,
}

impl Outcome {
    /// An end without any progress.
    pub const fn bare(kind: EndKind) -> Outcome {
        Outcome { kind, tokens: 0, elapsed: Millis(0) }
    }
}
