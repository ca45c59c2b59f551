//! Keeps a request that was sent among those that may have crashed their runner, until its answer comes.

use crate::PendingCrash;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::pending_crashes::PendingId;
use teaselcroft_parts::Millis;

/// A request that waits for its answer. If it is dropped before it ends, the daemon gave up waiting.
pub(super) struct PendingAttempt<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    id: PendingId,
}

impl<'a, D: Dialect> PendingAttempt<'a, D> {
    /// Begins to wait for an answer that should begin within `target`, until `deadline`.
    pub fn begin(
        gateway: &'a Gateway<D>,
        crash: PendingCrash,
        target: Millis,
        deadline: Millis,
    ) -> PendingAttempt<'a, D> {
        let now = gateway.now();
        PendingAttempt { gateway, id: gateway.pending_crashes().begin(crash, now + target, deadline, now) }
    }

    /// Records that the answer came, or that its connection broke.
    pub fn end(self) {
        self.gateway.pending_crashes().finish(self.id);
    }
}

impl<D: Dialect> Drop for PendingAttempt<'_, D> {
    /// After `end`, the request is no longer pending and this does nothing.
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.pending_crashes().give_up(self.id, now);
    }
}
