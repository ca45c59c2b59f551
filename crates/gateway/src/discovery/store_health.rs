//! Whether the store answers, and which runners' entries lapsed while it did not.

use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::{MissingRunners, RETURN_TIME};
use crate::store::{Revision, StoreError};
use crate::{Event, record};

#[derive(Debug)]
struct State {
    is_away: bool,
    returned: Option<Millis>,
    missing: MissingRunners,
}

/// Whether the store answers, and which runners' entries lapsed while it did not.
#[derive(Debug)]
pub struct StoreHealth {
    state: Mutex<State>,
}

impl StoreHealth {
    /// The store is taken to answer; runners whose entries may have lapsed are held for `hold`.
    pub fn new(hold: Millis) -> StoreHealth {
        let state = State { is_away: false, returned: None, missing: MissingRunners::new(hold) };
        StoreHealth { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an answer.
    pub fn answered(&self, now: Millis) {
        let mut state = self.state();
        if state.is_away {
            state.is_away = false;
            state.returned = Some(now);
            record!(Event::StoreRegained, at = now);
        }
    }

    /// Notes a call without an answer.
    pub fn failed(&self, prefix: &str, error: StoreError, now: Millis) {
        let mut state = self.state();
        if !state.is_away {
            state.is_away = true;
            record!(Event::StoreLost, prefix = prefix, reason = error, at = now);
        }
    }

    /// Whether the last call got no usable answer.
    pub fn is_away(&self) -> bool {
        self.state().is_away
    }

    /// Notes that a runner's entry is missing.
    pub fn missing(&self, name: RunnerName, service: ModelName, revision: Revision, now: Millis) {
        self.state().missing.note(name, service, revision, now);
    }

    /// Notes that a runner's entry is there.
    pub fn present(&self, name: &RunnerName) {
        self.state().missing.present(name);
    }

    /// The runners that are gone for good: missing while the store answers, and not about to return. `known` counts
    /// a service's runners.
    pub fn take_gone(&self, known: impl Fn(&ModelName) -> usize, now: Millis) -> Vec<(RunnerName, Revision)> {
        let mut state = self.state();
        if state.is_away {
            return Vec::new();
        }
        let is_recovering = state.returned.is_some_and(|returned| now.since(returned) < RETURN_TIME);
        state.missing.take_gone(is_recovering, known, now)
    }
}
