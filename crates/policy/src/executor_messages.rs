//! What passes between an executor and its driver.

use teaselcroft_parts::{CommitWrite, Incarnation, KeyDigest, Member, Millis, SlotId, SlotRecord};

/// What the driver has to do for an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutorAction {
    /// Read the record of a slot.
    Read {
        /// The slot.
        slot: SlotId,
    },
    /// Compare and swap the record of a slot.
    Write {
        /// The slot.
        slot: SlotId,
        /// The record and the version it replaces.
        write: CommitWrite,
    },
    /// Ask a peer to witness a gap of this daemon's journal.
    RecordGap {
        /// The slot.
        slot: SlotId,
        /// The first epoch.
        epoch: u64,
        /// The last epoch.
        through: u64,
        /// The peer.
        to: Member,
        /// When it is asked, to be given back with the answer.
        asked: Millis,
    },
    /// Ask a peer whether another executor's journal has a gap.
    AskGap {
        /// The slot.
        slot: SlotId,
        /// The epoch in the record.
        epoch: u64,
        /// The executor in the record.
        owner: Incarnation,
        /// The peer.
        to: Member,
    },
    /// Run the call with this key now, once.
    Run {
        /// The slot.
        slot: SlotId,
        /// The key.
        key: KeyDigest,
    },
    /// The call with this key was not run here; another daemon owns its slot.
    Moved {
        /// The slot.
        slot: SlotId,
        /// The key.
        key: KeyDigest,
    },
    /// This daemon now executes a slot.
    Owns {
        /// The slot.
        slot: SlotId,
        /// Its epoch.
        epoch: u64,
        /// Whether calls may have run that the record lacks.
        gap: bool,
    },
    /// This daemon released a slot.
    Released {
        /// The slot.
        slot: SlotId,
    },
}

/// A witness's answer to [`ExecutorAction::RecordGap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordGapAnswer {
    /// The slot.
    pub slot: SlotId,
    /// The witness.
    pub from: Member,
    /// The last epoch that was asked for.
    pub through: u64,
    /// When it was asked.
    pub asked: Millis,
    /// Its answer, or `None` if it could not be reached.
    pub agreed: Option<bool>,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The record and its version, if there is one.
    Found(Option<(SlotRecord, u64)>),
    /// The service did not answer.
    Unknown,
}

/// The answer to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect at this version.
    Done(u64),
    /// The service holds something else.
    Conflict(Option<(SlotRecord, u64)>),
    /// The service did not answer; the write may have taken effect.
    Unknown,
}
