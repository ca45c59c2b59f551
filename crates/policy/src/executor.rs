//! Runs calls that must not repeat: one executor per slot, one claim per key.
//!
//! An executor commits each claim to the slot's record before the call runs. It takes over a slot
//! whose executor died, and asks that executor's witnesses whether calls ran outside the record.

mod control;
mod takeover;

use std::collections::BTreeMap;

use teaselcroft_parts::{
    ClaimAnswer, GapWitness, Incarnation, JournalSettings, KeyDigest, Member, Membership, Millis, SlotId, SlotJournal,
    WitnessAnswer, rank,
};

use self::control::{Control, Phase, Recording};
use crate::executor_messages::{ExecutorAction, RecordAnswer, WriteResult};

/// Bounds of an executor.
#[derive(Debug, Clone)]
pub struct ExecutorSettings {
    /// The number of slots in the cell.
    pub slots: u32,
    /// The most witnesses of one slot.
    pub witness_max: usize,
    /// The shortest time between two commits of one slot.
    pub commit_every: Millis,
    /// A commit without a reply for this long counts as an outage.
    pub outage_after: Millis,
    /// How often a consent is renewed.
    pub renew_every: Millis,
    /// How long to wait after a call without a reply.
    pub retry_after: Millis,
    /// How long to wait for witnesses of an executor that died.
    pub ask_for: Millis,
    /// How long a new daemon listens before it takes over any slot.
    pub listen_for: Millis,
    /// How long to wait for an executor that was never heard, or for any witness of one that died.
    pub doubt_for: Millis,
    /// How long a daemon that hears no peer, though it did, waits before it takes over any slot.
    pub isolated_for: Millis,
    /// Bounds of each slot's journal.
    pub journal: JournalSettings,
}

impl Default for ExecutorSettings {
    fn default() -> ExecutorSettings {
        ExecutorSettings {
            slots: 8,
            witness_max: 2,
            commit_every: Millis(15),
            outage_after: Millis(400),
            renew_every: Millis(1_500),
            retry_after: Millis(250),
            ask_for: Millis(400),
            listen_for: Millis(2_000),
            doubt_for: Millis(10_000),
            isolated_for: Millis(30_000),
            journal: JournalSettings::default(),
        }
    }
}

/// One daemon's part in executing calls that must not repeat.
#[derive(Debug, Clone)]
pub struct Executor {
    settings: ExecutorSettings,
    me: Member,
    slots: BTreeMap<SlotId, Control>,
    witness: GapWitness,
    stopping: bool,
    heard_at: Millis,
    heard_any: bool,
}

impl Executor {
    /// An executor that owns nothing and listens for others from `now` on.
    pub fn new(settings: ExecutorSettings, me: Member, now: Millis) -> Executor {
        let control = Control {
            journal: SlotJournal::new(settings.journal.clone(), me.clone()),
            phase: Phase::Rest,
            owner: None,
            epoch: 0,
            retry_at: now + settings.listen_for,
            committed_at: Millis(0),
            write_out: false,
            releasing: false,
            recordings: BTreeMap::new(),
            doubted_at: None,
        };
        let slots = (0..settings.slots).map(|slot| (SlotId(slot), control.clone())).collect();
        Executor {
            settings,
            me,
            slots,
            witness: GapWitness::default(),
            stopping: false,
            heard_at: now,
            heard_any: false,
        }
    }

    /// The slots that this daemon owns, with their epochs.
    pub fn owned(&self) -> Vec<(SlotId, u64)> {
        let owned = self.slots.iter().filter_map(|(slot, control)| Some((*slot, control.journal.epoch()?)));
        owned.collect()
    }

    /// The last known executor of `slot`.
    pub fn owner_of(&self, slot: SlotId) -> Option<&Member> {
        let control = self.slots.get(&slot)?;
        if control.journal.epoch().is_some() {
            return Some(&self.me);
        }
        control.owner.as_ref()
    }

    /// Takes in a peer's word which slots it owns; one that it gave up has no known executor.
    pub fn peer_owns(&mut self, peer: &Member, owned: &[(SlotId, u64)]) {
        for (slot, control) in &mut self.slots {
            let claimed = owned.iter().find(|(owned, _)| owned == slot).map(|(_, epoch)| *epoch);
            match claimed {
                Some(epoch) if epoch >= control.epoch => {
                    control.owner = Some(peer.clone());
                    control.epoch = epoch;
                }
                None if control.owner.as_ref() == Some(peer) => control.owner = None,
                _ => {}
            }
        }
    }

    /// Begins to release every slot.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Listens for others again before it takes over any slot, as after a pause.
    pub fn listen(&mut self, now: Millis) {
        let until = now + self.settings.listen_for;
        for control in self.slots.values_mut().filter(|control| control.journal.epoch().is_none()) {
            control.retry_at = control.retry_at.max(until);
        }
    }

    /// Asks to run the call with `key` of `slot`; a `Pending` claim is answered by an action.
    pub fn claim(&mut self, now: Millis, slot: SlotId, key: KeyDigest) -> (ClaimAnswer, Vec<ExecutorAction>) {
        let Some(control) = self.slots.get_mut(&slot) else {
            return (ClaimAnswer::NotOwner, Vec::new());
        };
        if self.stopping {
            return (ClaimAnswer::NotOwner, Vec::new());
        }
        let answer = control.journal.claim(now, key);
        let actions = if answer == ClaimAnswer::Pending { self.commit(now, slot) } else { None };
        (answer, actions.into_iter().collect())
    }

    /// Drops a waiting claim; false if it may have been committed.
    pub fn cancel(&mut self, slot: SlotId, key: KeyDigest) -> bool {
        self.slots.get_mut(&slot).is_none_or(|control| control.journal.cancel(key))
    }

    /// Another executor asks this daemon to witness a gap; true if it will.
    pub fn record_gap(&mut self, slot: SlotId, epoch: u64, through: u64, owner: Incarnation) -> bool {
        self.witness.forget_before(slot, epoch);
        self.witness.record(slot, epoch..=through.min(epoch + 1), owner)
    }

    /// A successor asks this daemon whether it witnessed a gap.
    pub fn ask_gap(&mut self, slot: SlotId, epoch: u64, owner: Incarnation) -> bool {
        self.witness.ask(slot, epoch, owner) == WitnessAnswer::Gap
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis, members: &Membership) -> Vec<ExecutorAction> {
        if !members.live_peers(now).is_empty() {
            self.heard_at = now;
            self.heard_any = true;
        }
        let slots: Vec<SlotId> = self.slots.keys().copied().collect();
        let mut actions = Vec::new();
        for slot in slots {
            actions.extend(self.tick_slot(now, slot, members));
        }
        actions
    }

    fn tick_slot(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let owns = self.slots.get(&slot).is_some_and(|control| control.journal.epoch().is_some());
        if owns {
            return self.tick_owned(now, slot, members);
        }
        self.tick_foreign(now, slot, members).into_iter().collect()
    }

    fn tick_owned(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let candidates = self.candidates(now, slot, members);
        if let Some(control) = self.slots.get_mut(&slot) {
            control.journal.set_candidates(candidates);
        }
        let write = if self.stopping { self.release(now, slot) } else { self.commit(now, slot) };
        let record = self.seek_consent(now, slot, members);
        write.into_iter().chain(record).collect()
    }

    /// The live peers to name as witnesses of `slot`: those that would take it over.
    fn candidates(&self, now: Millis, slot: SlotId, members: &Membership) -> Vec<Member> {
        let subject = format!("slot/{slot}");
        let mut peers = members.live_peers(now);
        peers.sort_by_key(|peer| std::cmp::Reverse(rank(&subject, peer.name.as_str())));
        peers.truncate(self.settings.witness_max);
        peers.sort();
        peers
    }

    /// Sends the next commit, or repeats the one without a reply.
    fn commit(&mut self, now: Millis, slot: SlotId) -> Option<ExecutorAction> {
        let every = self.settings.commit_every;
        let control = self.slots.get_mut(&slot)?;
        if control.write_out || now < control.retry_at {
            return None;
        }
        let repeated = control.journal.repeat_commit();
        let early = now < control.committed_at + every;
        let write = match repeated {
            Some(write) => write,
            None if early => return None,
            None => control.journal.next_commit(now)?,
        };
        control.committed_at = now;
        control.write_out = true;
        Some(ExecutorAction::Write { slot, write })
    }

    fn release(&mut self, now: Millis, slot: SlotId) -> Option<ExecutorAction> {
        let control = self.slots.get_mut(&slot)?;
        let idle = !control.write_out && now >= control.retry_at;
        if idle && let Some(write) = control.journal.release(now) {
            control.releasing = true;
            control.write_out = true;
            return Some(ExecutorAction::Write { slot, write });
        }
        self.commit(now, slot)
    }

    /// Asks the witnesses for consent while a commit goes without a reply.
    fn seek_consent(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let settings = &self.settings;
        let Some(control) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        let overdue = control.journal.flight_sent().is_some_and(|sent| now.since(sent) >= settings.outage_after);
        let Some(epochs) = control.journal.gap_epochs().filter(|_| overdue && !control.releasing) else {
            return Vec::new();
        };
        let witnesses = control.journal.witnesses();
        let due = witnesses.into_iter().filter(|witness| {
            let last = control.recordings.get(witness);
            let wait = if last.is_some_and(|last| last.open) { settings.retry_after } else { settings.renew_every };
            members.is_alive(now, witness) && last.is_none_or(|last| now.since(last.sent) >= wait)
        });
        let due: Vec<Member> = due.collect();
        for to in &due {
            control.recordings.insert(to.clone(), Recording { sent: now, open: true });
        }
        let (epoch, through) = (*epochs.start(), *epochs.end());
        due.into_iter().map(|to| ExecutorAction::Record { slot, epoch, through, to, asked: now }).collect()
    }

    /// Takes in a witness's answer to `Record`.
    pub fn recorded(&mut self, now: Millis, answer: &RecordAnswer) -> Vec<ExecutorAction> {
        let Some(control) = self.slots.get_mut(&answer.slot) else {
            return Vec::new();
        };
        match answer.agreed {
            Some(true) => control.close_recording(&answer.from, answer.asked),
            Some(false) => {
                control.journal.consent_denied();
                return Vec::new();
            }
            None => return Vec::new(),
        }
        let granted = control.journal.consented(now, &answer.from, answer.asked, answer.through);
        runs(answer.slot, granted)
    }

    /// Takes in the answer to `Write`.
    pub fn write_done(&mut self, now: Millis, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        let retry_after = self.settings.retry_after;
        let Some(control) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        control.write_out = false;
        if result == WriteResult::Unknown {
            control.retry_at = now + retry_after;
        }
        if matches!(control.phase, Phase::Acquiring) {
            return control.acquire_done(now, slot, result, &self.me);
        }
        if control.releasing {
            return control.release_done(slot, result);
        }
        control.commit_done(now, slot, result)
    }
}

fn runs(slot: SlotId, keys: Vec<KeyDigest>) -> Vec<ExecutorAction> {
    keys.into_iter().map(|key| ExecutorAction::Run { slot, key }).collect()
}
