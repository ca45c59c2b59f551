//! Decides when to ask the store whether the active configuration is its newest: a watch that waits on a connection which
//! went silent does not deliver a change.

use std::collections::BTreeSet;

use teaselcroft_parts::Millis;

use crate::roster::ReaderRole;
use crate::store::Revision;

/// The longest time without evidence in a zone without readers. A new version then takes effect at all daemons within the
/// users' two seconds: this interval, two ranks, a call, a heartbeat and a fetch from a peer.
const CHECK_INTERVAL: Millis = Millis(1_200);

/// The same at a reader, whose zone gets the version from it, one message and one fetch later. Its reads of the runners,
/// about 525 ms apart, are evidence in between.
const READER_CHECK_INTERVAL: Millis = Millis(800);

/// How much later daemons of each further rank ask: the evidence of the first one reaches them with its next heartbeat.
const RANK_DELAY: Millis = Millis(200);

/// The last rank; later daemons ask at the same time.
const MAX_RANK: usize = 2;

/// What a daemon knows of the age of its configuration.
#[derive(Debug, Default)]
pub struct ConfigCheck {
    /// The store's revision up to which no change of the configuration is unknown.
    revision: Option<Revision>,
    /// The store's revision up to which this daemon's watch delivered the changes.
    watched: Option<Revision>,
    /// When this daemon last had evidence from the store.
    own: Option<Millis>,
    /// When a peer last had evidence, for a version that is not newer than the active one.
    heard: Option<Millis>,
}

impl ConfigCheck {
    /// The store's revision up to which no change of the configuration is unknown; `None` before the first list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Records that the configuration was read up to `revision`, with a call that was answered from the store's state at
    /// `at` or later.
    pub fn note_read(&mut self, revision: Revision, at: Millis) {
        self.revision = self.revision.max(Some(revision));
        if self.revision == Some(revision) {
            self.own = self.own.max(Some(at));
        }
    }

    /// Records an answer to this daemon's watch, as `note_read` does.
    pub fn note_watched(&mut self, revision: Revision, at: Millis) {
        self.watched = self.watched.max(Some(revision));
        self.note_read(revision, at);
    }

    /// Whether this daemon's watch has not delivered the change of `revision`.
    pub fn is_watch_behind(&self, revision: Revision) -> bool {
        self.watched < Some(revision)
    }

    /// Records that an answer about other keys, which came at `at`, was complete up to `revision` and contained changes of
    /// the revisions `changed`. The configuration is unchanged if these are all revisions since it was last read.
    pub fn note_other(&mut self, changed: impl IntoIterator<Item = Revision>, revision: Revision, at: Millis) {
        let is_before = |known: &Revision| known.era() == revision.era() && *known <= revision;
        let Some(known) = self.revision.filter(is_before) else {
            return;
        };
        let is_between = |changed: &Revision| *changed > known && *changed <= revision;
        let others: BTreeSet<Revision> = changed.into_iter().filter(is_between).collect();
        if u64::try_from(others.len()).is_ok_and(|count| count == revision.0 - known.0) {
            self.note_read(revision, at);
        }
    }

    /// Records that a peer, whose configuration is not newer than the active one, had evidence at `at`.
    pub fn note_peer(&mut self, at: Millis) {
        self.heard = self.heard.max(Some(at));
    }

    /// How long ago this daemon last had evidence from the store itself, for its heartbeats. What peers said is not
    /// repeated, so that a message which arrives late misleads its receiver only.
    pub fn age_ms(&self, now: Millis) -> Option<u32> {
        self.own.map(|own| u32::try_from(now.since(own).0).unwrap_or(u32::MAX))
    }

    /// When the store is to be asked, unless there is evidence before. `rank` is this daemon's place among those that may
    /// ask.
    pub fn due_at(&self, role: ReaderRole, rank: usize) -> Millis {
        let interval = match role {
            ReaderRole::Reader => READER_CHECK_INTERVAL,
            ReaderRole::Listener => CHECK_INTERVAL,
            ReaderRole::Alone => CHECK_INTERVAL + Millis(RANK_DELAY.0 * rank.min(MAX_RANK) as u64),
        };
        self.own.max(self.heard).unwrap_or_default() + interval
    }
}
