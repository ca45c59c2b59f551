//! Takes over slots whose executor is gone.

use std::collections::BTreeSet;

use teaselcroft_parts::{Gap, Member, Membership, Millis, PeerHealth, SlotId, SlotRecord, winner};

use super::Executor;
use super::control::{Control, Phase};
use crate::executor_messages::{ExecutorAction, ReadResult};

impl Executor {
    /// Begins to take over a slot whose executor is gone, if this daemon ranks first for it.
    pub(super) fn tick_foreign(&mut self, now: Millis, slot: SlotId, members: &Membership) -> Option<ExecutorAction> {
        let isolated = self.heard_any && self.heard_at != now && now.since(self.heard_at) < self.settings.isolated_for;
        let preferred = !isolated && self.is_preferred(now, slot, members);
        let control = self.slots.get_mut(&slot)?;
        if let Phase::Asking { until, gap, .. } = &control.phase
            && now >= *until
        {
            let gap = *gap;
            return self.take_over(now, slot, gap, members);
        }
        let resting = matches!(control.phase, Phase::Rest);
        let alive = control.owner.as_ref().is_some_and(|owner| members.is_alive(now, owner));
        if self.stopping || !resting || alive || !preferred || now < control.retry_at {
            return None;
        }
        control.phase = Phase::Reading;
        Some(ExecutorAction::Read { slot })
    }

    pub(super) fn is_preferred(&self, now: Millis, slot: SlotId, members: &Membership) -> bool {
        let live = members.live(now);
        let names = live.iter().map(|member| member.name.as_str());
        winner(&format!("slot/{slot}"), names) == Some(self.me.name.as_str())
    }

    /// Asks the witnesses in the record; the first that knows of no gap settles it.
    pub(super) fn ask_witnesses(
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
        if let Some(Control { phase: Phase::Asking { waiting, gap, .. }, .. }) = self.slots.get_mut(&slot) {
            waiting.clone_from(&alive);
            *gap = known;
        }
        let (epoch, owner) = (record.epoch, owner.incarnation);
        alive.into_iter().map(|to| ExecutorAction::AskGap { slot, epoch, owner, to }).collect()
    }

    pub(super) fn take_over(
        &mut self,
        now: Millis,
        slot: SlotId,
        gap: Gap,
        members: &Membership,
    ) -> Option<ExecutorAction> {
        let candidates = self.candidates(now, slot, members);
        let settings = &self.settings;
        let control = self.slots.get_mut(&slot)?;
        if gap == Gap::Unwitnessed && control.in_doubt(now, settings.doubt_for) {
            control.rest(now + settings.retry_after);
            return None;
        }
        control.doubted_at = None;
        let Phase::Asking { current, .. } = std::mem::replace(&mut control.phase, Phase::Acquiring) else {
            return None;
        };
        let current = (current.1 > 0).then_some(current);
        let write = control.journal.take_over(current, gap, candidates);
        control.write_out = true;
        Some(ExecutorAction::Write { slot, write })
    }

    /// Takes in the answer to `Read`.
    pub fn read_done(
        &mut self,
        now: Millis,
        slot: SlotId,
        result: ReadResult,
        members: &Membership,
    ) -> Vec<ExecutorAction> {
        let retry_after = self.settings.retry_after;
        let me = self.me.clone();
        let Some(control) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        if !matches!(control.phase, Phase::Reading) {
            return Vec::new();
        }
        let ReadResult::Found(found) = result else {
            control.rest(now + retry_after);
            return Vec::new();
        };
        let current = found.unwrap_or_default();
        let owner = current.0.owner.clone();
        control.epoch = control.epoch.max(current.0.epoch);
        let others = owner.as_ref().filter(|owner| **owner != me);
        if let Some(owner) = others.filter(|owner| members.is_alive(now, owner)) {
            control.owner = Some(owner.clone());
            control.rest(now + retry_after);
            control.doubted_at = None;
            return Vec::new();
        }
        let unheard = others.is_some_and(|owner| members.health(now, &owner.name) == PeerHealth::Unknown);
        if unheard && control.in_doubt(now, self.settings.doubt_for) {
            control.rest(now + retry_after);
            return Vec::new();
        }
        let until = now + self.settings.ask_for;
        let foreign = owner.filter(|owner| *owner != me);
        let record = current.0.clone();
        control.phase = Phase::Asking { current, waiting: BTreeSet::new(), until, gap: Gap::Unwitnessed };
        match foreign {
            Some(owner) => self.ask_witnesses(now, slot, &record, &owner, members),
            None => self.take_over(now, slot, Gap::None, members).into_iter().collect(),
        }
    }

    /// Takes in a witness's answer to `Ask`; `None` if it could not be reached.
    pub fn answered(
        &mut self,
        now: Millis,
        slot: SlotId,
        from: &Member,
        had_gap: Option<bool>,
        members: &Membership,
    ) -> Vec<ExecutorAction> {
        let Some(Control { phase: Phase::Asking { waiting, gap, .. }, .. }) = self.slots.get_mut(&slot) else {
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
        let settled = *gap;
        if settled != Gap::None && !waiting.is_empty() {
            return Vec::new();
        }
        self.take_over(now, slot, settled, members).into_iter().collect()
    }
}
