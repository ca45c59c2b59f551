//! One daemon of the cell, in one of its lives.

use std::collections::BTreeSet;

use teaselcroft_parts::{
    ClaimAnswer, Incarnation, JournalSettings, KeyDigest, Member, Membership, MembershipSettings, Millis, SlotId,
    slot_of,
};
use teaselcroft_policy::{Executor, ExecutorAction, ExecutorSettings};

use super::Guards;

/// The number of slots in the cell.
pub const SLOTS: u32 = 2;
const PAUSE: Millis = Millis(500);

/// One daemon of the cell.
pub struct Node {
    pub me: Member,
    pub life: u64,
    pub executor: Executor,
    pub members: Membership,
    pub paused_until: Millis,
    pub down_until: Millis,
    /// Keys that this life remembers, as the daemon's call table does.
    pub known: BTreeSet<KeyDigest>,
    /// Calls granted, with the time at which they run.
    pub granted: Vec<(Millis, KeyDigest)>,
    ticked: Millis,
}

impl Node {
    /// Starts the life numbered `life` of daemon `index`.
    pub fn start(index: usize, life: u64, now: Millis, guards: &Guards, patience: Millis) -> Node {
        let name = format!("entry-{index}").parse().expect("a valid name");
        let me = Member { name, incarnation: Incarnation((life << 32) + ((index as u64) << 24)) };
        let patience = if guards.window == Millis(0) { Millis(0) } else { patience };
        let journal = JournalSettings {
            retention: guards.retention,
            patience,
            outage_max: Millis(12_000),
            refresh_every: Millis(3_000),
        };
        let settings = ExecutorSettings { slots: SLOTS, journal, ..ExecutorSettings::default() };
        Node {
            executor: Executor::new(settings, me.clone(), now),
            members: Membership::new(MembershipSettings::default(), me.clone()),
            me,
            life,
            paused_until: Millis(0),
            down_until: Millis(0),
            known: BTreeSet::new(),
            granted: Vec::new(),
            ticked: now,
        }
    }

    /// Whether the daemon is neither paused nor down.
    pub fn runs(&self, now: Millis) -> bool {
        now >= self.paused_until && now >= self.down_until
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: Millis, peer: &Member, owned: &[(SlotId, u64)]) {
        self.members.heard(now, peer, false);
        self.executor.update_peer_slots(peer, owned);
    }

    /// Lets time pass; a pause is noticed as the daemon notices it.
    pub fn tick(&mut self, now: Millis) -> Vec<ExecutorAction> {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap >= PAUSE {
            self.members.resumed(gap);
            self.executor.listen(now);
        }
        self.executor.tick(now, &self.members)
    }

    /// Claims a key as the daemon does for a call that it does not remember.
    pub fn claim(&mut self, now: Millis, key: KeyDigest) -> (ClaimAnswer, Vec<ExecutorAction>) {
        let (answer, actions) = self.executor.claim(now, slot_of(key, SLOTS), key);
        if matches!(answer, ClaimAnswer::Pending | ClaimAnswer::Granted) {
            self.known.insert(key);
        }
        (answer, actions)
    }

    /// Cancels a claim that waits; false if it may have been committed.
    pub fn cancel(&mut self, key: KeyDigest) -> bool {
        self.executor.cancel(slot_of(key, SLOTS), key)
    }

    /// The granted calls that run now.
    pub fn take_due(&mut self, now: Millis) -> Vec<KeyDigest> {
        let (due, later): (Vec<_>, Vec<_>) = self.granted.drain(..).partition(|(at, _)| *at <= now);
        self.granted = later;
        due.into_iter().map(|(_, key)| key).collect()
    }
}
