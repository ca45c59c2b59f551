//! Records crashes of runners, shares them and blocks the requests that cause them.

use std::sync::MutexGuard;

use super::{Gateway, lock};
use crate::crash_sync::CrashSync;
use crate::crash_tracker::Suspect;
use crate::dialect::Dialect;
use crate::fleet::runner_hash;
use crate::heartbeat::{Crash, CrashList};
use crate::pending_crashes::{PendingCrash, PendingCrashes};
use crate::{Event, RunnerRecord, log_event};
use teaselcroft_parts::RunnerName;

impl<D: Dialect> Gateway<D> {
    /// Locks the decision when to fetch peers' known crashes.
    pub fn crash_sync(&self) -> MutexGuard<'_, CrashSync> {
        lock(&self.crash_sync)
    }

    /// Whether a request that carries `suspects` must not run, because they crash runners. Queues what this daemon saw of
    /// that for the store.
    pub fn is_blocked(&self, suspects: &[Suspect]) -> bool {
        let mut crashes = self.crashes();
        let now = self.now();
        let is_blocked = crashes.is_blocked(suspects, now);
        if is_blocked {
            for suspect in crashes.unstored(suspects, now) {
                if self.unstored_sender.try_send(suspect).is_ok() {
                    crashes.set_stored(suspect);
                }
            }
        }
        is_blocked
    }

    /// Waits for the next suspect whose crashes the store does not have yet.
    pub async fn next_unstored(&self) -> Suspect {
        match self.unstored.recv().await {
            Ok(suspect) => suspect,
            // This struct also holds the sender, so the channel never closes.
            Err(_) => std::future::pending().await,
        }
    }

    /// Adds all crashes and clearances that a peer knows; returns how many there are.
    pub fn merge_crashes(&self, list: CrashList) -> usize {
        let now = self.now();
        let count = list.crashes.len();
        // Clearances first: on a daemon that runs for a shorter time than both, a crash after a clearance has its age.
        for clearance in list.cleared {
            self.crashes().note_clearance(clearance, now);
        }
        for crash in list.crashes {
            self.note_crash(crash, false);
        }
        count
    }

    /// Locks the requests after which runners may have crashed.
    pub fn pending_crashes(&self) -> MutexGuard<'_, PendingCrashes> {
        lock(&self.pending_crashes)
    }

    /// Records a runner's store entry: a later start shows that the runner crashed after requests that are pending.
    pub fn note_runner_entry(&self, record: &RunnerRecord) {
        let now = self.now();
        let crashes = self.pending_crashes().note_entry(record, now);
        for crash in crashes {
            log_event!(Event::RunnerRestarted, runner = crash.runner, content = crash.suspects[0]);
            self.count_pending(&crash);
        }
    }

    /// Records that a runner's store entry vanished.
    pub fn note_runner_removal(&self, runner: &RunnerName) {
        let now = self.now();
        let started_at = self.fleet().find(runner).map(|(_, record, _)| record.started_at);
        self.pending_crashes().note_removal(runner, started_at, now);
    }

    /// Records that a runner whose entry vanished is gone for good.
    pub fn note_runner_gone(&self, runner: &RunnerName) {
        self.pending_crashes().note_gone(runner);
    }

    /// Counts the requests that got no answer from runners whose entries vanished.
    pub fn count_removed(&self) {
        let now = self.now();
        let (crashes, disregarded) = {
            let mut pending = self.pending_crashes();
            let tracker = self.crashes();
            let is_counted = |crash: &PendingCrash| {
                let runner = runner_hash(&crash.runner, crash.started_at);
                crash.suspects.iter().any(|suspect| tracker.is_counted(*suspect, runner))
            };
            (pending.take_removed(is_counted, now), pending.take_disregarded())
        };
        for crash in disregarded {
            log_event!(Event::RemovalDisregarded, runner = crash.runner, content = crash.suspects[0]);
        }
        for crash in crashes {
            log_event!(Event::RunnerRemoved, runner = crash.runner, content = crash.suspects[0]);
            self.count_pending(&crash);
        }
    }

    /// Counts a crash against what a request carries, except for what others showed to be harmless.
    pub fn count_pending(&self, crash: &PendingCrash) {
        let now = self.now();
        let is_common = self.pending_crashes().is_common(crash.suspects[0], now);
        let suspicious: Vec<Suspect> = {
            let crashes = self.crashes();
            let is_suspect = |suspect: &Suspect| {
                if suspect.is_part() { crashes.is_suspicious(*suspect, now) } else { !is_common }
            };
            crash.suspects.iter().copied().filter(is_suspect).collect()
        };
        let runner = runner_hash(&crash.runner, crash.started_at);
        suspicious.into_iter().for_each(|suspect| self.count_crash(suspect, runner));
        // Queues what is blocked now for the store.
        self.is_blocked(&crash.suspects);
    }

    /// Records a crash that this daemon saw, and tells peers soon if it matters to them.
    pub fn count_crash(&self, suspect: Suspect, runner: u64) {
        self.note_crash(suspect.crash_of(runner), true);
        if suspect.is_part() || self.crashes().is_nearly_proven(suspect) {
            self.request_heartbeats();
        }
    }

    /// Records a crash; `is_own` says that this daemon saw it itself. Requests that wait for their answers check whether
    /// they are blocked by now.
    pub fn note_crash(&self, crash: Crash, is_own: bool) {
        let is_nearly_proven = {
            let mut crashes = self.crashes();
            crashes.note(crash, is_own, self.now());
            crashes.is_nearly_proven(crash.into())
        };
        if is_nearly_proven {
            self.crash_noted.notify(usize::MAX);
        }
    }

    /// Waits until a request that carries `suspects` must not run any more, because they crash runners.
    pub async fn wait_for_block(&self, suspects: &[Suspect]) {
        loop {
            let noted = self.crash_noted.listen();
            if self.is_blocked(suspects) {
                return;
            }
            noted.await;
        }
    }
}
