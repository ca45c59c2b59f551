//! What a runner stated last about the rate of requests that it takes.

use teaselcroft_parts::Millis;

use crate::RequestRate;

/// What a runner stated last about the rate of requests that it takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LimitStatement {
    /// The limit, or `None` if the runner no longer has one.
    pub rate: Option<RequestRate>,
    /// When the answer with the statement arrived.
    pub at: Millis,
}
