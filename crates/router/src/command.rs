//! What traffic threads and I/O tasks tell the control thread.

use async_channel::{Receiver, Sender};
use teaselcroft_parts::{
    ConfigValue, DaemonName, Incarnation, KeyDigest, Member, ModelName, RunnerName, SlotId, TeamName,
};
use teaselcroft_policy::{Outcome, PlaceKey, ReadResult, RecordAnswer, WriteResult};

use crate::dispatch_event::DispatchEvent;
use crate::dispatch_request::DispatchRequest;
use crate::engine::ReportWire;
use crate::peer_heartbeat::PeerHeartbeat;
use crate::status::DaemonStatus;
use crate::vm_list::Vms;

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// Run the call now, once.
    Run,
    /// Another daemon executes the slot; the call was not run here.
    Moved,
    /// This daemon was granted the key before.
    Repeated,
    /// An earlier executor claimed the key.
    Inherited,
    /// An earlier executor may have claimed the key without a trace.
    Uncertain,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// A request asks for a place.
    Enter {
        /// The request.
        dispatch: DispatchRequest,
        /// Where to tell it what happens; closed when this daemon no longer dispatches it.
        events: Sender<DispatchEvent>,
        /// How it ends; closed without a message if its daemon is gone.
        outcomes: Receiver<Outcome>,
    },
    /// A request left its place.
    Leave {
        /// The model or service.
        upstream: ModelName,
        /// The dispatcher's life in which the place was given.
        generation: u64,
        /// The place.
        place: PlaceKey,
        /// How it left.
        outcome: Outcome,
    },
    /// A peer was heard.
    HeartbeatReceived(PeerHeartbeat),
    /// A peer refused a connection.
    PeerRefused(DaemonName),
    /// The VM list was read.
    VmsListed(Vms),
    /// A runner reported.
    RunnerReported {
        /// The model or service.
        upstream: ModelName,
        /// The runner.
        runner: RunnerName,
        /// Its report.
        report: ReportWire,
    },
    /// A runner answered an order.
    OrderAnswered {
        /// The runner.
        runner: RunnerName,
        /// The team whose configuration it was told of.
        team: TeamName,
        /// The revision now in force there, or `None` if it did not obey.
        revision: Option<u64>,
    },
    /// A call that must not repeat asks to run.
    Claim {
        /// Its slot.
        slot: SlotId,
        /// Its key.
        key: KeyDigest,
        /// Where to answer.
        answer: Sender<ClaimReply>,
    },
    /// A call no longer wants its claim; answered with false if it may have been committed.
    CancelClaim {
        /// Its slot.
        slot: SlotId,
        /// Its key.
        key: KeyDigest,
        /// Where to answer.
        answer: Sender<bool>,
    },
    /// The key-value service answered a read of a slot.
    SlotRead {
        /// The slot.
        slot: SlotId,
        /// The answer.
        result: ReadResult,
    },
    /// The key-value service answered a write of a slot.
    SlotWritten {
        /// The slot.
        slot: SlotId,
        /// The answer.
        result: WriteResult,
    },
    /// A witness answered whether it records a gap.
    GapRecorded(RecordAnswer),
    /// A witness answered whether there was a gap.
    GapAnswered {
        /// The slot.
        slot: SlotId,
        /// The witness.
        from: Member,
        /// Its answer, or `None` if it could not be reached.
        gap: Option<bool>,
    },
    /// A peer asks this daemon to record a gap, or whether there was one.
    Witness {
        /// The slot.
        slot: SlotId,
        /// The first epoch.
        epoch: u64,
        /// The last epoch.
        through: u64,
        /// The executor.
        owner: Incarnation,
        /// True to record, false to ask.
        record: bool,
        /// Where to answer.
        answer: Sender<bool>,
    },
    /// Accepted configurations were read.
    Configs(Vec<(TeamName, ConfigValue)>),
    /// A peer asks for configurations newer than a clock.
    PullConfigs {
        /// The clock.
        after: u64,
        /// Where to answer.
        answer: Sender<Vec<(TeamName, ConfigValue)>>,
    },
    /// An operator asks for the state.
    Status(Sender<DaemonStatus>),
    /// A planned stop begins: dispatch is handed over.
    Leaving,
    /// A planned stop goes on: slots are released.
    ReleaseSlots,
}
