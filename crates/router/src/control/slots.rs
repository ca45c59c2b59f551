//! Slot ownership and claims of at-most-once calls: runs the executor's actions and returns their results to it.

use async_channel::Sender;
use teaselcroft_parts::{
    ClaimAnswer, CommitWrite, Incarnation, KeyDigest, Member, Millis, SlotId, SlotRecord, SlotRecordWire,
};
use teaselcroft_policy::{ExecutorAction, ReadResult, RecordGapAnswer, WriteResult};

use super::{Control, peer_calls};
use crate::command::{ClaimReply, Command};
use crate::generated::WitnessRequest;
use crate::kv::{Stored, SwapAnswer};
use crate::node::Node;
use crate::platform::Platform;
use crate::{Event, log_event};

fn slot_key(cell: &str, slot: SlotId) -> String {
    format!("slot/{cell}/{slot}")
}

fn decode(stored: &Stored) -> Option<(SlotRecord, u64)> {
    let wire: SlotRecordWire = serde_json::from_slice(&stored.value).ok()?;
    Some((wire.try_into().ok()?, stored.version))
}

/// Whether the slot record in the key-value service proves that this daemon executes `slot` and that the
/// call with `key` has not run; false if the service gives no usable answer.
pub async fn slot_proves_not_run<P: Platform>(node: &Node<P>, slot: SlotId, key: KeyDigest) -> bool {
    let stored = node.store_get(&slot_key(&node.settings.cell, slot)).await;
    let record = stored.ok().flatten().as_ref().and_then(decode);
    record.is_some_and(|(record, _)| record.proves_not_run(&node.me, key))
}

impl<P: Platform> Control<P> {
    pub(super) fn claim(&mut self, slot: SlotId, key: KeyDigest, answer: Sender<ClaimReply>) {
        let now = self.now();
        let (claimed, actions) = self.slots.claim(now, slot, key);
        let reply = match claimed {
            ClaimAnswer::Pending => {
                self.claims.entry(key).or_default().push(answer);
                self.run_slot_actions(actions);
                return;
            }
            ClaimAnswer::Granted => ClaimReply::Run,
            ClaimAnswer::NotOwner => ClaimReply::Moved,
            ClaimAnswer::Repeated => ClaimReply::Repeated,
            ClaimAnswer::Inherited => ClaimReply::Inherited,
            ClaimAnswer::Uncertain => ClaimReply::Uncertain,
        };
        super::reply_to(&answer, reply);
    }

    pub(super) fn cancel_claim(&mut self, slot: SlotId, key: KeyDigest, answer: &Sender<bool>) {
        let cancelled = self.slots.cancel(slot, key);
        if cancelled {
            self.claims.remove(&key);
        }
        super::reply_to(answer, cancelled);
    }

    pub(super) fn slot_read(&mut self, slot: SlotId, result: ReadResult) {
        let now = self.now();
        let actions = self.slots.read_done(now, slot, result, &self.members);
        self.run_slot_actions(actions);
    }

    pub(super) fn slot_written(&mut self, slot: SlotId, result: WriteResult) {
        let now = self.now();
        let actions = self.slots.write_done(now, slot, result);
        self.run_slot_actions(actions);
    }

    pub(super) fn gap_recorded(&mut self, answer: &RecordGapAnswer) {
        let now = self.now();
        if answer.agreed == Some(true) {
            log_event!(Event::OutageConsent, daemon = self.node.me.name, slot = answer.slot, witness = answer.from);
        }
        let actions = self.slots.record_gap_done(now, answer);
        self.run_slot_actions(actions);
    }

    pub(super) fn gap_answered(&mut self, slot: SlotId, from: &Member, gap: Option<bool>) {
        let now = self.now();
        let actions = self.slots.ask_gap_done(now, slot, from, gap, &self.members);
        self.run_slot_actions(actions);
    }

    pub(super) fn run_slot_actions(&mut self, actions: Vec<ExecutorAction>) {
        for action in actions {
            match action {
                ExecutorAction::Read { slot } => self.read_slot(slot),
                ExecutorAction::Write { slot, write } => self.write_slot(slot, write),
                ExecutorAction::RecordGap { slot, epoch, through, to, asked } => {
                    self.record_gap(slot, epoch, through, to, asked);
                }
                ExecutorAction::AskGap { slot, epoch, owner, to } => self.ask_gap(slot, epoch, owner, to),
                ExecutorAction::Run { key, .. } => self.answer_claims(key, ClaimReply::Run),
                ExecutorAction::Moved { key, .. } => self.answer_claims(key, ClaimReply::Moved),
                ExecutorAction::Owns { slot, epoch, gap } => {
                    log_event!(Event::SlotOwned, daemon = self.node.me.name, slot = slot, epoch = epoch, gap = gap);
                    self.send_heartbeats();
                }
                ExecutorAction::Released { slot } => {
                    log_event!(Event::SlotReleased, daemon = self.node.me.name, slot = slot);
                    self.send_heartbeats();
                }
            }
        }
    }

    /// Answers all pending claims of `key`: on [`ClaimReply::Run`] only the first may run, and the others are
    /// told that the key is claimed.
    fn answer_claims(&mut self, key: KeyDigest, claimed: ClaimReply) {
        let mut waiting = self.claims.remove(&key).unwrap_or_default().into_iter();
        if let Some(first) = waiting.next() {
            super::reply_to(&first, claimed);
        }
        for other in waiting {
            super::reply_to(&other, if claimed == ClaimReply::Run { ClaimReply::Repeated } else { claimed });
        }
    }

    fn read_slot(&self, slot: SlotId) {
        let node = self.node.clone();
        let key = slot_key(&node.settings.cell, slot);
        let read = async move {
            let result = match node.store_get(&key).await {
                Ok(stored) => ReadResult::Found(stored.as_ref().and_then(decode)),
                Err(_) => ReadResult::Unknown,
            };
            node.send_command(Command::SlotRead { slot, result });
        };
        self.tasks.spawn(read).detach();
    }

    fn write_slot(&self, slot: SlotId, write: CommitWrite) {
        let node = self.node.clone();
        let key = slot_key(&node.settings.cell, slot);
        let swap = async move {
            let value = serde_json::to_vec(&SlotRecordWire::from(&write.record)).unwrap_or_default();
            let result = match node.store_swap(&key, value, write.expected).await {
                Ok(SwapAnswer::Done(version)) => WriteResult::Done(version),
                Ok(SwapAnswer::Conflict(actual)) => WriteResult::Conflict(actual.as_ref().and_then(decode)),
                Err(_) => WriteResult::Unknown,
            };
            node.send_command(Command::SlotWritten { slot, result });
        };
        self.tasks.spawn(swap).detach();
    }

    fn record_gap(&self, slot: SlotId, epoch: u64, through: u64, to: Member, asked: Millis) {
        let node = self.node.clone();
        let request = WitnessRequest { slot: slot.0, epoch, through, owner: node.me.incarnation.0, record: true };
        let record = async move {
            let agreed = peer_calls::ask_witness(&node, request, &to).await;
            node.send_command(Command::GapRecorded(RecordGapAnswer { slot, from: to, through, asked, agreed }));
        };
        self.tasks.spawn(record).detach();
    }

    fn ask_gap(&self, slot: SlotId, epoch: u64, owner: Incarnation, to: Member) {
        let node = self.node.clone();
        let request = WitnessRequest { slot: slot.0, epoch, through: epoch, owner: owner.0, record: false };
        let ask = async move {
            let gap = peer_calls::ask_witness(&node, request, &to).await;
            node.send_command(Command::GapAnswered { slot, from: to, gap });
        };
        self.tasks.spawn(ask).detach();
    }
}
