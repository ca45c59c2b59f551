//! Actions and results that pass between an [`Executor`](crate::Executor) and its driver.

use teaselcroft_parts::{CommitWrite, Incarnation, KeyDigest, Member, Millis, SlotId, SlotRecord};

/// An instruction that the driver of an [`Executor`](crate::Executor) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutorAction {
    /// Read the record of a slot from the store; answered by `Executor::read_done`.
    Read {
        /// The slot.
        slot: SlotId,
    },
    /// Compare and swap the record of a slot in the store; answered by `Executor::write_done`.
    Write {
        /// The slot.
        slot: SlotId,
        /// The record and the version it replaces.
        write: CommitWrite,
    },
    /// Ask a peer for consent to run calls outside this daemon's journal, and to remember that gap;
    /// answered by `Executor::record_gap_done`.
    RecordGap {
        /// The slot.
        slot: SlotId,
        /// The first epoch of the gap.
        epoch: u64,
        /// The last epoch of the gap.
        through: u64,
        /// The peer.
        to: Member,
        /// The time of this request, to be returned in the answer.
        asked: Millis,
    },
    /// Ask a peer whether another executor's journal has a gap; answered by `Executor::ask_gap_done`.
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
    /// Run the call with this key now, once: its claim is committed, or the witnesses consented.
    Run {
        /// The slot.
        slot: SlotId,
        /// The call's key.
        key: KeyDigest,
    },
    /// Report that the call with this key did not run here; another daemon owns its slot.
    Moved {
        /// The slot.
        slot: SlotId,
        /// The call's key.
        key: KeyDigest,
    },
    /// Report that this daemon now executes a slot.
    Owns {
        /// The slot.
        slot: SlotId,
        /// Its epoch.
        epoch: u64,
        /// Whether calls may have run that are not in the record.
        gap: bool,
    },
    /// Report that this daemon released a slot.
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
    /// The last epoch of the gap in the request.
    pub through: u64,
    /// The time of the request.
    pub asked: Millis,
    /// Whether it consents, or `None` if it could not be reached.
    pub agreed: Option<bool>,
}

/// The store's answer to [`ExecutorAction::Read`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The record and its version, or `None` if there is no record yet.
    Found(Option<(SlotRecord, u64)>),
    /// The store did not answer.
    Unknown,
}

/// The store's answer to [`ExecutorAction::Write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and the record now has this version.
    Done(u64),
    /// The store holds another version, which is returned; the write had no effect.
    Conflict(Option<(SlotRecord, u64)>),
    /// The store did not answer; the write may have taken effect.
    Unknown,
}
