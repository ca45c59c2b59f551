//! Execution of calls that must not repeat.

use async_channel::Sender;
use teaselcroft_parts::{ClaimAnswer, CommitWrite, Incarnation, KeyDigest, Member, SlotId, SlotRecord, SlotRecordWire};
use teaselcroft_policy::{ExecutorAction, ReadResult, WriteResult};

use super::{Control, io};
use crate::command::{Claimed, Command};
use crate::kv::{Stored, SwapAnswer};
use crate::platform::Platform;
use crate::{Event, emit};

fn slot_key(cell: &str, slot: SlotId) -> String {
    format!("slot/{cell}/{slot}")
}

fn decode(stored: &Stored) -> Option<(SlotRecord, u64)> {
    let wire: SlotRecordWire = serde_json::from_slice(&stored.value).ok()?;
    Some((wire.try_into().ok()?, stored.version))
}

impl<P: Platform> Control<P> {
    pub(super) fn claim(&mut self, slot: SlotId, key: KeyDigest, answer: Sender<Claimed>) {
        let now = self.now();
        let (claimed, actions) = self.slots.claim(now, slot, key);
        let reply = match claimed {
            ClaimAnswer::Pending => {
                self.claims.entry(key).or_default().push(answer);
                self.act_on_slots(actions);
                return;
            }
            ClaimAnswer::Granted => Claimed::Run,
            ClaimAnswer::NotOwner => Claimed::Moved,
            ClaimAnswer::Repeated => Claimed::Repeated,
            ClaimAnswer::Inherited => Claimed::Inherited,
            ClaimAnswer::Uncertain => Claimed::Uncertain,
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
        self.act_on_slots(actions);
    }

    pub(super) fn slot_written(&mut self, slot: SlotId, result: WriteResult) {
        let now = self.now();
        let actions = self.slots.write_done(now, slot, result);
        self.act_on_slots(actions);
    }

    pub(super) fn gap_recorded(&mut self, slot: SlotId, from: &Member, agreed: Option<bool>) {
        let now = self.now();
        if agreed == Some(true) {
            emit!(Event::OutageConsent, daemon = self.node.me.name, slot = slot, witness = from);
        }
        let actions = self.slots.recorded(now, slot, from, agreed);
        self.act_on_slots(actions);
    }

    pub(super) fn gap_answered(&mut self, slot: SlotId, from: &Member, gap: Option<bool>) {
        let now = self.now();
        let actions = self.slots.answered(now, slot, from, gap, &self.members);
        self.act_on_slots(actions);
    }

    pub(super) fn act_on_slots(&mut self, actions: Vec<ExecutorAction>) {
        for action in actions {
            match action {
                ExecutorAction::Read { slot } => self.read_slot(slot),
                ExecutorAction::Write { slot, write } => self.write_slot(slot, write),
                ExecutorAction::Record { slot, epoch, through, to } => {
                    self.ask_witness(slot, epoch, through, self.node.me.incarnation, to, true);
                }
                ExecutorAction::Ask { slot, epoch, owner, to } => {
                    self.ask_witness(slot, epoch, epoch, owner, to, false);
                }
                ExecutorAction::Run { key, .. } => self.answer_claims(key, Claimed::Run),
                ExecutorAction::Moved { key, .. } => self.answer_claims(key, Claimed::Moved),
                ExecutorAction::Owns { slot, epoch, gap } => {
                    emit!(Event::SlotOwned, daemon = self.node.me.name, slot = slot, epoch = epoch, gap = gap);
                    self.heartbeat_all();
                }
                ExecutorAction::Released { slot } => {
                    emit!(Event::SlotReleased, daemon = self.node.me.name, slot = slot);
                    self.heartbeat_all();
                }
            }
        }
    }

    /// Tells the first asker to run; others that joined it get its outcome.
    fn answer_claims(&mut self, key: KeyDigest, claimed: Claimed) {
        let mut waiting = self.claims.remove(&key).unwrap_or_default().into_iter();
        if let Some(first) = waiting.next() {
            super::reply_to(&first, claimed);
        }
        for other in waiting {
            super::reply_to(&other, if claimed == Claimed::Run { Claimed::Repeated } else { claimed });
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
            node.tell(Command::SlotRead { slot, result });
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
            node.tell(Command::SlotWritten { slot, result });
        };
        self.tasks.spawn(swap).detach();
    }

    fn ask_witness(&self, slot: SlotId, epoch: u64, through: u64, owner: Incarnation, to: Member, record: bool) {
        let node = self.node.clone();
        let ask = async move {
            let answer = io::ask_witness(&node, slot, epoch, through, owner, &to, record).await;
            let command = match record {
                true => Command::GapRecorded { slot, from: to, agreed: answer },
                false => Command::GapAnswered { slot, from: to, gap: answer },
            };
            node.tell(command);
        };
        self.tasks.spawn(ask).detach();
    }
}
