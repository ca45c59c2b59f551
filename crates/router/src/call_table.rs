//! Calls that must not repeat, as their executor remembers them.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender, bounded};
use teaselcroft_parts::{KeyDigest, Millis, SlotId, slot_of};
use teaselcroft_policy::{Ran, ResultCode};

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// The result code.
    pub code: ResultCode,
    /// The upstream's HTTP status, or zero without one.
    pub status: u16,
    /// The upstream's reply.
    pub body: Vec<u8>,
    /// When to try again.
    pub retry: Millis,
}

impl CallOutcome {
    /// An outcome without a reply.
    pub const fn bare(code: ResultCode) -> CallOutcome {
        CallOutcome { code, status: 0, body: Vec::new(), retry: Millis(0) }
    }
}

#[derive(Debug)]
enum CallState {
    Running(Vec<Sender<CallOutcome>>),
    Done { outcome: CallOutcome, at: Millis },
    ClaimedNotRun { at: Millis },
}

/// What a new sending of a call has to do.
#[derive(Debug)]
pub enum Admission {
    /// Run it; the claim is still to be made.
    New(Receiver<CallOutcome>),
    /// Run it under the claim already granted, for it certainly did not run.
    AlreadyClaimed(Receiver<CallOutcome>),
    /// Wait for the one that runs.
    Joined(Receiver<CallOutcome>),
    /// It ended before.
    Ended(CallOutcome),
}

/// Remembers calls while they run and their outcomes afterwards.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: Mutex<HashMap<KeyDigest, CallState>>,
}

impl CallTable {
    /// Admits a sending of the call with `key`.
    pub fn admit(&self, key: KeyDigest) -> Admission {
        let (sender, receiver) = bounded(1);
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        match calls.get_mut(&key) {
            None => {
                calls.insert(key, CallState::Running(vec![sender]));
                Admission::New(receiver)
            }
            Some(CallState::Running(waiting)) => {
                waiting.push(sender);
                Admission::Joined(receiver)
            }
            Some(CallState::Done { outcome, .. }) => Admission::Ended(outcome.clone()),
            Some(state @ CallState::ClaimedNotRun { .. }) => {
                *state = CallState::Running(vec![sender]);
                Admission::AlreadyClaimed(receiver)
            }
        }
    }

    /// Records the end of a call; `claimed` states that its claim was granted here.
    pub fn finish(&self, now: Millis, key: KeyDigest, claimed: bool, outcome: CallOutcome) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let before = match (outcome.code.ran(), claimed) {
            (Ran::NotRun, true) => calls.insert(key, CallState::ClaimedNotRun { at: now }),
            (Ran::NotRun, false) => calls.remove(&key),
            (Ran::MayHaveRun, false) => calls.remove(&key),
            _ => calls.insert(key, CallState::Done { outcome: outcome.clone(), at: now }),
        };
        drop(calls);
        let Some(CallState::Running(waiting)) = before else {
            return;
        };
        for sender in waiting {
            // A receiver that is gone has no use for the outcome.
            let _ = sender.try_send(outcome.clone());
        }
    }

    /// Takes in outcomes handed over by the slot's previous executor.
    pub fn take_over(&self, now: Millis, outcomes: Vec<(KeyDigest, CallOutcome)>) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, outcome) in outcomes {
            calls.entry(key).or_insert(CallState::Done { outcome, at: now });
        }
    }

    /// The outcomes of `slot`, to hand over.
    pub fn outcomes_of(&self, slot: SlotId, slots: u32) -> Vec<(KeyDigest, CallOutcome)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = calls.iter().filter_map(|(key, state)| match state {
            CallState::Done { outcome, .. } if slot_of(*key, slots) == slot => Some((*key, outcome.clone())),
            _ => None,
        });
        ended.collect()
    }

    /// Forgets outcomes older than `retention`.
    pub fn purge(&self, now: Millis, retention: Millis) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.retain(|_, state| match state {
            CallState::Done { at, .. } | CallState::ClaimedNotRun { at } => now.since(*at) < retention,
            CallState::Running(_) => true,
        });
    }
}
