//! Runners whose entries vanished, and when they are gone for good.
//!
//! An entry vanishes when its runner left, when the runner has been silent, and when leases ran out while the store
//! was away. After the last, living runners register again; most of a service vanishing at once is a sign of it,
//! also for a daemon whose call to the store has been waiting all the while.

use std::collections::HashMap;

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::RETURN_TIME;
use crate::store::Revision;

/// Entries that vanish within so long vanish together; a watch may bring them in a few answers.
const TOGETHER: Millis = Millis(300);

/// Entries of a service lapsed if this part of its runners vanishes together, as a divisor.
const LAPSED_SHARE: usize = 2;

#[derive(Debug)]
struct Missing {
    service: ModelName,
    noted: Millis,
    /// When the store no longer had the entry.
    revision: Revision,
    /// Whether it vanished together with most of its service.
    has_lapsed: bool,
    is_judged: bool,
}

/// Runners whose entries vanished.
#[derive(Debug)]
pub struct MissingRunners {
    missing: HashMap<RunnerName, Missing>,
    hold: Millis,
}

impl MissingRunners {
    /// Nobody is missing; runners whose entries may have lapsed are held for `hold` after they vanished.
    pub fn new(hold: Millis) -> MissingRunners {
        MissingRunners { missing: HashMap::new(), hold }
    }

    /// Notes that a runner's entry is missing.
    pub fn note(&mut self, name: RunnerName, service: ModelName, revision: Revision, now: Millis) {
        let missing = Missing { service, noted: now, revision, has_lapsed: false, is_judged: false };
        self.missing.entry(name).or_insert(missing);
    }

    /// Notes that a runner's entry is there.
    pub fn present(&mut self, name: &RunnerName) {
        self.missing.remove(name);
    }

    /// The runners that are gone for good, and when the store no longer had them. `known` counts a service's
    /// runners, the missing ones among them; `is_recovering` says that the store was lately away.
    pub fn take_gone(
        &mut self,
        is_recovering: bool,
        known: impl Fn(&ModelName) -> usize,
        now: Millis,
    ) -> Vec<(RunnerName, Revision)> {
        self.judge(known, now);
        let hold = |one: &Missing| match (is_recovering, one.has_lapsed) {
            (true, _) => RETURN_TIME,
            (false, true) => self.hold,
            (false, false) => TOGETHER,
        };
        let is_gone = |one: &Missing| now.since(one.noted) >= hold(one);
        let gone: Vec<(RunnerName, Revision)> = self
            .missing
            .iter()
            .filter(|(_, one)| is_gone(one))
            .map(|(name, one)| (name.clone(), one.revision))
            .collect();
        gone.iter().for_each(|(name, _)| {
            self.missing.remove(name);
        });
        gone
    }

    /// Decides for runners that vanished a moment ago whether their entries lapsed together.
    fn judge(&mut self, known: impl Fn(&ModelName) -> usize, now: Millis) {
        let mut fresh: HashMap<ModelName, usize> = HashMap::new();
        for one in self.missing.values().filter(|one| !one.is_judged) {
            *fresh.entry(one.service.clone()).or_default() += 1;
        }
        for one in self.missing.values_mut().filter(|one| !one.is_judged) {
            let count = fresh.get(&one.service).copied().unwrap_or_default();
            one.has_lapsed = count * LAPSED_SHARE >= known(&one.service);
            one.is_judged = one.has_lapsed || now.since(one.noted) >= TOGETHER;
        }
    }
}
