//! The state of a slot that this daemon owns.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::CommitWrite;
use crate::{Gap, KeyDigest, Member, Millis, OutageConsent, SlotRecord};

/// Which executor claimed a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// This one.
    Own,
    /// An earlier one.
    Inherited,
}

/// Which executor claimed a key, and since when this daemon knows that.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub(super) origin: Origin,
    pub(super) at: Millis,
}

/// A commit that was sent and got no reply yet.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) write: CommitWrite,
    /// The pending keys that it claims.
    pub(super) keys: Vec<KeyDigest>,
    /// The unjournaled keys that it records.
    pub(super) backlog: Vec<KeyDigest>,
    /// When it was first sent.
    pub(super) sent: Millis,
}

/// The state of a slot that this daemon owns.
#[derive(Debug, Clone, Default)]
pub(super) struct Owned {
    pub(super) epoch: u64,
    /// The store's version of the committed record.
    pub(super) version: u64,
    /// The keys whose calls were granted, here or by an earlier executor.
    pub(super) claims: BTreeMap<KeyDigest, Claim>,
    /// The keys that wait for the next commit.
    pub(super) pending: Vec<KeyDigest>,
    /// The granted keys that no successful commit contains yet.
    pub(super) unjournaled: Vec<KeyDigest>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) gap: Gap,
    /// Until when calls with unknown keys may have run under an earlier executor.
    pub(super) gap_until: Option<Millis>,
    /// When the last successful commit was sent.
    pub(super) committed: Millis,
    pub(super) consents: BTreeMap<Member, OutageConsent>,
    /// The witnesses in the committed record.
    pub(super) witnesses: Vec<Member>,
    /// The witnesses for the next commit.
    pub(super) candidates: Vec<Member>,
    /// Whether a witness refused consent since the last commit was prepared.
    pub(super) consent_denied: bool,
}

impl Owned {
    /// Whether any key waits for a commit, pending or in flight.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty() || self.in_flight.as_ref().is_some_and(|in_flight| !in_flight.keys.is_empty())
    }

    /// Whether `key` waits for a commit, pending or in flight.
    pub(super) fn is_waiting(&self, key: KeyDigest) -> bool {
        self.pending.contains(&key) || self.in_flight.as_ref().is_some_and(|in_flight| in_flight.keys.contains(&key))
    }

    /// The witnesses of all records that the store may hold. Empty if one of these records names none, because a
    /// successor that reads it has no witness to ask.
    pub(super) fn all_witnesses(&self) -> BTreeSet<Member> {
        let sent = self.in_flight.as_ref().map(|in_flight| &in_flight.write.record.witnesses);
        if self.witnesses.is_empty() || sent.is_some_and(Vec::is_empty) {
            return BTreeSet::new();
        }
        self.witnesses.iter().chain(sent.into_iter().flatten()).cloned().collect()
    }

    /// Whether calls may run outside the journal: every witness consents, and the last commit is less than `outage_max`
    /// ago.
    pub(super) fn may_run_unjournaled(&self, now: Millis, outage_max: Millis) -> bool {
        let witnesses = self.all_witnesses();
        let consents = |witness| self.consents.get(witness).is_some_and(|consent| consent.is_valid(now));
        !witnesses.is_empty() && now < self.committed + outage_max && witnesses.iter().all(consents)
    }

    /// Whether a commit is due: to add keys, to end a gap or an epoch, to change witnesses, or to refresh the record.
    pub(super) fn is_due(&self, now: Millis, refresh_every: Millis) -> bool {
        let gap_over = self.gap_until.is_some_and(|until| now >= until);
        let witnesses_changed = self.candidates != self.witnesses;
        let stale = now >= self.committed + refresh_every;
        gap_over
            || witnesses_changed
            || stale
            || self.consent_denied
            || !self.pending.is_empty()
            || !self.unjournaled.is_empty()
    }

    /// Removes the claims that are older than `retention`, and a gap that is over.
    pub(super) fn purge(&mut self, now: Millis, retention: Millis) {
        self.claims.retain(|_, claim| now.since(claim.at) < retention);
        if self.gap_until.is_some_and(|until| now >= until) {
            self.gap_until = None;
            self.gap = Gap::None;
        }
    }

    /// Prepares a commit of all claimed keys and puts it in flight; `owner` is `None` to release the slot.
    pub(super) fn begin_commit(&mut self, now: Millis, owner: Option<Member>, write: u64) -> CommitWrite {
        let keys = std::mem::take(&mut self.pending);
        let backlog = self.unjournaled.clone();
        let is_new_epoch = self.consent_denied || !backlog.is_empty();
        self.consent_denied = false;
        if is_new_epoch {
            // A successor that reads the new epoch asks the witnesses about that one, so old consents do not count.
            self.consents.clear();
        }
        let mut claims: Vec<KeyDigest> = self.claims.keys().copied().collect();
        claims.extend(&keys);
        let record = SlotRecord {
            owner,
            epoch: self.epoch + u64::from(is_new_epoch),
            write,
            gap: self.gap,
            witnesses: self.candidates.clone(),
            claims,
        };
        let write = CommitWrite { record, expected: self.version };
        self.in_flight = Some(InFlight { write: write.clone(), keys, backlog, sent: now });
        write
    }

    /// Applies the result of the commit in flight; returns the keys that it grants.
    pub(super) fn finish_commit(&mut self, now: Millis, version: u64) -> Vec<KeyDigest> {
        let Some(in_flight) = self.in_flight.take() else {
            return Vec::new();
        };
        self.committed = in_flight.sent;
        self.version = version;
        self.epoch = in_flight.write.record.epoch;
        self.witnesses = in_flight.write.record.witnesses;
        self.unjournaled.retain(|key| !in_flight.backlog.contains(key) && !in_flight.keys.contains(key));
        if self.unjournaled.is_empty() {
            self.consents.clear();
        }
        let granted = in_flight.keys.into_iter().filter(|key| self.grant(now, *key));
        granted.collect()
    }

    /// Grants `key` to this executor; returns false if the key was claimed before.
    pub(super) fn grant(&mut self, now: Millis, key: KeyDigest) -> bool {
        match self.claims.entry(key) {
            Entry::Occupied(_) => false,
            Entry::Vacant(free) => {
                free.insert(Claim { origin: Origin::Own, at: now });
                true
            }
        }
    }

    /// Grants `key` before it is in the record; the next commit adds it.
    pub(super) fn grant_unjournaled(&mut self, now: Millis, key: KeyDigest) {
        if self.grant(now, key) {
            self.unjournaled.push(key);
        }
    }

    /// Grants all keys that wait for a commit, pending or in flight, before they are in the record; returns them.
    pub(super) fn grant_waiting(&mut self, now: Millis) -> Vec<KeyDigest> {
        let mut waiting = std::mem::take(&mut self.pending);
        if let Some(in_flight) = &self.in_flight {
            waiting.extend(&in_flight.keys);
        }
        waiting.retain(|key| !self.claims.contains_key(key));
        for key in &waiting {
            self.grant_unjournaled(now, *key);
        }
        waiting
    }
}
