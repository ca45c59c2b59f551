//! Runners whose store entries vanished, and when they count as gone for good.
//!
//! An entry vanishes when its runner leaves, when the runner is silent, and when leases expire while the store is
//! unavailable. In the last case, live runners register again. If most runners of a service vanish at once, their
//! leases likely expired; a daemon can tell this even if its own call to the store was pending during the outage.

use std::collections::HashMap;

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::REREGISTER_TIME;
use crate::store::Revision;

/// Entries that vanish within this time count as one batch; a watch may report them in several answers.
const BATCH_WINDOW: Millis = Millis(300);

/// If at least one runner out of this many vanishes from a service in one batch, their leases count as expired.
const EXPIRED_DIVISOR: usize = 2;

/// A runner whose entry vanished.
#[derive(Debug)]
struct Missing {
    service: ModelName,
    noted: Millis,
    /// The store revision at which the entry was missing.
    revision: Revision,
    /// Whether it vanished in one batch with half of its service or more.
    lease_expired: bool,
    /// Whether `lease_expired` is final.
    is_classified: bool,
}

/// The runners whose entries vanished and that are not given up yet.
#[derive(Debug)]
pub struct MissingRunners {
    missing: HashMap<RunnerName, Missing>,
    hold: Millis,
}

impl MissingRunners {
    /// No missing runners. Runners whose leases may have expired are kept for `hold` after their entries vanished.
    pub fn new(hold: Millis) -> MissingRunners {
        MissingRunners { missing: HashMap::new(), hold }
    }

    /// Records that a runner's entry is missing as of `revision`; a runner that is missing already keeps its time.
    pub fn note(&mut self, name: RunnerName, service: ModelName, revision: Revision, now: Millis) {
        let missing = Missing { service, noted: now, revision, lease_expired: false, is_classified: false };
        self.missing.entry(name).or_insert(missing);
    }

    /// Records that a runner's entry is present.
    pub fn present(&mut self, name: &RunnerName) {
        self.missing.remove(name);
    }

    /// Removes and returns the runners that are gone for good, with the revision at which each was missing. `known`
    /// returns the number of a service's runners, including missing ones; `is_recovering` says that the store was
    /// recently unavailable.
    pub fn take_gone(
        &mut self,
        is_recovering: bool,
        known: impl Fn(&ModelName) -> usize,
        now: Millis,
    ) -> Vec<(RunnerName, Revision)> {
        self.classify(known, now);
        let hold = |runner: &Missing| match (is_recovering, runner.lease_expired) {
            (true, _) => REREGISTER_TIME,
            (false, true) => self.hold,
            (false, false) => BATCH_WINDOW,
        };
        let is_gone = |runner: &Missing| now.since(runner.noted) >= hold(runner);
        let gone: Vec<(RunnerName, Revision)> = self
            .missing
            .iter()
            .filter(|(_, runner)| is_gone(runner))
            .map(|(name, runner)| (name.clone(), runner.revision))
            .collect();
        gone.iter().for_each(|(name, _)| {
            self.missing.remove(name);
        });
        gone
    }

    /// Decides for runners that vanished just now whether their leases expired in one batch.
    fn classify(&mut self, known: impl Fn(&ModelName) -> usize, now: Millis) {
        let mut batch: HashMap<ModelName, usize> = HashMap::new();
        for runner in self.missing.values().filter(|runner| !runner.is_classified) {
            *batch.entry(runner.service.clone()).or_default() += 1;
        }
        for runner in self.missing.values_mut().filter(|runner| !runner.is_classified) {
            let count = batch.get(&runner.service).copied().unwrap_or_default();
            runner.lease_expired = count * EXPIRED_DIVISOR >= known(&runner.service);
            runner.is_classified = runner.lease_expired || now.since(runner.noted) >= BATCH_WINDOW;
        }
    }
}
