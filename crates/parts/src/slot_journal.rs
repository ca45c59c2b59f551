//! The journal in which one executor claims the keys of one slot, so that each call runs at most once.
//!
//! Claims are committed by a compare-and-swap of the slot's record, which also names the executor. A successor swaps
//! the same record, so an executor that was replaced cannot commit another claim, however long it was paused. While
//! the store does not answer, claims continue as long as every witness named in the record consents, and are
//! committed when the store answers again.

mod owned;

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use self::owned::{Claim, Origin, Owned};
use crate::{Gap, KeyDigest, Member, Millis, OutageConsent, SlotRecord};

/// The time limits of a slot's journal.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// How long a claimed key stays in the record; at least as long as callers retry a request.
    pub retention: Millis,
    /// The longest time for which a caller retries the same request.
    pub patience: Millis,
    /// How long after its last commit an executor may run calls outside its journal.
    pub outage_max: Millis,
    /// How often the record of an idle slot is written, which restarts the period of `outage_max`.
    pub refresh_every: Millis,
}

impl Default for JournalSettings {
    fn default() -> JournalSettings {
        JournalSettings {
            retention: Millis(300_000),
            patience: Millis(60_000),
            outage_max: Millis(1_200_000),
            refresh_every: Millis(300_000),
        }
    }
}

/// The answer to a claim: whether the call may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This daemon does not execute the slot.
    NotOwner,
    /// The claim waits for a commit; [`SlotJournal::commit_done`] or [`SlotJournal::record_consent`] returns its key.
    Pending,
    /// The call may run now, once.
    Granted,
    /// This executor was granted the key before, so the call is running or has run.
    Repeated,
    /// An earlier executor claimed the key; the call may have run.
    Inherited,
    /// An earlier executor may have run the call without recording its key.
    Uncertain,
}

/// A compare-and-swap to send to the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitWrite {
    /// The value to write.
    pub record: SlotRecord,
    /// The version that the store must still hold; zero for a key that does not exist.
    pub expected: u64,
}

/// The outcome of a write in flight after the store reported a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConflictAnswer {
    /// The write had succeeded and its reply was lost; these keys are granted.
    Committed(Vec<KeyDigest>),
    /// Another daemon owns the slot now; the calls of these keys were not run here.
    Moved(Vec<KeyDigest>),
}

/// This daemon's relation to the slot.
#[derive(Debug, Clone)]
enum Role {
    Idle,
    Acquiring(CommitWrite),
    Owner(Box<Owned>),
}

/// One daemon's view of one slot, whether it owns the slot or not.
///
/// ```
/// use teaselcroft_parts::{ClaimAnswer, Gap, Incarnation, JournalSettings, KeyDigest, Member, Millis, SlotJournal};
///
/// let me = Member { name: "entry-1".parse()?, incarnation: Incarnation(1) };
/// let mut journal = SlotJournal::new(JournalSettings::default(), me);
/// let write = journal.take_over(None, Gap::None, Vec::new());
/// // The caller sends the compare-and-swap; the store answers with version 1.
/// assert_eq!(write.expected, 0);
/// journal.acquire_done(Millis(0), 1);
///
/// let key = KeyDigest::of("dock-crews", "booking", "barge-7");
/// assert_eq!(journal.claim(Millis(10), key), ClaimAnswer::Pending);
/// assert!(journal.next_commit(Millis(10)).is_some());
/// assert_eq!(journal.commit_done(Millis(15), 2), [key]);
/// assert_eq!(journal.claim(Millis(20), key), ClaimAnswer::Repeated);
/// # Ok::<(), teaselcroft_parts::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct SlotJournal {
    settings: JournalSettings,
    me: Member,
    role: Role,
    writes: u64,
}

impl SlotJournal {
    /// A journal for daemon `me` of a slot that it does not own yet.
    pub const fn new(settings: JournalSettings, me: Member) -> SlotJournal {
        SlotJournal { settings, me, role: Role::Idle, writes: 0 }
    }

    /// The epoch under which this daemon owns the slot, or `None` if it does not own it.
    pub fn epoch(&self) -> Option<u64> {
        self.owned().map(|owned| owned.epoch)
    }

    /// The peers whose consent is needed to run calls outside the journal: the witnesses in every record that the store
    /// may hold now.
    pub fn witnesses(&self) -> BTreeSet<Member> {
        self.owned().map(Owned::all_witnesses).unwrap_or_default()
    }

    /// The range of epochs of the records that the store may hold now: the committed one and the one in flight.
    pub fn gap_epochs(&self) -> Option<RangeInclusive<u64>> {
        let owned = self.owned()?;
        let in_flight = owned.in_flight.as_ref().map(|in_flight| in_flight.write.record.epoch);
        Some(owned.epoch..=in_flight.unwrap_or(owned.epoch))
    }

    /// Records that a witness refused consent. A commit that begins a new epoch becomes due.
    pub fn record_denial(&mut self) {
        if let Some(owned) = self.owned_mut() {
            owned.consent_denied = true;
        }
    }

    /// When the commit in flight was first sent, or `None` without one.
    pub fn in_flight_since(&self) -> Option<Millis> {
        self.owned()?.in_flight.as_ref().map(|in_flight| in_flight.sent)
    }

    /// Whether calls whose keys are not in the record may have run under an earlier executor.
    pub fn has_gap(&self, now: Millis) -> bool {
        self.owned().is_some_and(|owned| owned.gap_until.is_some_and(|until| now < until))
    }

    /// Whether this daemon has prepared a takeover whose result is not known yet.
    pub const fn is_acquiring(&self) -> bool {
        matches!(self.role, Role::Acquiring(_))
    }

    fn owned(&self) -> Option<&Owned> {
        match &self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }

    fn owned_mut(&mut self) -> Option<&mut Owned> {
        match &mut self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }

    /// An id for the next write, counted from the incarnation of this daemon.
    fn next_write_id(&mut self) -> u64 {
        self.writes += 1;
        self.me.incarnation.0.wrapping_add(self.writes)
    }

    /// Prepares the write by which this daemon takes over the slot.
    ///
    /// `current` is the record and version that were last read; `gap` states what is known about calls that ran
    /// without being in that record.
    pub fn take_over(&mut self, current: Option<(SlotRecord, u64)>, gap: Gap, witnesses: Vec<Member>) -> CommitWrite {
        let (base, expected) = current.unwrap_or_default();
        let record = SlotRecord {
            owner: Some(self.me.clone()),
            epoch: base.epoch + 1,
            write: self.next_write_id(),
            gap: base.gap.max(gap),
            witnesses,
            claims: base.claims,
        };
        let write = CommitWrite { record, expected };
        self.role = Role::Acquiring(write.clone());
        write
    }

    /// Records that the takeover succeeded with `version`. After a gap, unknown keys are answered as uncertain until
    /// the old executor can run no more calls and no caller can still retry one that it ran.
    pub fn acquire_done(&mut self, now: Millis, version: u64) {
        let Role::Acquiring(write) = &self.role else {
            return;
        };
        let record = &write.record;
        let window = match record.gap {
            Gap::None => None,
            Gap::Witnessed => Some(self.settings.patience + OutageConsent::TTL),
            Gap::Unwitnessed => Some(self.settings.patience + self.settings.outage_max),
        };
        let claims = record.claims.iter().map(|key| (*key, Claim { origin: Origin::Inherited, at: now }));
        let owned = Owned {
            epoch: record.epoch,
            version,
            claims: claims.collect(),
            gap: record.gap,
            gap_until: window.map(|window| now + window),
            committed: now,
            witnesses: record.witnesses.clone(),
            candidates: record.witnesses.clone(),
            ..Owned::default()
        };
        self.role = Role::Owner(Box::new(owned));
    }

    /// Handles a conflict of the takeover. Returns true if `actual` is the written record, so that it had succeeded
    /// and only its reply was lost.
    pub fn acquire_conflict(&mut self, now: Millis, actual: Option<&(SlotRecord, u64)>) -> bool {
        let Role::Acquiring(write) = &self.role else {
            return false;
        };
        if let Some((record, version)) = actual
            && record.write == write.record.write
            && record.owner == write.record.owner
        {
            self.acquire_done(now, *version);
            return true;
        }
        self.role = Role::Idle;
        false
    }

    /// Gives up a takeover whose write got no reply, so that the record is read again.
    pub fn acquire_unknown(&mut self) {
        if self.is_acquiring() {
            self.role = Role::Idle;
        }
    }

    /// Claims `key` to run its call; the answer tells whether the call may run now.
    pub fn claim(&mut self, now: Millis, key: KeyDigest) -> ClaimAnswer {
        let outage_max = self.settings.outage_max;
        let Some(owned) = self.owned_mut() else {
            return ClaimAnswer::NotOwner;
        };
        if let Some(claim) = owned.claims.get(&key) {
            return match claim.origin {
                Origin::Own => ClaimAnswer::Repeated,
                Origin::Inherited => ClaimAnswer::Inherited,
            };
        }
        if owned.is_waiting(key) {
            return ClaimAnswer::Pending;
        }
        if owned.gap_until.is_some_and(|until| now < until) {
            return ClaimAnswer::Uncertain;
        }
        if owned.may_run_unjournaled(now, outage_max) {
            owned.grant_unjournaled(now, key);
            return ClaimAnswer::Granted;
        }
        owned.pending.push(key);
        ClaimAnswer::Pending
    }

    /// Drops a pending claim whose caller no longer wants the call to run.
    ///
    /// Returns false if the claim no longer waits for its commit to be sent, so that the call may run.
    pub fn cancel(&mut self, key: KeyDigest) -> bool {
        let Some(owned) = self.owned_mut() else {
            return true;
        };
        let waiting = owned.pending.len();
        owned.pending.retain(|pending| *pending != key);
        owned.pending.len() < waiting
    }

    /// Sets the peers that the next commit names as witnesses.
    pub fn set_candidates(&mut self, candidates: Vec<Member>) {
        if let Some(owned) = self.owned_mut() {
            owned.candidates = candidates;
        }
    }

    /// Prepares the next commit, if one is due and none is in flight.
    pub fn next_commit(&mut self, now: Millis) -> Option<CommitWrite> {
        let retention = self.settings.retention;
        let refresh_every = self.settings.refresh_every;
        let owned = self.owned_mut()?;
        if owned.in_flight.is_some() || !owned.is_due(now, refresh_every) {
            return None;
        }
        owned.purge(now, retention);
        let write_id = self.next_write_id();
        let owner = Some(self.me.clone());
        let owned = self.owned_mut()?;
        Some(owned.begin_commit(now, owner, write_id))
    }

    /// The commit in flight, to be sent again if it got no reply.
    pub fn repeat_commit(&self) -> Option<CommitWrite> {
        self.owned()?.in_flight.as_ref().map(|in_flight| in_flight.write.clone())
    }

    /// Records that the commit in flight succeeded with `version`; returns the keys that it grants.
    pub fn commit_done(&mut self, now: Millis, version: u64) -> Vec<KeyDigest> {
        let Some(owned) = self.owned_mut() else {
            return Vec::new();
        };
        owned.finish_commit(now, version)
    }

    /// Handles a conflict of the commit in flight, given the `actual` record and version in the store.
    pub fn commit_conflict(&mut self, now: Millis, actual: Option<(SlotRecord, u64)>) -> ConflictAnswer {
        let Some(owned) = self.owned_mut() else {
            return ConflictAnswer::Moved(Vec::new());
        };
        let sent = owned.in_flight.as_ref().map(|in_flight| in_flight.write.record.write);
        if let Some((record, version)) = actual
            && Some(record.write) == sent
        {
            return ConflictAnswer::Committed(owned.finish_commit(now, version));
        }
        let mut keys = std::mem::take(&mut owned.pending);
        keys.extend(owned.in_flight.take().map(|in_flight| in_flight.keys).unwrap_or_default());
        self.role = Role::Idle;
        ConflictAnswer::Moved(keys)
    }

    /// Records the consent of `witness` that was requested at `sent` for epochs up to `through`; returns the keys that
    /// it grants. A consent that does not cover the epoch of the commit in flight is ignored.
    pub fn record_consent(&mut self, now: Millis, witness: &Member, sent: Millis, through: u64) -> Vec<KeyDigest> {
        let outage_max = self.settings.outage_max;
        let covered = self.gap_epochs().is_some_and(|epochs| through >= *epochs.end());
        let Some(owned) = self.owned_mut().filter(|_| covered) else {
            return Vec::new();
        };
        owned.consents.entry(witness.clone()).or_default().granted(sent);
        if !owned.may_run_unjournaled(now, outage_max) {
            return Vec::new();
        }
        owned.grant_waiting(now)
    }

    /// Prepares the write that releases the slot, or returns `None` while a claim is not committed.
    pub fn release(&mut self, now: Millis) -> Option<CommitWrite> {
        let write_id = self.next_write_id();
        let owned = self.owned_mut()?;
        let is_busy = owned.in_flight.is_some() || owned.has_pending() || !owned.unjournaled.is_empty();
        if is_busy {
            return None;
        }
        Some(owned.begin_commit(now, None, write_id))
    }

    /// Records that the release succeeded.
    pub fn release_done(&mut self) {
        self.role = Role::Idle;
    }
}
