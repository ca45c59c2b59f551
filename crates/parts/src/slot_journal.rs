//! The journal through which one executor claims the keys of one slot.
//!
//! Every claim is a compare-and-swap on the slot's record, which also names the executor. A
//! successor swaps the same record, so an executor that was replaced cannot commit another claim,
//! however long it was paused. While the service does not answer, claims continue for as long as
//! every witness named in the record consents, and are written when it returns.

mod owned;

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use self::owned::{Claim, Origin, Owned};
use crate::{Gap, KeyDigest, Member, Millis, OutageConsent, SlotRecord};

/// Bounds of a slot's journal.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// How long a claimed key is remembered; at least the longest patience of a caller.
    pub retention: Millis,
    /// The longest time for which a caller sends the same request again.
    pub patience: Millis,
    /// How long after its last commit an executor may run calls outside its journal.
    pub outage_max: Millis,
    /// How often an idle slot's record is written, to begin that time anew.
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

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This daemon does not execute the slot.
    NotOwner,
    /// The claim waits for a commit; [`SlotJournal::commit_done`] returns it.
    Pending,
    /// The caller may run the call now, once.
    Granted,
    /// This executor was granted the key before.
    Repeated,
    /// An earlier executor claimed the key; the call may have run.
    Inherited,
    /// An earlier executor may have claimed the key without a trace; the call may have run.
    Uncertain,
}

/// A compare-and-swap to send to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitWrite {
    /// The value to write.
    pub record: SlotRecord,
    /// The version that the service must still hold; zero for a key that does not exist.
    pub expected: u64,
}

/// What a conflict meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConflictAnswer {
    /// The write had taken effect and its reply was lost; these keys are granted.
    Committed(Vec<KeyDigest>),
    /// Another daemon owns the slot now; these keys were not run here.
    Moved(Vec<KeyDigest>),
}

#[derive(Debug, Clone)]
enum Role {
    Idle,
    Acquiring(CommitWrite),
    Owner(Box<Owned>),
}

/// One daemon's side of one slot.
///
/// ```
/// use teaselcroft_parts::{ClaimAnswer, Gap, Incarnation, JournalSettings, KeyDigest, Member, Millis, SlotJournal};
///
/// let me = Member { name: "entry-1".parse()?, incarnation: Incarnation(1) };
/// let mut journal = SlotJournal::new(JournalSettings::default(), me);
/// let write = journal.take_over(None, Gap::None, Vec::new());
/// // The driver swaps `write.record` in; the service answers with version 1.
/// assert_eq!(write.expected, 0);
/// journal.acquired(Millis(0), 1);
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
    /// A journal of a slot that `me` does not own.
    pub const fn new(settings: JournalSettings, me: Member) -> SlotJournal {
        SlotJournal { settings, me, role: Role::Idle, writes: 0 }
    }

    /// The epoch under which this daemon owns the slot.
    pub fn epoch(&self) -> Option<u64> {
        self.owned().map(|owned| owned.epoch)
    }

    /// The peers whose consent is needed: those in any record that the service may hold now.
    pub fn witnesses(&self) -> BTreeSet<Member> {
        self.owned().map(Owned::all_witnesses).unwrap_or_default()
    }

    /// The epochs of every record that the service may hold now.
    pub fn gap_epochs(&self) -> Option<RangeInclusive<u64>> {
        let owned = self.owned()?;
        let flight = owned.flight.as_ref().map(|flight| flight.write.record.epoch);
        Some(owned.epoch..=flight.unwrap_or(owned.epoch))
    }

    /// Records that a witness refused consent, so that the next commit begins a new epoch.
    pub fn consent_denied(&mut self) {
        if let Some(owned) = self.owned_mut() {
            owned.consent_denied = true;
        }
    }

    /// When the commit in flight was first sent.
    pub fn flight_sent(&self) -> Option<Millis> {
        self.owned()?.flight.as_ref().map(|flight| flight.sent)
    }

    /// Whether unknown keys of this slot may have run before.
    pub fn has_gap(&self, now: Millis) -> bool {
        self.owned().is_some_and(|owned| owned.gap_until.is_some_and(|until| now < until))
    }

    /// Whether this daemon is acquiring the slot.
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

    fn next_write(&mut self) -> u64 {
        self.writes += 1;
        self.me.incarnation.0.wrapping_add(self.writes)
    }

    /// Prepares the write by which this daemon takes over the slot.
    ///
    /// `current` is the record and version last read; `gap` states what is known of calls that ran
    /// outside it.
    pub fn take_over(&mut self, current: Option<(SlotRecord, u64)>, gap: Gap, witnesses: Vec<Member>) -> CommitWrite {
        let (base, expected) = current.unwrap_or_default();
        let record = SlotRecord {
            owner: Some(self.me.clone()),
            epoch: base.epoch + 1,
            write: self.next_write(),
            gap: base.gap.max(gap),
            witnesses,
            claims: base.claims,
        };
        let write = CommitWrite { record, expected };
        self.role = Role::Acquiring(write.clone());
        write
    }

    /// Records that the takeover was written at `version`.
    pub fn acquired(&mut self, now: Millis, version: u64) {
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

    /// Records that the takeover did not succeed; true if `actual` shows that it had after all.
    pub fn acquire_conflict(&mut self, now: Millis, actual: Option<&(SlotRecord, u64)>) -> bool {
        let Role::Acquiring(write) = &self.role else {
            return false;
        };
        if let Some((record, version)) = actual
            && record.write == write.record.write
            && record.owner == write.record.owner
        {
            self.acquired(now, *version);
            return true;
        }
        self.role = Role::Idle;
        false
    }

    /// Gives up an acquisition whose write was not answered, so that the slot is read again.
    pub fn acquire_unknown(&mut self) {
        if self.is_acquiring() {
            self.role = Role::Idle;
        }
    }

    /// Asks to run the call with `key`.
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

    /// Drops a claim that still waits, because its caller no longer wants it run.
    ///
    /// A claim whose commit was sent cannot be dropped; false then.
    pub fn cancel(&mut self, key: KeyDigest) -> bool {
        let Some(owned) = self.owned_mut() else {
            return true;
        };
        let waiting = owned.pending.len();
        owned.pending.retain(|pending| *pending != key);
        owned.pending.len() < waiting
    }

    /// Names the peers to use as witnesses from the next commit on.
    pub fn set_candidates(&mut self, candidates: Vec<Member>) {
        if let Some(owned) = self.owned_mut() {
            owned.candidates = candidates;
        }
    }

    /// The next write to send, if one is due and none is in flight.
    pub fn next_commit(&mut self, now: Millis) -> Option<CommitWrite> {
        let retention = self.settings.retention;
        let refresh_every = self.settings.refresh_every;
        let owned = self.owned_mut()?;
        if owned.flight.is_some() || !owned.is_due(now, refresh_every) {
            return None;
        }
        owned.purge(now, retention);
        let write_id = self.next_write();
        let owner = Some(self.me.clone());
        let owned = self.owned_mut()?;
        Some(owned.begin_commit(now, owner, write_id))
    }

    /// The write in flight, to send again after no reply.
    pub fn repeat_commit(&self) -> Option<CommitWrite> {
        self.owned()?.flight.as_ref().map(|flight| flight.write.clone())
    }

    /// Records that the write in flight took effect as `version`; returns the keys granted by it.
    pub fn commit_done(&mut self, now: Millis, version: u64) -> Vec<KeyDigest> {
        let Some(owned) = self.owned_mut() else {
            return Vec::new();
        };
        owned.finish_commit(now, version)
    }

    /// Resolves the write in flight after a conflict with `actual`.
    pub fn commit_conflict(&mut self, now: Millis, actual: Option<(SlotRecord, u64)>) -> ConflictAnswer {
        let Some(owned) = self.owned_mut() else {
            return ConflictAnswer::Moved(Vec::new());
        };
        let sent = owned.flight.as_ref().map(|flight| flight.write.record.write);
        if let Some((record, version)) = actual
            && Some(record.write) == sent
        {
            return ConflictAnswer::Committed(owned.finish_commit(now, version));
        }
        let mut keys = std::mem::take(&mut owned.pending);
        keys.extend(owned.flight.take().map(|flight| flight.keys).unwrap_or_default());
        self.role = Role::Idle;
        ConflictAnswer::Moved(keys)
    }

    /// Records the consent of `witness` that was asked for at `sent` up to epoch `through`; returns
    /// the keys granted by it.
    pub fn consented(&mut self, now: Millis, witness: &Member, sent: Millis, through: u64) -> Vec<KeyDigest> {
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

    /// Prepares the write that releases the slot, if every claim is in the record.
    pub fn release(&mut self, now: Millis) -> Option<CommitWrite> {
        let write_id = self.next_write();
        let owned = self.owned_mut()?;
        let busy = owned.flight.is_some() || owned.has_pending() || !owned.unjournaled.is_empty();
        if busy {
            return None;
        }
        Some(owned.begin_commit(now, None, write_id))
    }

    /// Records that the release was written.
    pub fn released(&mut self) {
        self.role = Role::Idle;
    }
}
