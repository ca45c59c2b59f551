//! Runs at-most-once calls, at the daemon that is the executor of their slot.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::bounded;
use teaselcroft_parts::{ClassName, CustomerName, Fingerprint, KeyDigest, Millis, RequestId, SlotId, slot_of};
use teaselcroft_policy::{ClassRule, EndKind, Outcome, Ran, ResultCode};

use crate::Event;
use crate::call_table::{Admission, CallOutcome};
use crate::command::{ClaimReply, Command};
use crate::control::slot_proves_not_run;
use crate::dispatch_event::{DispatchEvent, WireError, to_wire_ms};
use crate::dispatch_handle::DispatchHandle;
use crate::dispatch_request::DispatchRequest;
use crate::generated::{ExecuteRequest, HandoverRequest};
use crate::http_client::{HttpError, with_timeout};
use crate::node::Node;
use crate::peer_service::outcome_to_held;
use crate::plain_service::{PlainService, ServiceCall};
use crate::platform::Platform;

/// Lower bound of the timeout for the service's reply, however tight the class's target is.
const MIN_CALL_TIMEOUT: Millis = Millis(2_000);
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An at-most-once call: a service call whose class forbids running it again.
#[derive(Debug, Clone)]
pub struct Call {
    /// The customer that sent it.
    pub customer: CustomerName,
    /// Its class.
    pub class: ClassName,
    /// The idempotency key that the caller sent.
    pub key: String,
    /// The request id.
    pub request: RequestId,
    /// The request body, passed on unchanged.
    pub body: Vec<u8>,
    /// Time since it arrived at its entry daemon.
    pub waited: Millis,
}

impl Call {
    /// The digest of customer, class and key under which the call is deduplicated.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.customer.as_str(), self.class.as_str(), &self.key)
    }
}

impl From<Call> for ExecuteRequest {
    fn from(call: Call) -> ExecuteRequest {
        ExecuteRequest {
            customer: call.customer.into(),
            class: call.class.into(),
            key: call.key,
            request: call.request.into(),
            body: call.body,
            waited_ms: to_wire_ms(call.waited),
        }
    }
}

impl TryFrom<ExecuteRequest> for Call {
    type Error = WireError;

    fn try_from(wire: ExecuteRequest) -> Result<Call, WireError> {
        Ok(Call {
            customer: wire.customer.try_into().map_err(|_| WireError)?,
            class: wire.class.try_into().map_err(|_| WireError)?,
            key: wire.key,
            request: wire.request.try_into().map_err(|_| WireError)?,
            body: wire.body,
            waited: Millis(wire.waited_ms.into()),
        })
    }
}

/// Runs `call` here, at most once for all attempts with the same digest; `None` if another daemon is the
/// executor of its slot. The run continues if the caller stops waiting.
pub async fn execute<P: Platform>(node: &Arc<Node<P>>, call: Call) -> Option<CallOutcome> {
    let key = call.digest();
    let (claimed, outcome) = match node.calls.admit(key) {
        Admission::Ended(outcome) => return Some(outcome),
        Admission::Joined(outcome) => return outcome.recv().await.ok().and_then(unless_moved),
        Admission::New(outcome) => (false, outcome),
        Admission::AlreadyClaimed(outcome) => (true, outcome),
    };
    node.in_flight.fetch_add(1, Ordering::AcqRel);
    let task_node = node.clone();
    let run = async move {
        let run = Run { node: &task_node, call, key, claimed };
        run.run_to_end().await;
        task_node.in_flight.fetch_sub(1, Ordering::AcqRel);
    };
    node.traffic.spawn(run).detach();
    outcome.recv().await.ok().and_then(unless_moved)
}

/// Returns `None` for a call whose slot moved, because only the new executor can answer it.
fn unless_moved(outcome: CallOutcome) -> Option<CallOutcome> {
    (outcome.code != ResultCode::SlotMoved).then_some(outcome)
}

/// One run of a call in a task of its own, so that it outlives the request that started it.
struct Run<'a, P> {
    node: &'a Arc<Node<P>>,
    call: Call,
    key: KeyDigest,
    claimed: bool,
}

impl<P: Platform> Run<'_, P> {
    async fn run_to_end(mut self) {
        let outcome = self.run_call().await;
        let outcome = self.verified(outcome).await;
        let now = self.node.clock.now();
        self.node.calls.finish(now, self.key, self.claimed, outcome.clone());
        self.hand_over_after_release(outcome).await;
    }

    /// Keeps an outcome that means not run only if the slot record proves it. Otherwise another executor may
    /// have replaced this one unnoticed and run the call.
    async fn verified(&self, outcome: CallOutcome) -> CallOutcome {
        if outcome.code.ran() != Ran::NotRun || self.claimed {
            return outcome;
        }
        if slot_proves_not_run(self.node, self.slot(), self.key).await {
            return outcome;
        }
        CallOutcome { code: ResultCode::NoExecutor, ..outcome }
    }

    fn slot(&self) -> SlotId {
        slot_of(self.key, self.node.settings.limits.slots)
    }

    async fn run_call(&mut self) -> CallOutcome {
        let snapshot = self.node.snapshot();
        let Some(rule) = snapshot.classes.rule(&self.call.class).cloned() else {
            return CallOutcome::bare(ResultCode::NoConfiguration);
        };
        let arrival = self.node.clock.now().since(self.call.waited);
        let deadline = arrival + rule.patience;
        loop {
            let (handle, address) = match self.wait_for_runner(&rule, arrival, deadline).await {
                Ok(granted) => granted,
                Err(refusal) => return refusal,
            };
            if let Err(refusal) = self.claim(deadline).await {
                handle.end(Outcome::bare(EndKind::Cancelled));
                return refusal;
            }
            match self.call_service(&rule, &address).await {
                Ok(outcome) => {
                    handle.end(Outcome::bare(EndKind::Done));
                    return outcome;
                }
                Err(error) => {
                    handle.end(Outcome::bare(error.into()));
                    if error != HttpError::Refused {
                        return CallOutcome::bare(ResultCode::ReplyLost);
                    }
                }
            }
        }
    }

    async fn wait_for_runner(
        &self,
        rule: &ClassRule,
        arrival: Millis,
        deadline: Millis,
    ) -> Result<(DispatchHandle, String), CallOutcome> {
        let mut handle = DispatchHandle::open(self.node, self.dispatch_request(rule, arrival));
        loop {
            let remaining = deadline.since(self.node.clock.now());
            let timed_out = Some(DispatchEvent::Refused { code: ResultCode::PatienceOver, retry: Millis(0) });
            match with_timeout(remaining.into(), timed_out, handle.next_event()).await {
                Some(DispatchEvent::Granted { address, .. }) => return Ok((handle, address)),
                Some(DispatchEvent::Refused { code, retry }) => {
                    return Err(CallOutcome { retry, ..CallOutcome::bare(code) });
                }
                Some(DispatchEvent::Preempted) => {}
                None => handle = DispatchHandle::reopen(self.node, self.dispatch_request(rule, arrival)),
            }
        }
    }

    fn dispatch_request(&self, rule: &ClassRule, arrival: Millis) -> DispatchRequest {
        DispatchRequest {
            request: self.call.request.clone(),
            customer: self.call.customer.clone(),
            class: self.call.class.clone(),
            upstream: rule.upstream.clone(),
            fingerprint: Fingerprint::of(&[self.call.key.as_bytes(), &self.call.body]),
            prefix: Fingerprint::default(),
            prompt_tokens: rule.prompt_tokens,
            waited: self.node.clock.now().since(arrival),
            holding: None,
            avoid: None,
            admitted: self.claimed,
            zone: self.node.settings.zone.clone(),
        }
    }

    /// Claims the key unless this daemon already holds the claim. After `deadline` it withdraws the claim, or
    /// waits for the answer if the claim may already be committed.
    async fn claim(&mut self, deadline: Millis) -> Result<(), CallOutcome> {
        if self.claimed {
            return Ok(());
        }
        let (answer, answer_receiver) = bounded(1);
        let slot = self.slot();
        self.node.send_command(Command::Claim { slot, key: self.key, answer });
        let remaining = deadline.since(self.node.clock.now());
        let in_time = with_timeout(remaining.into(), None, async { answer_receiver.recv().await.ok() }).await;
        if in_time.is_none() && self.cancel_claim().await {
            return Err(CallOutcome::bare(ResultCode::PatienceOver));
        }
        let claimed = match in_time {
            Some(claimed) => claimed,
            None => answer_receiver.recv().await.unwrap_or(ClaimReply::Moved),
        };
        match claimed {
            ClaimReply::Run => {
                self.claimed = true;
                Ok(())
            }
            ClaimReply::Moved => Err(CallOutcome::bare(ResultCode::SlotMoved)),
            ClaimReply::Repeated | ClaimReply::Inherited => Err(CallOutcome::bare(ResultCode::ClaimedBefore)),
            ClaimReply::Uncertain => Err(CallOutcome::bare(ResultCode::JournalGap)),
        }
    }

    async fn cancel_claim(&self) -> bool {
        let (answer, answer_receiver) = bounded(1);
        self.node.send_command(Command::CancelClaim { slot: self.slot(), key: self.key, answer });
        answer_receiver.recv().await.unwrap_or(false)
    }

    async fn call_service(&self, rule: &ClassRule, address: &str) -> Result<CallOutcome, HttpError> {
        let call = ServiceCall {
            request: self.call.request.clone(),
            class: self.call.class.to_string(),
            key: Some(self.call.key.clone()),
            body: self.call.body.clone(),
            timeout: rule.target.max(MIN_CALL_TIMEOUT),
        };
        let grounds = format!("slot {}, key claimed, at {address}", self.slot());
        self.node.record_decision(&self.call.request, Event::CallRuns, grounds);
        let reply = self.node.platform.services().call(address, &call).await?;
        Ok(CallOutcome { status: reply.status, body: reply.body, ..CallOutcome::bare(ResultCode::Done) })
    }

    /// Sends the outcome of a call that ended after its slot was released to the slot's new executor.
    async fn hand_over_after_release(&self, outcome: CallOutcome) {
        let slot = self.slot();
        let owner = self.node.snapshot().executors.get(&slot).cloned();
        let Some(owner) = owner.filter(|owner| *owner != self.node.me && self.claimed) else {
            return;
        };
        hand_over(self.node, &owner.name, slot, vec![(self.key, outcome)]).await;
    }
}

/// Sends outcomes of `slot` to the daemon called `to`; failures are ignored.
pub async fn hand_over<P: Platform>(
    node: &Node<P>,
    to: &teaselcroft_parts::DaemonName,
    slot: SlotId,
    outcomes: Vec<(KeyDigest, CallOutcome)>,
) {
    let outcomes = outcomes.into_iter().map(outcome_to_held).collect();
    let send = async {
        if let Ok(mut client) = node.client(to).await {
            // If this fails, the next executor answers that the call may have run, which is true.
            let _ = client.handover(HandoverRequest { slot: slot.0, epoch: 0, outcomes }).await;
        }
    };
    with_timeout(HANDOVER_TIMEOUT, (), send).await;
}
