//! The state of one slot at a daemon: as its executor or as a possible successor.

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{ConflictAnswer, Gap, Member, Millis, SlotId, SlotJournal, SlotRecord};

use super::run_actions;
use crate::executor_messages::{ExecutorAction, WriteResult};

/// The progress of a takeover.
#[derive(Debug, Clone)]
pub(super) enum Phase {
    Idle,
    Reading,
    QueryingWitnesses { current: (SlotRecord, u64), waiting: BTreeSet<Member>, until: Millis, gap: Gap },
    Acquiring,
}

/// The last request for consent to one witness.
#[derive(Debug, Clone)]
pub(super) struct ConsentRequest {
    pub(super) sent: Millis,
    /// Whether the witness has not consented yet.
    pub(super) outstanding: bool,
}

/// The state of one slot at a daemon.
#[derive(Debug, Clone)]
pub(super) struct SlotState {
    pub(super) journal: SlotJournal,
    pub(super) phase: Phase,
    /// The last known executor.
    pub(super) owner: Option<Member>,
    /// The last epoch seen in a record or heartbeat.
    pub(super) epoch: u64,
    /// No read, commit or release is sent before this time.
    pub(super) retry_at: Millis,
    pub(super) commit_sent: Millis,
    /// Whether a write waits for the store's answer.
    pub(super) in_flight: bool,
    pub(super) releasing: bool,
    pub(super) consent_requests: BTreeMap<Member, ConsentRequest>,
    /// Since when it is unknown whether the executor lives or had a gap.
    pub(super) uncertain_since: Option<Millis>,
}

impl SlotState {
    /// Gives up the current attempt to take over; the next starts at `until` at the earliest.
    pub(super) fn set_idle(&mut self, until: Millis) {
        self.phase = Phase::Idle;
        self.retry_at = until;
    }

    /// Whether the executor's state has been uncertain for less than `limit`; starts the count
    /// at the first call.
    pub(super) fn is_uncertain(&mut self, now: Millis, limit: Millis) -> bool {
        let since = *self.uncertain_since.get_or_insert(now);
        now.since(since) < limit
    }

    /// Marks the consent request sent at `asked` as granted.
    pub(super) fn close_request(&mut self, witness: &Member, asked: Millis) {
        let request = self.consent_requests.get_mut(witness).filter(|request| request.sent == asked);
        if let Some(request) = request {
            request.outstanding = false;
        }
    }

    /// Handles the store's answer to the write that takes over the slot.
    pub(super) fn acquire_done(
        &mut self,
        now: Millis,
        slot: SlotId,
        result: WriteResult,
        me: &Member,
    ) -> Vec<ExecutorAction> {
        self.phase = Phase::Idle;
        match result {
            WriteResult::Done(version) => self.journal.acquire_done(now, version),
            WriteResult::Unknown => {
                self.journal.acquire_unknown();
                return Vec::new();
            }
            WriteResult::Conflict(actual) => {
                if !self.journal.acquire_conflict(now, actual.as_ref()) {
                    self.set_owner(actual);
                    return Vec::new();
                }
            }
        }
        let epoch = self.journal.epoch().unwrap_or_default();
        self.owner = Some(me.clone());
        self.epoch = epoch;
        self.consent_requests.clear();
        vec![ExecutorAction::Owns { slot, epoch, gap: self.journal.has_gap(now) }]
    }

    /// Handles the store's answer to the write that releases the slot; any answer other than
    /// `Unknown` ends the ownership.
    pub(super) fn release_done(&mut self, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        if result == WriteResult::Unknown {
            return Vec::new();
        }
        self.releasing = false;
        self.owner = None;
        self.journal.release_done();
        vec![ExecutorAction::Released { slot }]
    }

    /// Handles the store's answer to a commit: the claims in it run, or another daemon has the
    /// slot.
    pub(super) fn commit_done(&mut self, now: Millis, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        match result {
            WriteResult::Done(version) => run_actions(slot, self.journal.commit_done(now, version)),
            WriteResult::Unknown => Vec::new(),
            WriteResult::Conflict(actual) => match self.journal.commit_conflict(now, actual.clone()) {
                ConflictAnswer::Committed(keys) => run_actions(slot, keys),
                ConflictAnswer::Moved(keys) => {
                    self.set_owner(actual);
                    keys.into_iter().map(|key| ExecutorAction::Moved { slot, key }).collect()
                }
            },
        }
    }

    /// Sets owner and epoch from the record that the store holds.
    pub(super) fn set_owner(&mut self, actual: Option<(SlotRecord, u64)>) {
        let Some((record, _)) = actual else {
            self.owner = None;
            return;
        };
        self.owner = record.owner;
        self.epoch = record.epoch;
    }
}
