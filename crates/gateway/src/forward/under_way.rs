//! Counts a request at its runner for as long as it is under way there.

use crate::dialect::Dialect;
use crate::fleet::RunnerKey;
use crate::gateway::Gateway;

/// Counts a request at its runner until dropped.
pub(super) struct UnderWay<'a, D: Dialect> {
    gate: &'a Gateway<D>,
    key: RunnerKey,
    reading: u32,
}

impl<'a, D: Dialect> UnderWay<'a, D> {
    pub fn begin(gate: &'a Gateway<D>, key: RunnerKey, reading: u32) -> UnderWay<'a, D> {
        let now = gate.now();
        gate.fleet().begin(key, reading, now);
        UnderWay { gate, key, reading }
    }

    /// The runner has read the prompt.
    pub fn prompt_read(&mut self) {
        if self.reading > 0 {
            self.gate.fleet().prompt_read(self.key, self.reading);
            self.reading = 0;
        }
    }
}

impl<D: Dialect> Drop for UnderWay<'_, D> {
    fn drop(&mut self) {
        self.prompt_read();
        self.gate.fleet().end(self.key);
    }
}
