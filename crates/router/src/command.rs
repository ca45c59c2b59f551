//! Messages from traffic threads and I/O tasks to the control thread.

use async_channel::{Receiver, Sender};
use teaselcroft_parts::{
    ConfigValue, DaemonName, Incarnation, KeyDigest, Member, ModelName, RunnerName, SlotId, TeamName,
};
use teaselcroft_policy::{Outcome, ReadResult, RecordGapAnswer, RequestKey, WriteResult};

use crate::dispatch_event::DispatchEvent;
use crate::dispatch_request::DispatchRequest;
use crate::engine::ReportWire;
use crate::peer_heartbeat::PeerHeartbeat;
use crate::status::DaemonStatus;
use crate::vm_list::Vms;

/// Whether a call that must not repeat may run, as the control thread answers [`Command::Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim is granted: run the call now, once.
    Run,
    /// Another daemon executes the slot; the call was not run here.
    Moved,
    /// This daemon granted the key to an earlier attempt.
    Repeated,
    /// A previous executor of the slot claimed the key; the call may have run.
    Inherited,
    /// A previous executor may have claimed the key without recording it; the call may have run.
    Uncertain,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// A request asks the dispatcher for a runner.
    Enter {
        /// What the dispatcher needs to know about the request.
        dispatch: DispatchRequest,
        /// Receives grants, refusals and preemptions; closed when this daemon no longer dispatches it.
        events: Sender<DispatchEvent>,
        /// Yields how the request ended; closed without a message if its entry daemon is gone.
        outcomes: Receiver<Outcome>,
    },
    /// A request left the dispatcher: it ended, was cancelled or was preempted.
    Leave {
        /// The model or service.
        upstream: ModelName,
        /// The dispatcher generation that issued `request_key`; older ones are ignored.
        generation: u64,
        /// The request's key within that dispatcher.
        request_key: RequestKey,
        /// How the request ended on its runner.
        outcome: Outcome,
    },
    /// A heartbeat arrived from a peer.
    HeartbeatReceived(PeerHeartbeat),
    /// A peer refused a connection, so its process is gone.
    PeerRefused(DaemonName),
    /// The VM list was read.
    VmsListed(Vms),
    /// A runner's load report was read.
    RunnerReported {
        /// The model or service.
        upstream: ModelName,
        /// The runner.
        runner: RunnerName,
        /// Its report.
        report: ReportWire,
    },
    /// A runner answered an order to apply a configuration, or the attempt failed.
    OrderAnswered {
        /// The runner.
        runner: RunnerName,
        /// The team whose configuration was ordered.
        team: TeamName,
        /// The revision now in force there, or `None` if the runner did not apply it.
        revision: Option<u64>,
    },
    /// A call that must not repeat asks for permission to run.
    Claim {
        /// Its slot.
        slot: SlotId,
        /// The digest of its idempotency key.
        key: KeyDigest,
        /// Where to answer.
        answer: Sender<ClaimReply>,
    },
    /// Withdraws a pending claim; answered with false if it may already be committed.
    CancelClaim {
        /// Its slot.
        slot: SlotId,
        /// The digest of its idempotency key.
        key: KeyDigest,
        /// Where to answer.
        answer: Sender<bool>,
    },
    /// A read of a slot record from the key-value service ended.
    SlotRead {
        /// The slot.
        slot: SlotId,
        /// The record found, or that the read failed.
        result: ReadResult,
    },
    /// A write of a slot record to the key-value service ended.
    SlotWritten {
        /// The slot.
        slot: SlotId,
        /// Whether the compare-and-swap took effect, as far as is known.
        result: WriteResult,
    },
    /// A witness answered whether it recorded that calls may run here while the journal cannot be written.
    GapRecorded(RecordGapAnswer),
    /// A witness answered whether it recorded such a gap for a previous executor.
    GapAnswered {
        /// The slot.
        slot: SlotId,
        /// The witness.
        from: Member,
        /// Its answer, or `None` if it could not be reached.
        gap: Option<bool>,
    },
    /// A peer asks this daemon, as a witness, to record a journal gap or to say whether it recorded one.
    Witness {
        /// The slot.
        slot: SlotId,
        /// The first epoch of the gap.
        epoch: u64,
        /// The last epoch of the gap.
        through: u64,
        /// The executor whose journal has the gap.
        owner: Incarnation,
        /// True to record, false to ask.
        record: bool,
        /// Where to answer.
        answer: Sender<bool>,
    },
    /// Accepted configurations were read from the key-value service, a peer or a submission.
    Configs(Vec<(TeamName, ConfigValue)>),
    /// A peer asks for configurations newer than a version.
    PullConfigs {
        /// The newest version that the peer has.
        after: u64,
        /// Where to answer.
        answer: Sender<Vec<(TeamName, ConfigValue)>>,
    },
    /// An operator asks for the daemon's status.
    Status(Sender<DaemonStatus>),
    /// A planned stop begins: dispatchers move to other daemons.
    Leaving,
    /// Second step of a planned stop: release all slots.
    ReleaseSlots,
}
