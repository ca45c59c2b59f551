//! Which peers are asked for a newer configuration at the same time.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

/// How long one peer may take before another one is asked too: a few times what a configuration of some hundred routes takes
/// over a link that is not choked.
const HEDGE_DELAY: Millis = Millis(300);

/// The most peers that are asked for one version at once, since each answer loads a link.
const MAX_FETCHES: u32 = 3;

/// The fetches of one version that run.
#[derive(Debug)]
struct Running {
    count: u32,
    /// When the last one began.
    began: Millis,
}

/// The fetches of configurations from peers that run.
#[derive(Debug, Default)]
pub struct ConfigFetches {
    running: HashMap<u64, Running>,
}

impl ConfigFetches {
    /// Whether a peer that announces `version` is to be asked for it now; if so, `end` must follow.
    pub fn try_begin(&mut self, version: u64, now: Millis) -> bool {
        let running = self.running.entry(version).or_insert(Running { count: 0, began: now });
        let is_due = running.count == 0 || running.count < MAX_FETCHES && now.since(running.began) >= HEDGE_DELAY;
        if is_due {
            *running = Running { count: running.count + 1, began: now };
        }
        is_due
    }

    /// Records that a fetch of `version` ended, with or without success.
    pub fn end(&mut self, version: u64) {
        let Some(running) = self.running.get_mut(&version) else {
            return;
        };
        running.count = running.count.saturating_sub(1);
        if running.count == 0 {
            self.running.remove(&version);
        }
    }
}
