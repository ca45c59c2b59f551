//! One daemon of the cell, from one start to its kill.

use std::collections::BTreeSet;

use teaselcroft_parts::{
    ClaimAnswer, Incarnation, JournalSettings, KeyDigest, Member, Membership, MembershipSettings, Millis, SlotId,
    slot_of,
};
use teaselcroft_policy::{Executor, ExecutorAction, ExecutorSettings};

use super::Guards;

/// The number of slots in the cell.
pub const SLOTS: u32 = 2;
const PAUSE_THRESHOLD: Millis = Millis(500);

/// One daemon of the cell; a restart replaces it by the next generation.
pub struct Node {
    pub me: Member,
    pub generation: u64,
    pub executor: Executor,
    pub members: Membership,
    pub paused_until: Millis,
    pub down_until: Millis,
    /// Keys claimed since the start, as the daemon's call table remembers them.
    pub known: BTreeSet<KeyDigest>,
    /// Calls granted, with the time at which they run.
    pub granted: Vec<(Millis, KeyDigest)>,
    last_tick: Millis,
}

impl Node {
    /// Starts daemon `index`; `generation` counts its starts.
    pub fn start(index: usize, generation: u64, now: Millis, guards: &Guards, patience: Millis) -> Node {
        let name = format!("entry-{index}").parse().expect("a valid name");
        let me = Member { name, incarnation: Incarnation((generation << 32) + ((index as u64) << 24)) };
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
            generation,
            paused_until: Millis(0),
            down_until: Millis(0),
            known: BTreeSet::new(),
            granted: Vec::new(),
            last_tick: now,
        }
    }

    /// Whether the daemon is neither paused nor down.
    pub fn runs(&self, now: Millis) -> bool {
        now >= self.paused_until && now >= self.down_until
    }

    /// Handles a heartbeat of `peer` with the slots that it owns.
    pub fn hear(&mut self, now: Millis, peer: &Member, owned: &[(SlotId, u64)]) {
        self.members.record_heartbeat(now, peer, false);
        self.executor.update_peer_slots(peer, owned);
    }

    /// Runs the periodic work; a long time since the last tick counts as a pause, as in the daemon.
    pub fn tick(&mut self, now: Millis) -> Vec<ExecutorAction> {
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause >= PAUSE_THRESHOLD {
            self.members.record_suspension(pause);
            self.executor.restart_listening(now);
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

    /// Cancels a pending claim; false if it may have been committed.
    pub fn cancel(&mut self, key: KeyDigest) -> bool {
        self.executor.cancel(slot_of(key, SLOTS), key)
    }

    /// Removes and returns the granted calls that are due to run.
    pub fn take_due_runs(&mut self, now: Millis) -> Vec<KeyDigest> {
        let (due, later): (Vec<_>, Vec<_>) = self.granted.drain(..).partition(|(at, _)| *at <= now);
        self.granted = later;
        due.into_iter().map(|(_, key)| key).collect()
    }
}
