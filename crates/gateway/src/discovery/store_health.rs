//! Whether the store answers, and which runners' entries lapsed while it did not.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselcroft_parts::{Millis, RunnerName};

use super::RETURN_TIME;
use crate::store::StoreError;
use crate::{Event, record};

#[derive(Debug, Default)]
struct State {
    is_away: bool,
    returned: Option<Millis>,
    missing: HashMap<RunnerName, Millis>,
}

/// Whether the store answers, and which runners' entries lapsed while it did not.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<State>,
}

impl StoreHealth {
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

    /// Whether entries that lapsed may still return.
    fn is_recovering(&self, now: Millis) -> bool {
        let state = self.state();
        state.is_away || state.returned.is_some_and(|returned| now.since(returned) < RETURN_TIME)
    }

    /// Notes that a runner's entry is missing.
    pub fn missing(&self, name: RunnerName, now: Millis) {
        self.state().missing.entry(name).or_insert(now);
    }

    /// Notes that a runner's entry is there.
    pub fn present(&self, name: &RunnerName) {
        self.state().missing.remove(name);
    }

    /// The runners that are gone for good: missing while the store answers, and not about to return.
    pub fn take_missing(&self, now: Millis) -> Vec<RunnerName> {
        let is_recovering = self.is_recovering(now);
        let mut state = self.state();
        if state.is_away {
            return Vec::new();
        }
        let is_gone = |noted: Millis| !is_recovering || now.since(noted) >= RETURN_TIME;
        let gone: Vec<RunnerName> =
            state.missing.iter().filter(|(_, noted)| is_gone(**noted)).map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|name| {
            state.missing.remove(name);
        });
        gone
    }
}
