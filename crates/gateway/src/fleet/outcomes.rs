//! How requests end at runners, and which runners are ejected because they fail most of theirs.

use teaselcroft_parts::{Millis, RunnerName};
use teaselcroft_policy::OutcomeWindow;

use super::runner_table::RunnerState;
use super::{Fleet, RunnerKey};
use crate::heartbeat::{RunnerEjection, RunnerLoad};

/// The most ejected runners in one heartbeat, which has to fit into a datagram.
const MAX_EJECTIONS: usize = 128;

impl Fleet {
    /// Records how a request of this daemon ended at a runner. Returns for how long the runner is ejected if it is from now
    /// on.
    pub fn note_outcome(&mut self, key: RunnerKey, is_failure: bool, now: Millis) -> Option<Millis> {
        let failed = u32::from(is_failure);
        let state = self.runners.get_mut(key)?;
        let (ended, all_failed) = state.own_outcomes;
        state.own_outcomes = (ended.wrapping_add(1), all_failed.wrapping_add(failed));
        state.ended_at = now;
        self.changed = true;
        self.note_outcomes(key, 1, failed, now)
    }

    /// Records the outcomes that a peer reports with its load, less those that it reported before. Returns the runners that
    /// are ejected by them, and for how long.
    pub(super) fn apply_peer_outcomes(
        &mut self,
        peer: &str,
        loads: &[RunnerLoad],
        now: Millis,
    ) -> Vec<(RunnerName, Millis)> {
        let mut ejected = Vec::new();
        for load in loads.iter().filter(|load| load.ended > 0) {
            let Some((key, state)) =
                self.runners.key_of(load.runner).and_then(|key| Some((key, self.runners.get_mut(key)?)))
            else {
                continue;
            };
            let known = state.peer_outcomes.insert(peer.to_owned(), (load.ended, load.failed));
            let name = state.record().name.clone();
            // A count that fell is that of a peer which restarted.
            let (ended, failed) = known.filter(|known| known.0 <= load.ended).unwrap_or_default();
            let (ended, failed) = (load.ended - ended, load.failed.saturating_sub(failed));
            if let Some(span) = self.note_outcomes(key, ended, failed.min(ended), now) {
                ejected.push((name, span));
            }
        }
        ejected
    }

    fn note_outcomes(&mut self, key: RunnerKey, ended: u32, failed: u32, now: Millis) -> Option<Millis> {
        if !self.detects_outliers {
            return None;
        }
        let state = self.runners.get_mut(key)?;
        if failed == 0 && state.outlier.is_usual() {
            // The sum over all runners of the service is needed only for one that fails or is on trial.
            return state.outlier.note(ended, 0, OutcomeWindow::default(), now);
        }
        let service = state.record().service.clone();
        let others = self.runners.of_service(&service).filter(|(other, _)| *other != key);
        let windows = others.map(|(_, state)| state.outlier.window(now));
        let others = windows.fold(OutcomeWindow::default(), OutcomeWindow::plus);
        self.runners.get_mut(key)?.outlier.note(ended, failed, others, now)
    }

    /// The runners that are ejected now, for heartbeats: all of them for placement candidates, only those of plain services
    /// for daemons that choose no other runners.
    pub fn ejections(&self, is_plain_only: bool, now: Millis) -> Vec<RunnerEjection> {
        let left = |state: &RunnerState| u32::try_from(state.outlier.ejected_for(now).0).unwrap_or(u32::MAX);
        let is_told = |state: &&RunnerState| left(state) > 0 && (!is_plain_only || state.is_plain.get());
        let told = self.runners.states().filter(is_told).take(MAX_EJECTIONS);
        told.map(|state| RunnerEjection { runner: state.hash(), left_ms: left(state) }).collect()
    }

    /// Ejects the runners that a peer ejected; returns the names of those that this daemon used until now.
    pub fn apply_ejections(&mut self, ejections: &[RunnerEjection], now: Millis) -> Vec<RunnerName> {
        let mut new = Vec::new();
        for ejection in ejections.iter().filter(|_| self.detects_outliers) {
            let Some(state) = self.runners.by_hash_mut(ejection.runner) else {
                continue;
            };
            if state.outlier.is_usable(now) {
                new.push(state.record().name.clone());
            }
            state.outlier.eject_until(now + Millis(ejection.left_ms.into()));
        }
        new
    }

    /// Records that a runner was chosen for a request, which may be a trial after its ejection.
    pub fn note_chosen(&mut self, key: RunnerKey, now: Millis) {
        if let Some(state) = self.runners.get_mut(key) {
            state.outlier.note_chosen(now);
        }
    }
}
