//! The known runners, with every index of them.

mod allowance;
mod departure;
mod limit_statement;
mod runner_state;
mod stated;

use std::collections::HashMap;

use slotmap::SlotMap;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::{Load, RunnerKey, runner_hash};
use crate::RunnerRecord;
use crate::store::Revision;

use departure::Departure;
pub use limit_statement::LimitStatement;
pub use runner_state::RunnerState;
pub use stated::Stated;

/// The outcome of [`RunnerTable::upsert`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upserted {
    /// The entry says nothing new.
    Unchanged,
    /// The entry of a known runner changed.
    Changed,
    /// The runner is new. The key that an earlier start or its former address had is no longer valid.
    Added(Option<RunnerKey>),
}

/// The known runners, found by key, name, hash and service, and what starts without an entry stated. It alone changes
/// the indexes and what they depend on, so that an entry of an index never outlives its runner.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: SlotMap<RunnerKey, RunnerState>,
    names: HashMap<RunnerName, RunnerKey>,
    hashes: HashMap<u64, RunnerKey>,
    services: HashMap<ModelName, Vec<RunnerKey>>,
    /// What starts that have no entry now stated, by their hash.
    absent: HashMap<u64, Stated>,
    /// The load that other daemons report for starts that have no entry now, by their hash. A runner whose entry returns
    /// has it at once; counted from zero, later reports would take off load that was never added.
    absent_loads: HashMap<u64, Load>,
}

impl RunnerTable {
    /// Adds or updates a runner from its store entry as of `revision`. One that restarted or has another address counts
    /// as a new runner; what the same start stated is kept. An entry of an earlier start changes nothing.
    pub fn upsert(&mut self, mut record: RunnerRecord, revision: Revision) -> Upserted {
        let hash = runner_hash(&record.name, record.started_at);
        record.is_ready &= self.is_taking_requests(hash, record.is_ready, revision);
        let known = self.names.get(&record.name).copied();
        if let Some((key, state)) = known.and_then(|key| Some((key, self.runners.get_mut(key)?))) {
            if state.record.started_at > record.started_at {
                return Upserted::Unchanged;
            }
            state.revision = state.revision.max(revision);
            if *state.record == record {
                return Upserted::Unchanged;
            }
            if state.record.started_at == record.started_at && state.record.address == record.address {
                let former = std::mem::replace(&mut state.record, record.into());
                let service = state.record.service.clone();
                if former.service != service {
                    self.leave_service(&former.service, key);
                    self.services.entry(service).or_default().push(key);
                }
                return Upserted::Changed;
            }
        }
        let removed = self.remove(&record.name);
        let stated = self.absent.remove(&hash).unwrap_or_default();
        let (name, service) = (record.name.clone(), record.service.clone());
        let peer_load = self.absent_loads.remove(&hash).unwrap_or_default();
        let state = RunnerState { peer_load, ..RunnerState::new(record, hash, revision, stated) };
        let key = self.runners.insert(state);
        self.names.insert(name, key);
        self.hashes.insert(hash, key);
        self.services.entry(service).or_default().push(key);
        Upserted::Added(removed)
    }

    /// Whether a start takes requests, whose entry as of `revision` says whether it is ready.
    fn is_taking_requests(&mut self, hash: u64, is_ready: bool, revision: Revision) -> bool {
        if !is_ready {
            self.stated_mut(hash).departure = Some(Departure::new(revision));
            return false;
        }
        if self.stated(hash).is_none() {
            return true;
        }
        let stated = self.stated_mut(hash);
        let is_copied = stated.departure.as_mut().is_some_and(|departure| departure.overrules(revision));
        if !is_copied {
            stated.departure = None;
        }
        stated.leaving.is_none() && !is_copied
    }

    /// Removes a runner whose entry is gone for good; returns its former key.
    pub fn remove_departed(&mut self, name: &RunnerName) -> Option<RunnerKey> {
        let (_, state) = self.find(name)?;
        let (hash, departure) = (state.hash, Departure::new(state.revision));
        self.stated_mut(hash).departure = Some(departure);
        self.remove(name)
    }

    /// Removes a runner; returns its former key. What it stated is kept, since its entry may return within the same start.
    pub fn remove(&mut self, name: &RunnerName) -> Option<RunnerKey> {
        let key = self.names.remove(name)?;
        let state = self.runners.remove(key)?;
        if self.hashes.get(&state.hash) == Some(&key) {
            self.hashes.remove(&state.hash);
        }
        self.leave_service(&state.record.service, key);
        self.add_peer_load(state.hash, state.peer_load);
        self.absent.insert(state.hash, state.stated);
        Some(key)
    }

    fn leave_service(&mut self, service: &ModelName, key: RunnerKey) {
        let Some(keys) = self.services.get_mut(service) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.services.remove(service);
        }
    }

    /// The runner with this key.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.runners.get(key)
    }

    /// The runner with this key.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.runners.get_mut(key)
    }

    /// The runner with this name.
    pub fn find(&self, name: &RunnerName) -> Option<(RunnerKey, &RunnerState)> {
        let key = *self.names.get(name)?;
        Some((key, self.runners.get(key)?))
    }

    /// The key of the runner whose present start has this hash.
    pub fn key_of(&self, hash: u64) -> Option<RunnerKey> {
        self.hashes.get(&hash).copied()
    }

    /// The runner whose present start has this hash.
    pub fn by_hash_mut(&mut self, hash: u64) -> Option<&mut RunnerState> {
        self.runners.get_mut(*self.hashes.get(&hash)?)
    }

    /// The runners of a service, whether they take requests or not.
    pub fn of_service(&self, service: &ModelName) -> impl Iterator<Item = (RunnerKey, &RunnerState)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.runners.get(*key)?)))
    }

    /// The number of a service's runners, whether they take requests or not.
    pub fn count_of(&self, service: &ModelName) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// The names of all runners.
    pub fn names(&self) -> impl Iterator<Item = &RunnerName> {
        self.names.keys()
    }

    /// All runners.
    pub fn states(&self) -> impl Iterator<Item = &RunnerState> {
        self.runners.values()
    }

    /// The number of runners.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Adds to the load that other daemons report for the start with this hash, whether it has an entry or not.
    pub fn add_peer_load(&mut self, hash: u64, load: Load) {
        if load == Load::default() {
            return;
        }
        let peer_load = match self.hashes.get(&hash).and_then(|key| self.runners.get_mut(*key)) {
            Some(state) => &mut state.peer_load,
            None => self.absent_loads.entry(hash).or_default(),
        };
        *peer_load = *peer_load + load;
    }

    /// Takes off load that was added before.
    pub fn subtract_peer_load(&mut self, hash: u64, load: Load) {
        if let Some(state) = self.by_hash_mut(hash) {
            state.peer_load = state.peer_load.without(load);
        } else if let Some(known) = self.absent_loads.get_mut(&hash) {
            *known = known.without(load);
            if *known == Load::default() {
                self.absent_loads.remove(&hash);
            }
        }
    }

    /// What the start with this hash stated, whether it has an entry or not.
    fn stated(&self, hash: u64) -> Option<&Stated> {
        match self.hashes.get(&hash).and_then(|key| self.runners.get(*key)) {
            Some(state) => Some(&state.stated),
            None => self.absent.get(&hash),
        }
    }

    /// What the start with this hash stated, to add to it; it is kept whether the start has an entry or not.
    pub fn stated_mut(&mut self, hash: u64) -> &mut Stated {
        match self.hashes.get(&hash).and_then(|key| self.runners.get_mut(*key)) {
            Some(state) => &mut state.stated,
            None => self.absent.entry(hash).or_default(),
        }
    }

    /// Updates the mean of the observed prefill rates of each service.
    pub fn update_mean_rates(&mut self) {
        for keys in self.services.values() {
            let ready = keys.iter().filter_map(|key| self.runners.get(*key)).filter(|state| state.record.is_ready);
            let rates: Vec<f64> = ready.filter_map(RunnerState::observed_rate).collect();
            if rates.is_empty() {
                continue;
            }
            let mean = rates.iter().sum::<f64>() / rates.len() as f64;
            for key in keys {
                if let Some(state) = self.runners.get_mut(*key) {
                    state.mean_rate = mean;
                }
            }
        }
    }

    /// Forgets what no longer matters of what starts stated.
    pub fn sweep(&mut self, now: Millis) {
        self.runners.values_mut().for_each(|state| state.stated.expire(now));
        self.absent.values_mut().for_each(|stated| stated.expire(now));
        self.absent.retain(|_, stated| stated.outlives_entry(now));
    }
}
