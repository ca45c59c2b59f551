//! The gRPC service that a daemon offers to its peers.

use std::pin::Pin;
use std::sync::Arc;

use async_channel::{Receiver, bounded};
use futures_util::{Stream, StreamExt};
use teaselcroft_parts::{Incarnation, KeyDigest, Millis, SlotId};
use teaselcroft_policy::ResultCode;
use tonic::{Request, Response, Status, Streaming};

use crate::call_table::CallOutcome;
use crate::command::Command;
use crate::dispatch_event::{DispatchEvent, to_wire_ms};
use crate::dispatch_request::{DispatchRequest, outcome_from_wire};
use crate::execute;
use crate::generated::peer_server::Peer;
use crate::generated::{
    ConfigEntry, DispatchDown, DispatchUp, ExecuteReply, ExecuteRequest, HandoverReply, HandoverRequest, Heartbeat,
    HeldOutcome, PullConfigReply, PullConfigRequest, WitnessReply, WitnessRequest,
};
use crate::node::Node;
use crate::peer_heartbeat::PeerHeartbeat;
use crate::platform::Platform;

const EVENT_BUFFER: usize = 4;

/// Implements the generated `Peer` service on the state of a daemon.
pub struct PeerService<P> {
    node: Arc<Node<P>>,
}

impl<P> PeerService<P> {
    /// Creates the service of the daemon behind `node`.
    pub fn new(node: Arc<Node<P>>) -> PeerService<P> {
        PeerService { node }
    }
}

type DownMessages = Pin<Box<dyn Stream<Item = Result<DispatchDown, Status>> + Send>>;

async fn ask_control<T, P: Platform>(
    node: &Node<P>,
    command: impl FnOnce(async_channel::Sender<T>) -> Command,
) -> Result<T, Status> {
    let (sender, receiver) = bounded(1);
    node.send_command(command(sender));
    receiver.recv().await.map_err(|_| Status::unavailable("the daemon is ending"))
}

/// Forwards the outcome of a request from its entry daemon to the dispatcher; drops `outcomes` without a
/// message if the entry daemon is gone.
async fn forward_outcome(
    mut up_messages: Streaming<DispatchUp>,
    outcomes: async_channel::Sender<teaselcroft_policy::Outcome>,
) {
    if let Ok(Some(up)) = up_messages.message().await {
        // Fails only while the daemon ends.
        let _ = outcomes.send(outcome_from_wire(up)).await;
    }
}

fn down_messages(events: Receiver<DispatchEvent>) -> DownMessages {
    Box::pin(events.map(|event| Ok(event.into())))
}

#[tonic::async_trait]
impl<P: Platform> Peer for PeerService<P> {
    type DispatchStream = DownMessages;

    async fn exchange(&self, request: Request<Heartbeat>) -> Result<Response<Heartbeat>, Status> {
        let wire = request.into_inner();
        let answer = self.node.heartbeat();
        self.node.metrics.count_heartbeats(&wire, &answer);
        let heartbeat = PeerHeartbeat::try_from(wire).map_err(|_| Status::invalid_argument("not a heartbeat"))?;
        self.node.send_command(Command::HeartbeatReceived(heartbeat));
        Ok(Response::new(answer))
    }

    async fn dispatch(&self, request: Request<Streaming<DispatchUp>>) -> Result<Response<DownMessages>, Status> {
        let mut up_messages = request.into_inner();
        let first = up_messages.message().await?.ok_or_else(|| Status::invalid_argument("no request"))?;
        let dispatch = DispatchRequest::try_from(first).map_err(|_| Status::invalid_argument("not a request"))?;
        let (events, event_receiver) = bounded(EVENT_BUFFER);
        let (outcome_sender, outcomes) = bounded(1);
        self.node.send_command(Command::Enter { dispatch, events, outcomes });
        self.node.traffic.spawn(forward_outcome(up_messages, outcome_sender)).detach();
        Ok(Response::new(down_messages(event_receiver)))
    }

    async fn execute(&self, request: Request<ExecuteRequest>) -> Result<Response<ExecuteReply>, Status> {
        let call = execute::Call::try_from(request.into_inner());
        let call = call.map_err(|_| Status::invalid_argument("not a call"))?;
        let outcome = match execute::execute(&self.node, call).await {
            Some(outcome) => outcome,
            None => return Err(Status::failed_precondition("another daemon executes this slot")),
        };
        Ok(Response::new(outcome_to_reply(outcome)))
    }

    async fn witness(&self, request: Request<WitnessRequest>) -> Result<Response<WitnessReply>, Status> {
        let WitnessRequest { slot, epoch, owner, record, through } = request.into_inner();
        let owner = Incarnation(owner);
        let slot = SlotId(slot);
        let command = |answer| Command::Witness { slot, epoch, through, owner, record, answer };
        let agreed = ask_control(&self.node, command).await?;
        Ok(Response::new(WitnessReply { agreed, incarnation: self.node.me.incarnation.0 }))
    }

    async fn handover(&self, request: Request<HandoverRequest>) -> Result<Response<HandoverReply>, Status> {
        let outcomes = request.into_inner().outcomes.into_iter().filter_map(outcome_from_held);
        self.node.calls.take_over(self.node.clock.now(), outcomes.collect());
        Ok(Response::new(HandoverReply { accepted: true }))
    }

    async fn pull_config(&self, request: Request<PullConfigRequest>) -> Result<Response<PullConfigReply>, Status> {
        let after = request.into_inner().after;
        let configs = ask_control(&self.node, |answer| Command::PullConfigs { after, answer }).await?;
        let entries = configs.into_iter().map(|(team, config)| ConfigEntry {
            team: team.into(),
            version: config.version,
            value: config.value,
        });
        Ok(Response::new(PullConfigReply { entries: entries.collect() }))
    }
}

fn outcome_to_reply(outcome: CallOutcome) -> ExecuteReply {
    ExecuteReply {
        code: outcome.code.number(),
        status: outcome.status.into(),
        body: outcome.body,
        retry_ms: to_wire_ms(outcome.retry),
    }
}

/// Decodes an executor's reply; an unknown result code counts as a lost reply.
pub fn outcome_from_reply(reply: ExecuteReply) -> CallOutcome {
    CallOutcome {
        code: ResultCode::from_number(reply.code).unwrap_or(ResultCode::ReplyLost),
        status: u16::try_from(reply.status).unwrap_or(502),
        body: reply.body,
        retry: Millis(reply.retry_ms.into()),
    }
}

/// Encodes an outcome for the handover to another executor.
pub fn outcome_to_held((key, outcome): (KeyDigest, CallOutcome)) -> HeldOutcome {
    let (key_high, key_low) = key.halves();
    let code = outcome.code.number();
    HeldOutcome { key_high, key_low, code, status: outcome.status.into(), body: outcome.body }
}

fn outcome_from_held(held: HeldOutcome) -> Option<(KeyDigest, CallOutcome)> {
    let outcome = CallOutcome {
        code: ResultCode::from_number(held.code)?,
        status: u16::try_from(held.status).ok()?,
        body: held.body,
        retry: Millis(0),
    };
    Some((KeyDigest::from_halves(held.key_high, held.key_low), outcome))
}
