//! Whether the store answers calls for one prefix, and which runners' entries are missing.

use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::{MissingRunners, REREGISTER_TIME};
use crate::store::{Revision, StoreError};
use crate::{Event, log_event};

#[derive(Debug)]
struct State {
    is_unavailable: bool,
    /// When the store last became available again.
    recovered_at: Option<Millis>,
    missing: MissingRunners,
}

/// Whether the store answers calls for one prefix, and which runners' entries are missing. The store may reject calls for
/// some keys and answer others, so each followed prefix has its own.
#[derive(Debug)]
pub struct StoreHealth {
    prefix: &'static str,
    state: Mutex<State>,
}

impl StoreHealth {
    /// A store that is assumed to answer calls for `prefix`. Runners whose leases may have expired are kept for `hold`.
    pub fn new(prefix: &'static str, hold: Millis) -> StoreHealth {
        let state = State { is_unavailable: false, recovered_at: None, missing: MissingRunners::new(hold) };
        StoreHealth { prefix, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer; logs it if the store was unavailable.
    pub fn answered(&self, now: Millis) {
        let mut state = self.state();
        if state.is_unavailable {
            state.is_unavailable = false;
            state.recovered_at = Some(now);
            log_event!(Event::StoreRegained, prefix = self.prefix, at = now);
        }
    }

    /// Records a failed call; logs it if the store was available.
    pub fn failed(&self, error: StoreError, now: Millis) {
        let mut state = self.state();
        if !state.is_unavailable {
            state.is_unavailable = true;
            log_event!(Event::StoreLost, prefix = self.prefix, reason = error, at = now);
        }
    }

    /// Whether the last call failed.
    pub fn is_unavailable(&self) -> bool {
        self.state().is_unavailable
    }

    /// Records that a runner's entry is missing as of `revision`.
    pub fn missing(&self, name: RunnerName, service: ModelName, revision: Revision, now: Millis) {
        self.state().missing.note(name, service, revision, now);
    }

    /// Records that a runner's entry is present.
    pub fn present(&self, name: &RunnerName) {
        self.state().missing.present(name);
    }

    /// Removes and returns the runners that are gone for good: missing while the store answers, and not expected to
    /// register again. `known` returns the number of a service's runners.
    pub fn take_gone(&self, known: impl Fn(&ModelName) -> usize, now: Millis) -> Vec<(RunnerName, Revision)> {
        let mut state = self.state();
        if state.is_unavailable {
            return Vec::new();
        }
        let is_recovering = state.recovered_at.is_some_and(|recovered_at| now.since(recovered_at) < REREGISTER_TIME);
        state.missing.take_gone(is_recovering, known, now)
    }
}
