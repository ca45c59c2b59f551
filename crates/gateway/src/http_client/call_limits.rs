//! How long a call may take, and how large its answer may be.

use teaselcroft_parts::Millis;

/// How long a call may take, and how large its answer may be. An answer that keeps arriving is given more time than one that
/// does not: giving it up would throw away what has come, and the next call would begin at zero on the same path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// The time until the head of the answer has arrived, from the start of the call.
    pub answer: Millis,
    /// The longest pause within the body.
    pub stall: Millis,
    /// The time of the whole call.
    pub total: Millis,
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

impl Default for CallLimits {
    /// For answers of peers, of which the largest are a configuration and the list of runners.
    fn default() -> CallLimits {
        CallLimits { answer: Millis(1_000), stall: Millis(1_000), total: Millis(10_000), body_bytes: 4 << 20 }
    }
}
