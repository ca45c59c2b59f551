//! In-memory deduplication of at-most-once calls, at the executor of their slot.

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
    /// The body of the upstream's reply; empty without one.
    pub body: Vec<u8>,
    /// How long the caller should wait before it tries again; zero for no advice.
    pub retry: Millis,
}

impl CallOutcome {
    /// An outcome with a code only, without an upstream reply.
    pub const fn bare(code: ResultCode) -> CallOutcome {
        CallOutcome { code, status: 0, body: Vec::new(), retry: Millis(0) }
    }
}

#[derive(Debug)]
enum CallState {
    /// In progress; every waiting attempt gets the outcome.
    Running(Vec<Sender<CallOutcome>>),
    Done {
        outcome: CallOutcome,
        at: Millis,
    },
    /// The claim was granted, but the call certainly did not run; a later attempt may run it.
    ClaimedNotRun {
        at: Millis,
    },
}

/// What an attempt of a call has to do; callers may send the same call several times.
#[derive(Debug)]
pub enum Admission {
    /// Claim the key, then run the call.
    New(Receiver<CallOutcome>),
    /// Run the call under the claim granted to an earlier attempt, which certainly did not run it.
    AlreadyClaimed(Receiver<CallOutcome>),
    /// Wait for the outcome of the attempt that is running.
    Joined(Receiver<CallOutcome>),
    /// Return the remembered outcome of an earlier attempt.
    Ended(CallOutcome),
}

/// Running calls and the outcomes of ended ones, by key digest.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: Mutex<HashMap<KeyDigest, CallState>>,
}

impl CallTable {
    /// Registers an attempt of the call with `key` and says what it has to do.
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

    /// Records the outcome of a call and sends it to every waiting attempt.
    ///
    /// `claimed` says whether this daemon holds the claim. If not, an outcome that says that the call did not run
    /// or may have run is not remembered, so that a later attempt asks for the claim.
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
            // Fails only if the waiting attempt was dropped.
            let _ = sender.try_send(outcome.clone());
        }
    }

    /// Adds outcomes handed over by a slot's previous executor; known calls keep their state.
    pub fn take_over(&self, now: Millis, outcomes: Vec<(KeyDigest, CallOutcome)>) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, outcome) in outcomes {
            calls.entry(key).or_insert(CallState::Done { outcome, at: now });
        }
    }

    /// The outcomes of ended calls of `slot`, for the next executor; `slots` is the number of slots.
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
