//! At-most-once execution of calls: one executor per slot, one claim per key.
//!
//! Calls are sharded by key into slots. The executor of a slot commits the claim of each key to the
//! slot's record in the key-value store before the call runs. While the store is down it runs calls
//! with the consent of its witnesses, outside the record; that is a gap. A successor that takes
//! over the slot of a dead executor asks those witnesses whether there was a gap.

mod slot_state;
mod takeover;

use std::collections::BTreeMap;

use teaselcroft_parts::{
    ClaimAnswer, GapWitness, Incarnation, JournalSettings, KeyDigest, Member, Membership, Millis, SlotId, SlotJournal,
    WitnessAnswer, rank,
};

use self::slot_state::{ConsentRequest, Phase, SlotState};
use crate::executor_messages::{ExecutorAction, RecordGapAnswer, WriteResult};

/// The timing and size limits of an executor.
#[derive(Debug, Clone)]
pub struct ExecutorSettings {
    /// The number of slots in the cell.
    pub slots: u32,
    /// The maximum number of witnesses per slot.
    pub witness_max: usize,
    /// The minimum time between two commits of one slot; claims made in between share a commit.
    pub commit_every: Millis,
    /// How long a commit may go without a reply before it counts as a store outage.
    pub outage_after: Millis,
    /// How often a witness's consent is renewed during an outage.
    pub renew_every: Millis,
    /// How long to wait before a retry when the store or a witness did not reply.
    pub retry_after: Millis,
    /// How long a successor waits for the answers of a dead executor's witnesses.
    pub witness_wait: Millis,
    /// How long a daemon only listens for heartbeats, after its start or a pause, before it takes
    /// over any slot.
    pub listen_for: Millis,
    /// How long a takeover is put off if no heartbeat of the executor was ever received, or if no
    /// witness says whether there was a gap.
    pub uncertain_for: Millis,
    /// How long a daemon that no longer hears any peer, and so may be partitioned, waits before it
    /// takes over any slot.
    pub isolated_for: Millis,
    /// The limits of each slot's journal.
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
            witness_wait: Millis(400),
            listen_for: Millis(2_000),
            uncertain_for: Millis(10_000),
            isolated_for: Millis(30_000),
            journal: JournalSettings::default(),
        }
    }
}

/// One daemon's state machine for all slots: executor of those it owns, possible successor for the
/// others, and witness for its peers.
#[derive(Debug, Clone)]
pub struct Executor {
    settings: ExecutorSettings,
    me: Member,
    slots: BTreeMap<SlotId, SlotState>,
    witness: GapWitness,
    stopping: bool,
    /// The last tick at which a peer was live; the start time before that.
    peer_seen_at: Millis,
    /// Whether a peer was ever live.
    seen_peer: bool,
}

impl Executor {
    /// Creates an executor that owns no slot and starts its listening time at `now`.
    pub fn new(settings: ExecutorSettings, me: Member, now: Millis) -> Executor {
        let state = SlotState {
            journal: SlotJournal::new(settings.journal.clone(), me.clone()),
            phase: Phase::Idle,
            owner: None,
            epoch: 0,
            retry_at: now + settings.listen_for,
            commit_sent: Millis(0),
            in_flight: false,
            releasing: false,
            consent_requests: BTreeMap::new(),
            uncertain_since: None,
        };
        let slots = (0..settings.slots).map(|slot| (SlotId(slot), state.clone())).collect();
        Executor {
            settings,
            me,
            slots,
            witness: GapWitness::default(),
            stopping: false,
            peer_seen_at: now,
            seen_peer: false,
        }
    }

    /// The slots that this daemon executes, with their epochs, for its heartbeats.
    pub fn owned(&self) -> Vec<(SlotId, u64)> {
        let owned = self.slots.iter().filter_map(|(slot, state)| Some((*slot, state.journal.epoch()?)));
        owned.collect()
    }

    /// The last known executor of `slot`.
    pub fn owner_of(&self, slot: SlotId) -> Option<&Member> {
        let state = self.slots.get(&slot)?;
        if state.journal.epoch().is_some() {
            return Some(&self.me);
        }
        state.owner.as_ref()
    }

    /// Applies the slots and epochs that a peer reports to own; a slot that it no longer reports
    /// has no known executor.
    pub fn update_peer_slots(&mut self, peer: &Member, owned: &[(SlotId, u64)]) {
        for (slot, state) in &mut self.slots {
            let claimed = owned.iter().find(|(owned, _)| owned == slot).map(|(_, epoch)| *epoch);
            match claimed {
                Some(epoch) if epoch >= state.epoch => {
                    state.owner = Some(peer.clone());
                    state.epoch = epoch;
                }
                None if state.owner.as_ref() == Some(peer) => state.owner = None,
                _ => {}
            }
        }
    }

    /// Begins to release every slot, as the daemon stops; no claim is accepted from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Restarts the listening time, as after a pause of the process.
    pub fn restart_listening(&mut self, now: Millis) {
        let until = now + self.settings.listen_for;
        for state in self.slots.values_mut().filter(|state| state.journal.epoch().is_none()) {
            state.retry_at = state.retry_at.max(until);
        }
    }

    /// Claims `key` in `slot` for a call; a `Pending` claim is answered later by `Run` or `Moved`.
    pub fn claim(&mut self, now: Millis, slot: SlotId, key: KeyDigest) -> (ClaimAnswer, Vec<ExecutorAction>) {
        let Some(state) = self.slots.get_mut(&slot) else {
            return (ClaimAnswer::NotOwner, Vec::new());
        };
        if self.stopping {
            return (ClaimAnswer::NotOwner, Vec::new());
        }
        let answer = state.journal.claim(now, key);
        let actions = if answer == ClaimAnswer::Pending { self.commit(now, slot) } else { None };
        (answer, actions.into_iter().collect())
    }

    /// Withdraws a pending claim; false if it may have been committed.
    pub fn cancel(&mut self, slot: SlotId, key: KeyDigest) -> bool {
        self.slots.get_mut(&slot).is_none_or(|state| state.journal.cancel(key))
    }

    /// Handles another executor's request to witness a gap in the epochs from `epoch` to `through`;
    /// those after `epoch + 1` are ignored. Returns true if this daemon consents.
    pub fn record_gap(&mut self, slot: SlotId, epoch: u64, through: u64, owner: Incarnation) -> bool {
        self.witness.forget_before(slot, epoch);
        self.witness.try_consent(slot, epoch..=through.min(epoch + 1), owner)
    }

    /// Answers a successor: whether `owner` had a gap that this daemon witnessed. `owner` gets no
    /// consent from now on.
    pub fn ask_gap(&mut self, slot: SlotId, epoch: u64, owner: Incarnation) -> bool {
        self.witness.answer_successor(slot, epoch, owner) == WitnessAnswer::Gap
    }

    /// Does the periodic work of every slot: commits, consent requests, releases and takeovers.
    pub fn tick(&mut self, now: Millis, members: &Membership) -> Vec<ExecutorAction> {
        if !members.live_peers(now).is_empty() {
            self.peer_seen_at = now;
            self.seen_peer = true;
        }
        let slots: Vec<SlotId> = self.slots.keys().copied().collect();
        let mut actions = Vec::new();
        for slot in slots {
            actions.extend(self.tick_slot(now, slot, members));
        }
        actions
    }

    fn tick_slot(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let owns = self.slots.get(&slot).is_some_and(|state| state.journal.epoch().is_some());
        if owns {
            return self.tick_owned(now, slot, members);
        }
        self.tick_unowned(now, slot, members).into_iter().collect()
    }

    fn tick_owned(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let candidates = self.candidates(now, slot, members);
        if let Some(state) = self.slots.get_mut(&slot) {
            state.journal.set_candidates(candidates);
        }
        let write = if self.stopping { self.release(now, slot) } else { self.commit(now, slot) };
        let record = self.request_consent(now, slot, members);
        write.into_iter().chain(record).collect()
    }

    /// The live peers to name as witnesses of `slot`: those that rank highest to take it over.
    fn candidates(&self, now: Millis, slot: SlotId, members: &Membership) -> Vec<Member> {
        let subject = format!("slot/{slot}");
        let mut peers = members.live_peers(now);
        peers.sort_by_key(|peer| std::cmp::Reverse(rank(&subject, peer.name.as_str())));
        peers.truncate(self.settings.witness_max);
        peers.sort();
        peers
    }

    /// The next commit to send, or the last one again if it got no reply.
    fn commit(&mut self, now: Millis, slot: SlotId) -> Option<ExecutorAction> {
        let every = self.settings.commit_every;
        let state = self.slots.get_mut(&slot)?;
        if state.in_flight || now < state.retry_at {
            return None;
        }
        let repeated = state.journal.repeat_commit();
        let early = now < state.commit_sent + every;
        let write = match repeated {
            Some(write) => write,
            None if early => return None,
            None => state.journal.next_commit(now)?,
        };
        state.commit_sent = now;
        state.in_flight = true;
        Some(ExecutorAction::Write { slot, write })
    }

    /// The write that releases the slot or, until all its claims are in the record, the next
    /// commit.
    fn release(&mut self, now: Millis, slot: SlotId) -> Option<ExecutorAction> {
        let state = self.slots.get_mut(&slot)?;
        let idle = !state.in_flight && now >= state.retry_at;
        if idle && let Some(write) = state.journal.release(now) {
            state.releasing = true;
            state.in_flight = true;
            return Some(ExecutorAction::Write { slot, write });
        }
        self.commit(now, slot)
    }

    /// Asks the witnesses for consent to run calls outside the record during a store outage.
    fn request_consent(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Vec<ExecutorAction> {
        let settings = &self.settings;
        let Some(state) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        let overdue = state.journal.in_flight_since().is_some_and(|sent| now.since(sent) >= settings.outage_after);
        let Some(epochs) = state.journal.gap_epochs().filter(|_| overdue && !state.releasing) else {
            return Vec::new();
        };
        let witnesses = state.journal.witnesses();
        let due = witnesses.into_iter().filter(|witness| {
            let last = state.consent_requests.get(witness);
            let wait =
                if last.is_some_and(|last| last.outstanding) { settings.retry_after } else { settings.renew_every };
            members.is_alive(now, witness) && last.is_none_or(|last| now.since(last.sent) >= wait)
        });
        let due: Vec<Member> = due.collect();
        for to in &due {
            state.consent_requests.insert(to.clone(), ConsentRequest { sent: now, outstanding: true });
        }
        let (epoch, through) = (*epochs.start(), *epochs.end());
        due.into_iter().map(|to| ExecutorAction::RecordGap { slot, epoch, through, to, asked: now }).collect()
    }

    /// Handles a witness's answer to `RecordGap`; returns the calls that may run by its consent.
    pub fn record_gap_done(&mut self, now: Millis, answer: &RecordGapAnswer) -> Vec<ExecutorAction> {
        let Some(state) = self.slots.get_mut(&answer.slot) else {
            return Vec::new();
        };
        match answer.agreed {
            Some(true) => state.close_request(&answer.from, answer.asked),
            Some(false) => {
                state.journal.record_denial();
                return Vec::new();
            }
            None => return Vec::new(),
        }
        let granted = state.journal.record_consent(now, &answer.from, answer.asked, answer.through);
        run_actions(answer.slot, granted)
    }

    /// Handles the store's answer to `Write`.
    pub fn write_done(&mut self, now: Millis, slot: SlotId, result: WriteResult) -> Vec<ExecutorAction> {
        let retry_after = self.settings.retry_after;
        let Some(state) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        state.in_flight = false;
        if result == WriteResult::Unknown {
            state.retry_at = now + retry_after;
        }
        if matches!(state.phase, Phase::Acquiring) {
            return state.acquire_done(now, slot, result, &self.me);
        }
        if state.releasing {
            return state.release_done(slot, result);
        }
        state.commit_done(now, slot, result)
    }
}

fn run_actions(slot: SlotId, keys: Vec<KeyDigest>) -> Vec<ExecutorAction> {
    keys.into_iter().map(|key| ExecutorAction::Run { slot, key }).collect()
}
