//! One slot as its executor, or a daemon that may become it, sees it.

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{ConflictAnswer, Gap, Member, Millis, SlotId, SlotJournal, SlotRecord};

use super::runs;
use crate::executor_messages::{ExecutorAction, WriteResult};

#[derive(Debug, Clone)]
pub(super) enum Phase {
    Rest,
    Reading,
    Asking { current: (SlotRecord, u64), waiting: BTreeSet<Member>, until: Millis, gap: Gap },
    Acquiring,
}

#[derive(Debug, Clone)]
pub(super) struct Recording {
    pub(super) sent: Millis,
    pub(super) open: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Control {
    pub(super) journal: SlotJournal,
    pub(super) phase: Phase,
    pub(super) owner: Option<Member>,
    pub(super) epoch: u64,
    pub(super) retry_at: Millis,
    pub(super) committed_at: Millis,
    pub(super) write_out: bool,
    pub(super) releasing: bool,
    pub(super) recordings: BTreeMap<Member, Recording>,
    pub(super) doubted_at: Option<Millis>,
}

impl Control {
    pub(super) fn rest(&mut self, until: Millis) {
        self.phase = Phase::Rest;
        self.retry_at = until;
    }

    /// Whether a doubt about the executor is younger than `limit`.
    pub(super) fn in_doubt(&mut self, now: Millis, limit: Millis) -> bool {
        let since = *self.doubted_at.get_or_insert(now);
        now.since(since) < limit
    }

    pub(super) fn close_recording(&mut self, witness: &Member, asked: Millis) {
        let recording = self.recordings.get_mut(witness).filter(|recording| recording.sent == asked);
        if let Some(recording) = recording {
            recording.open = false;
        }
    }

    pub(super) fn acquire_done(
        &mut self,
        now: Millis,
        slot: SlotId,
        result: WriteResult,
        me: &Member,
    ) -> Vec<ExecutorAction> {
        self.phase = Phase::Rest;
        match result {
            WriteResult::Done(version) => self.journal.acquired(now, version),
            WriteResult::Unknown => {
                self.journal.acquire_unknown();
                return Vec::new();
            }
            WriteResult::Conflict(actual) => {
                if !self.journal.acquire_conflict(now, actual.as_ref()) {
                    self.note_owner(actual);
                    return Vec::new();
                }
            }
        }
        let epoch = self.journal.epoch().unwrap_or_default();
        self.owner = Some(me.clone());
        self.epoch = epoch;
        self.recordings.clear();
        vec![ExecutorAction::Owns { slot, epoch, gap: self.journal.has_gap(now) }]
    }

    pub(super) fn release_done(&mut self, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        if result == WriteResult::Unknown {
            return Vec::new();
        }
        self.releasing = false;
        self.owner = None;
        self.journal.released();
        vec![ExecutorAction::Released { slot }]
    }

    pub(super) fn commit_done(&mut self, now: Millis, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        match result {
            WriteResult::Done(version) => runs(slot, self.journal.commit_done(now, version)),
            WriteResult::Unknown => Vec::new(),
            WriteResult::Conflict(actual) => match self.journal.commit_conflict(now, actual.clone()) {
                ConflictAnswer::Committed(keys) => runs(slot, keys),
                ConflictAnswer::Moved(keys) => {
                    self.note_owner(actual);
                    keys.into_iter().map(|key| ExecutorAction::Moved { slot, key }).collect()
                }
            },
        }
    }

    pub(super) fn note_owner(&mut self, actual: Option<(SlotRecord, u64)>) {
        let Some((record, _)) = actual else {
            self.owner = None;
            return;
        };
        self.owner = record.owner;
        self.epoch = record.epoch;
    }
}
