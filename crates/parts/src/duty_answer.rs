//! The answers of the store to the calls of a duty holder or candidate.

/// The answer to a store call of a duty holder or candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The key that was read.
    Found {
        /// Its value.
        value: Vec<u8>,
        /// The revision of its last change.
        revision: u64,
        /// The revision at which it was created.
        created: u64,
    },
    /// The lease that was created.
    Granted(u64),
    /// The call was executed.
    Done,
    /// There is no such key or lease.
    Missing,
    /// A condition does not hold; nothing was applied.
    Conflict,
    /// The store rejected the call; nothing was applied.
    Rejected,
    /// There was no answer; the call may have been executed, or may be executed later.
    Silent,
}
