//! Counts a request in its runner's load while it is in flight there.

use crate::dialect::Dialect;
use crate::fleet::RunnerKey;
use crate::gateway::Gateway;

/// Counts a request in its runner's load until dropped.
pub(super) struct InFlight<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    key: RunnerKey,
    prefill_tokens: u32,
}

impl<'a, D: Dialect> InFlight<'a, D> {
    pub fn begin(gateway: &'a Gateway<D>, key: RunnerKey, prefill_tokens: u32) -> InFlight<'a, D> {
        let now = gateway.now();
        gateway.fleet().begin(key, prefill_tokens, now);
        InFlight { gateway, key, prefill_tokens }
    }

    /// Takes the request's prompt tokens off the runner's load, once it has read the prompt; later calls do nothing.
    pub fn end_prefill(&mut self) {
        if self.prefill_tokens > 0 {
            let now = self.gateway.now();
            self.gateway.fleet().end_prefill(self.key, self.prefill_tokens, now);
            self.prefill_tokens = 0;
        }
    }
}

impl<D: Dialect> Drop for InFlight<'_, D> {
    fn drop(&mut self) {
        self.end_prefill();
        self.gateway.fleet().end(self.key);
    }
}
