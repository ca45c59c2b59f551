//! Takes over slots whose executor is dead or unknown.

use std::collections::BTreeSet;

use teaselcroft_parts::{Gap, Member, Membership, Millis, PeerHealth, SlotId, SlotRecord, winner};

use super::Executor;
use super::slot_state::{Phase, SlotState};
use crate::executor_messages::{ExecutorAction, ReadResult};

impl Executor {
    /// Starts or continues the takeover of a slot without a live executor, if this daemon ranks
    /// first for it.
    pub(super) fn tick_unowned(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Option<ExecutorAction> {
        let isolated =
            self.seen_peer && self.peer_seen_at != now && now.since(self.peer_seen_at) < self.settings.isolated_for;
        let preferred = !isolated && self.ranks_first(now, slot, members);
        let state = self.slots.get_mut(&slot)?;
        if let Phase::QueryingWitnesses { until, gap, .. } = &state.phase
            && now >= *until
        {
            let gap = *gap;
            return self.take_over(now, slot, gap, members);
        }
        let idle = matches!(state.phase, Phase::Idle);
        let alive = state.owner.as_ref().is_some_and(|owner| members.is_alive(now, owner));
        if self.stopping || !idle || alive || !preferred || now < state.retry_at {
            return None;
        }
        state.phase = Phase::Reading;
        Some(ExecutorAction::Read { slot })
    }

    /// Whether this daemon has the highest rendezvous rank for `slot` among the live members.
    pub(super) fn ranks_first(&self, now: Millis, slot: SlotId, members: &Membership) -> bool {
        let live = members.live(now);
        let names = live.iter().map(|member| member.name.as_str());
        winner(&format!("slot/{slot}"), names) == Some(self.me.name.as_str())
    }

    /// Asks the live witnesses in the record for a gap, or takes over at once if none need be
    /// asked.
    ///
    /// One witness that knows of no gap is enough: running calls outside the record needs the
    /// consent of all.
    pub(super) fn query_witnesses(
        &mut self,
        now: Millis,
        slot: SlotId,
        record: &SlotRecord,
        owner: &Member,
        members: &Membership,
    ) -> Vec<ExecutorAction> {
        let others: BTreeSet<Member> = record.witnesses.iter().filter(|peer| **peer != self.me).cloned().collect();
        let is_witness = others.len() < record.witnesses.len();
        let own_gap = is_witness && self.ask_gap(slot, record.epoch, owner.incarnation);
        if record.witnesses.is_empty() || (is_witness && !own_gap) {
            return self.take_over(now, slot, Gap::None, members).into_iter().collect();
        }
        let known = if own_gap { Gap::Witnessed } else { Gap::Unwitnessed };
        let alive: BTreeSet<Member> = others.into_iter().filter(|peer| members.is_alive(now, peer)).collect();
        if alive.is_empty() {
            return self.take_over(now, slot, known, members).into_iter().collect();
        }
        if let Some(SlotState { phase: Phase::QueryingWitnesses { waiting, gap, .. }, .. }) = self.slots.get_mut(&slot)
        {
            waiting.clone_from(&alive);
            *gap = known;
        }
        let (epoch, owner) = (record.epoch, owner.incarnation);
        alive.into_iter().map(|to| ExecutorAction::AskGap { slot, epoch, owner, to }).collect()
    }

    /// The write that takes over the slot; put off for a while if no witness answered.
    pub(super) fn take_over(
        &mut self,
        now: Millis,
        slot: SlotId,
        gap: Gap,
        members: &Membership,
    ) -> Option<ExecutorAction> {
        let candidates = self.candidates(now, slot, members);
        let settings = &self.settings;
        let state = self.slots.get_mut(&slot)?;
        if gap == Gap::Unwitnessed && state.is_uncertain(now, settings.uncertain_for) {
            state.set_idle(now + settings.retry_after);
            return None;
        }
        state.uncertain_since = None;
        let Phase::QueryingWitnesses { current, .. } = std::mem::replace(&mut state.phase, Phase::Acquiring) else {
            return None;
        };
        let current = (current.1 > 0).then_some(current);
        let write = state.journal.take_over(current, gap, candidates);
        state.in_flight = true;
        Some(ExecutorAction::Write { slot, write })
    }

    /// Handles the store's answer to `Read`: queries the witnesses of a dead executor, or takes
    /// over a slot without one.
    pub fn read_done(
        &mut self,
        now: Millis,
        slot: SlotId,
        result: ReadResult,
        members: &Membership,
    ) -> Vec<ExecutorAction> {
        let retry_after = self.settings.retry_after;
        let me = self.me.clone();
        let Some(state) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        if !matches!(state.phase, Phase::Reading) {
            return Vec::new();
        }
        let ReadResult::Found(found) = result else {
            state.set_idle(now + retry_after);
            return Vec::new();
        };
        let current = found.unwrap_or_default();
        let owner = current.0.owner.clone();
        state.epoch = state.epoch.max(current.0.epoch);
        let other_owner = owner.as_ref().filter(|owner| **owner != me);
        if let Some(owner) = other_owner.filter(|owner| members.is_alive(now, owner)) {
            state.owner = Some(owner.clone());
            state.set_idle(now + retry_after);
            state.uncertain_since = None;
            return Vec::new();
        }
        let never_heard = other_owner.is_some_and(|owner| members.health(now, &owner.name) == PeerHealth::Unknown);
        if never_heard && state.is_uncertain(now, self.settings.uncertain_for) {
            state.set_idle(now + retry_after);
            return Vec::new();
        }
        let until = now + self.settings.witness_wait;
        let former_owner = owner.filter(|owner| *owner != me);
        let record = current.0.clone();
        state.phase = Phase::QueryingWitnesses { current, waiting: BTreeSet::new(), until, gap: Gap::Unwitnessed };
        match former_owner {
            Some(owner) => self.query_witnesses(now, slot, &record, &owner, members),
            None => self.take_over(now, slot, Gap::None, members).into_iter().collect(),
        }
    }

    /// Handles a witness's answer to `AskGap`; `had_gap` is `None` if it could not be reached.
    pub fn ask_gap_done(
        &mut self,
        now: Millis,
        slot: SlotId,
        from: &Member,
        had_gap: Option<bool>,
        members: &Membership,
    ) -> Vec<ExecutorAction> {
        let Some(SlotState { phase: Phase::QueryingWitnesses { waiting, gap, .. }, .. }) = self.slots.get_mut(&slot)
        else {
            return Vec::new();
        };
        if !waiting.remove(from) {
            return Vec::new();
        }
        match had_gap {
            Some(false) => *gap = Gap::None,
            Some(true) => *gap = Gap::Witnessed.min(*gap),
            None => {}
        }
        let known_gap = *gap;
        if known_gap != Gap::None && !waiting.is_empty() {
            return Vec::new();
        }
        self.take_over(now, slot, known_gap, members).into_iter().collect()
    }
}
