//! The phases of a duty holder or candidate.

use crate::{DutyClaim, DutyHistory, FencingToken, Millis};

/// What a daemon does about the duties. A phase whose call is under way waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It waits for its turn.
    Waiting,
    /// It reads whether there is a holder.
    Looking,
    /// It reads the history, in order to claim.
    Recalling,
    /// It asks for a lease, with the history and the revision at which it was read.
    Granting(Option<u64>, DutyHistory),
    /// It writes its claim.
    Claiming(Attempt),
    /// It reads whether its claim was applied; true if it may still be applied later.
    Confirming(Attempt, bool),
    /// It owns the holder's key, and acts while its lease is valid.
    Holding(Hold),
    /// It removes its key before it revokes the lease.
    Releasing(Hold),
    /// It ends the lease with this id.
    Revoking(u64),
}

/// A claim that is being made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// What is written.
    pub claim: DutyClaim,
    /// The lease is certainly valid until then.
    pub valid_until: Millis,
    /// Whether the last holder ended in order, so that the next one may act at once.
    pub is_clean: bool,
}

/// The state of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// What it wrote.
    pub claim: DutyClaim,
    /// The revision at which its key was created.
    pub token: FencingToken,
    /// It acts no earlier.
    pub acts_from: Millis,
    /// The lease is certainly valid until then.
    pub valid_until: Millis,
    /// The next renewal.
    pub renew_at: Millis,
}
