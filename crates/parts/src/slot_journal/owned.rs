//! The journal of a slot that this daemon owns.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::CommitWrite;
use crate::{Gap, KeyDigest, Member, Millis, OutageConsent, SlotRecord};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    Own,
    Inherited,
}

#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub(super) origin: Origin,
    pub(super) at: Millis,
}

#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) write: CommitWrite,
    pub(super) keys: Vec<KeyDigest>,
    pub(super) catches_up: Vec<KeyDigest>,
    pub(super) sent: Millis,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Owned {
    pub(super) epoch: u64,
    pub(super) version: u64,
    pub(super) claims: BTreeMap<KeyDigest, Claim>,
    pub(super) pending: Vec<KeyDigest>,
    pub(super) unjournaled: Vec<KeyDigest>,
    pub(super) flight: Option<Flight>,
    pub(super) gap: Gap,
    pub(super) gap_until: Option<Millis>,
    pub(super) committed: Millis,
    pub(super) consents: BTreeMap<Member, OutageConsent>,
    pub(super) witnesses: Vec<Member>,
    pub(super) candidates: Vec<Member>,
    pub(super) consent_denied: bool,
}

impl Owned {
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty() || self.flight.as_ref().is_some_and(|flight| !flight.keys.is_empty())
    }

    pub(super) fn is_waiting(&self, key: KeyDigest) -> bool {
        self.pending.contains(&key) || self.flight.as_ref().is_some_and(|flight| flight.keys.contains(&key))
    }

    /// The witnesses of every record that the service may hold; none if one of these names none,
    /// for a successor that reads it has nobody to ask.
    pub(super) fn all_witnesses(&self) -> BTreeSet<Member> {
        let sent = self.flight.as_ref().map(|flight| &flight.write.record.witnesses);
        if self.witnesses.is_empty() || sent.is_some_and(Vec::is_empty) {
            return BTreeSet::new();
        }
        self.witnesses.iter().chain(sent.into_iter().flatten()).cloned().collect()
    }

    /// Whether every witness consents, and the last commit is not too long ago.
    pub(super) fn may_run_unjournaled(&self, now: Millis, outage_max: Millis) -> bool {
        let witnesses = self.all_witnesses();
        let consents = |witness| self.consents.get(witness).is_some_and(|consent| consent.is_valid(now));
        !witnesses.is_empty() && now < self.committed + outage_max && witnesses.iter().all(consents)
    }

    pub(super) fn is_due(&self, now: Millis, refresh_every: Millis) -> bool {
        let gap_over = self.gap_until.is_some_and(|until| now >= until);
        let moved = self.candidates != self.witnesses;
        let stale = now >= self.committed + refresh_every;
        gap_over || moved || stale || self.consent_denied || !self.pending.is_empty() || !self.unjournaled.is_empty()
    }

    pub(super) fn purge(&mut self, now: Millis, retention: Millis) {
        self.claims.retain(|_, claim| now.since(claim.at) < retention);
        if self.gap_until.is_some_and(|until| now >= until) {
            self.gap_until = None;
            self.gap = Gap::None;
        }
    }

    pub(super) fn begin_commit(&mut self, now: Millis, owner: Option<Member>, write: u64) -> CommitWrite {
        let keys = std::mem::take(&mut self.pending);
        let catches_up = self.unjournaled.clone();
        let rises = self.consent_denied || !catches_up.is_empty();
        self.consent_denied = false;
        if rises {
            // A successor that reads the new epoch asks about that one.
            self.consents.clear();
        }
        let mut claims: Vec<KeyDigest> = self.claims.keys().copied().collect();
        claims.extend(&keys);
        let record = SlotRecord {
            owner,
            epoch: self.epoch + u64::from(rises),
            write,
            gap: self.gap,
            witnesses: self.candidates.clone(),
            claims,
        };
        let write = CommitWrite { record, expected: self.version };
        self.flight = Some(Flight { write: write.clone(), keys, catches_up, sent: now });
        write
    }

    pub(super) fn finish_commit(&mut self, now: Millis, version: u64) -> Vec<KeyDigest> {
        let Some(flight) = self.flight.take() else {
            return Vec::new();
        };
        self.committed = flight.sent;
        self.version = version;
        self.epoch = flight.write.record.epoch;
        self.witnesses = flight.write.record.witnesses;
        self.unjournaled.retain(|key| !flight.catches_up.contains(key) && !flight.keys.contains(key));
        if self.unjournaled.is_empty() {
            self.consents.clear();
        }
        let granted = flight.keys.into_iter().filter(|key| self.grant(now, *key));
        granted.collect()
    }

    /// Grants `key` unless it was granted before.
    pub(super) fn grant(&mut self, now: Millis, key: KeyDigest) -> bool {
        match self.claims.entry(key) {
            Entry::Occupied(_) => false,
            Entry::Vacant(free) => {
                free.insert(Claim { origin: Origin::Own, at: now });
                true
            }
        }
    }

    pub(super) fn grant_unjournaled(&mut self, now: Millis, key: KeyDigest) {
        if self.grant(now, key) {
            self.unjournaled.push(key);
        }
    }

    pub(super) fn grant_waiting(&mut self, now: Millis) -> Vec<KeyDigest> {
        let mut waiting = std::mem::take(&mut self.pending);
        if let Some(flight) = &self.flight {
            waiting.extend(&flight.keys);
        }
        waiting.retain(|key| !self.claims.contains_key(key));
        for key in &waiting {
            self.grant_unjournaled(now, *key);
        }
        waiting
    }
}
