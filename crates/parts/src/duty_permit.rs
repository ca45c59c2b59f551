//! The proof that a daemon holds the duties at the moment of a call.

use crate::FencingToken;

/// States that its owner holds the duties; obtained from the holder's state directly before a call and not kept.
#[derive(Debug, PartialEq, Eq)]
pub struct DutyPermit {
    token: FencingToken,
}

impl DutyPermit {
    /// A permit of the holder with this token.
    pub(crate) const fn new(token: FencingToken) -> DutyPermit {
        DutyPermit { token }
    }

    /// The token that the call carries, which is also the store revision of the holder's key.
    pub const fn token(&self) -> FencingToken {
        self.token
    }
}
