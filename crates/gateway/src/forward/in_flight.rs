//! Counts a request in its runner's load while it is in flight there.

use crate::dialect::Dialect;
use crate::fleet::RunnerKey;
use crate::gateway::Gateway;

/// Counts a request in its runner's load until dropped.
pub(super) struct InFlight<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    key: RunnerKey,
    reading: u32,
}

impl<'a, D: Dialect> InFlight<'a, D> {
    pub fn begin(gateway: &'a Gateway<D>, key: RunnerKey, reading: u32) -> InFlight<'a, D> {
        let now = gateway.now();
        gateway.fleet().begin(key, reading, now);
        InFlight { gateway, key, reading }
    }

    /// Takes the request's prompt tokens off the runner's load, once it has read the prompt; later calls do nothing.
    pub fn prompt_read(&mut self) {
        if self.reading > 0 {
            self.gateway.fleet().prompt_read(self.key, self.reading);
            self.reading = 0;
        }
    }
}

impl<D: Dialect> Drop for InFlight<'_, D> {
    fn drop(&mut self) {
        self.prompt_read();
        self.gateway.fleet().end(self.key);
    }
}
