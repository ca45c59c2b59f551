//! Plain service calls from callers: at most once through a slot executor, or with retries.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Response, StatusCode};
use teaselcroft_parts::{ClassName, CustomerName, DaemonName, Fingerprint, Member, Millis, RequestId, SlotId, slot_of};
use teaselcroft_policy::{ClassRule, EndKind, Outcome, ResultCode, UpstreamKind};

use crate::Event;
use crate::call_table::CallOutcome;
use crate::dispatch_event::DispatchEvent;
use crate::dispatch_handle::DispatchHandle;
use crate::dispatch_request::DispatchRequest;
use crate::execute::{Call, execute};
use crate::generated::ExecuteRequest;
use crate::http_client::{HttpError, with_timeout};
use crate::node::Node;
use crate::peer_service::outcome_from_reply;
use crate::plain_service::{PlainService, ServiceCall};
use crate::platform::Platform;
use crate::reply;

const EXECUTOR_POLL_INTERVAL: Duration = Duration::from_millis(100);
const EXECUTOR_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Lower bound of the timeout for one attempt, however tight the class's target is.
const MIN_CALL_TIMEOUT: Millis = Millis(1_000);

/// A plain service call after authentication, with its body read.
pub struct IncomingCall {
    /// The request id.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// Its class, from the request path.
    pub class: ClassName,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
}

/// Serves a plain service call; the class's rule decides whether it may be repeated.
pub async fn call<P: Platform>(node: Arc<Node<P>>, incoming: IncomingCall) -> Response {
    let arrival = node.clock.now();
    let snapshot = node.snapshot();
    if snapshot.classes.revisions().is_empty() {
        return reply::refusal(ResultCode::NoConfiguration, Millis(500));
    }
    let rule = snapshot.classes.rule(&incoming.class).filter(|rule| rule.kind == UpstreamKind::Service);
    let Some(rule) = rule.cloned() else {
        return reply::refusal(ResultCode::UnknownClass, Millis(0));
    };
    let request = incoming.request.clone();
    let outcome = match (rule.never_repeat, incoming.key.clone()) {
        (true, Some(key)) => call_at_most_once(&node, incoming, key, &rule, arrival).await,
        (true, None) => CallOutcome::bare(ResultCode::KeyMissing),
        (false, _) => call_repeatable(&node, &incoming, &rule, arrival).await,
    };
    let grounds = format!("{}, in {}", outcome.code, node.clock.now().since(arrival));
    node.record_decision(&request, Event::Ended, grounds);
    to_response(outcome)
}

fn to_response(outcome: CallOutcome) -> Response {
    if outcome.code != ResultCode::Done {
        return reply::refusal(outcome.code, outcome.retry);
    }
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(outcome.body);
    reply::set_result_headers(&mut response, ResultCode::Done, Millis(0));
    response
}

/// Sends an at-most-once call to the executor of its slot, and to the next executor if that one is replaced or
/// unreachable, until the class's patience runs out.
async fn call_at_most_once<P: Platform>(
    node: &Arc<Node<P>>,
    incoming: IncomingCall,
    key: String,
    rule: &ClassRule,
    arrival: Millis,
) -> CallOutcome {
    let deadline = arrival + rule.patience;
    let IncomingCall { request, customer, class, body, .. } = incoming;
    let mut call = Call { customer, class, key, request, body, waited: Millis(0) };
    let mut sent = false;
    loop {
        let now = node.clock.now();
        call.waited = now.since(arrival);
        let remaining = deadline.since(now);
        if remaining == Millis(0) {
            return CallOutcome::bare(if sent { ResultCode::ReplyLost } else { ResultCode::NoExecutor });
        }
        let slot = slot_of(call.digest(), node.settings.limits.slots);
        if let Some(executor) = node.snapshot().executors.get(&slot).cloned() {
            let grounds = format!("slot {slot}, executor {executor}, waited {}", call.waited);
            node.record_decision(&call.request, Event::ExecutorChosen, grounds);
            sent = true;
            let outcome = if executor == node.me {
                with_timeout(remaining.into(), None, execute(node, call.clone())).await
            } else {
                let reply = execute_at(node, &executor.name, call.clone());
                with_timeout(remaining.into(), None, reply.or(executor_replaced(node, slot, &executor))).await
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
        smol::Timer::after(EXECUTOR_RETRY_DELAY).await;
    }
}

/// Returns once `executor` is no longer the known executor of `slot`.
async fn executor_replaced<P: Platform>(node: &Node<P>, slot: SlotId, executor: &Member) -> Option<CallOutcome> {
    while node.snapshot().executors.get(&slot) == Some(executor) {
        smol::Timer::after(EXECUTOR_POLL_INTERVAL).await;
    }
    None
}

async fn execute_at<P: Platform>(node: &Node<P>, executor: &DaemonName, call: Call) -> Option<CallOutcome> {
    let mut client = node.client(executor).await.ok()?;
    let reply = client.execute(ExecuteRequest::from(call)).await;
    match reply {
        Ok(reply) => Some(outcome_from_reply(reply.into_inner())),
        Err(status) => {
            if status.code() != tonic::Code::FailedPrecondition {
                node.peers.forget(executor);
            }
            None
        }
    }
}

/// Sends a call that may be repeated: retries it until the service answers, a dispatcher refuses, the class's
/// patience runs out or the retry budget is used up.
async fn call_repeatable<P: Platform>(
    node: &Arc<Node<P>>,
    incoming: &IncomingCall,
    rule: &ClassRule,
    arrival: Millis,
) -> CallOutcome {
    let deadline = arrival + rule.patience;
    let mut may_have_run = false;
    node.count_attempt();
    let mut handle = DispatchHandle::open(node, dispatch_request(node, incoming, rule, arrival, may_have_run));
    loop {
        let remaining = deadline.since(node.clock.now());
        let timed_out = Some(DispatchEvent::Refused { code: ResultCode::PatienceOver, retry: Millis(0) });
        let address = match with_timeout(remaining.into(), timed_out, handle.next_event()).await {
            Some(DispatchEvent::Granted { address, .. }) => address,
            Some(DispatchEvent::Refused { .. }) if may_have_run => return CallOutcome::bare(ResultCode::ReplyLost),
            Some(DispatchEvent::Refused { code, retry }) => return CallOutcome { retry, ..CallOutcome::bare(code) },
            Some(DispatchEvent::Preempted) => continue,
            None => {
                handle = DispatchHandle::reopen(node, dispatch_request(node, incoming, rule, arrival, may_have_run));
                continue;
            }
        };
        let call = ServiceCall {
            request: incoming.request.clone(),
            class: incoming.class.to_string(),
            key: incoming.key.clone(),
            body: incoming.body.clone(),
            timeout: Millis(rule.target.0 / 2).max(MIN_CALL_TIMEOUT),
        };
        match node.platform.services().call(&address, &call).await {
            Ok(reply) => {
                handle.end(Outcome::bare(EndKind::Done));
                return CallOutcome { status: reply.status, body: reply.body, ..CallOutcome::bare(ResultCode::Done) };
            }
            Err(error) => {
                may_have_run = may_have_run || error != HttpError::Refused;
                handle.end(Outcome::bare(error.into()));
                if may_have_run && !node.spend_retry() {
                    return CallOutcome::bare(ResultCode::ReplyLost);
                }
                handle = DispatchHandle::open(node, dispatch_request(node, incoming, rule, arrival, may_have_run));
            }
        }
    }
}

fn dispatch_request<P: Platform>(
    node: &Node<P>,
    incoming: &IncomingCall,
    rule: &ClassRule,
    arrival: Millis,
    may_have_run: bool,
) -> DispatchRequest {
    let customer = incoming.customer.clone();
    DispatchRequest {
        request: incoming.request.clone(),
        fingerprint: Fingerprint::of(&[customer.as_str().as_bytes(), &incoming.body]),
        customer,
        class: incoming.class.clone(),
        upstream: rule.upstream.clone(),
        prefix: Fingerprint::default(),
        prompt_tokens: rule.prompt_tokens,
        waited: node.clock.now().since(arrival),
        holding: None,
        avoid: None,
        admitted: may_have_run,
        zone: node.settings.zone.clone(),
    }
}
