//! Plain service calls over HTTP.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Response, StatusCode};
use teaselcroft_parts::{ClassName, CustomerName, DaemonName, Fingerprint, Member, Millis, RequestId, SlotId, slot_of};
use teaselcroft_policy::{ClassRule, EndKind, Outcome, ResultCode, UpstreamKind};

use crate::Event;
use crate::call_table::CallOutcome;
use crate::execute::{Call, execute};
use crate::generated::ExecuteRequest;
use crate::http_client::{HttpError, with_timeout};
use crate::node::Node;
use crate::peer_service::outcome_from_reply;
use crate::place::Place;
use crate::place_event::PlaceEvent;
use crate::place_request::PlaceRequest;
use crate::plain_service::{PlainService, ServiceCall};
use crate::platform::Platform;
use crate::reply;

const EXECUTOR_CHECK: Duration = Duration::from_millis(100);
const EXECUTOR_RETRY: Duration = Duration::from_millis(50);
const SHORTEST_READ: Millis = Millis(1_000);

/// A call of a plain service as it arrived.
pub struct Arrived {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerName,
    /// Its class.
    pub class: ClassName,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Answers a plain service call.
pub async fn call<P: Platform>(node: Arc<Node<P>>, arrived: Arrived) -> Response {
    let arrival = node.clock.now();
    let view = node.view();
    if view.classes.revisions().is_empty() {
        return reply::refusal(ResultCode::NoConfiguration, Millis(500));
    }
    let rule = view.classes.rule(&arrived.class).filter(|rule| rule.kind == UpstreamKind::Service);
    let Some(rule) = rule.cloned() else {
        return reply::refusal(ResultCode::UnknownClass, Millis(0));
    };
    let request = arrived.request.clone();
    let outcome = match (rule.never_repeat, arrived.key.clone()) {
        (true, Some(key)) => call_once(&node, arrived, key, &rule, arrival).await,
        (true, None) => CallOutcome::bare(ResultCode::KeyMissing),
        (false, _) => call_again(&node, &arrived, &rule, arrival).await,
    };
    let grounds = format!("{}, in {}", outcome.code, node.clock.now().since(arrival));
    node.decide(&request, Event::Ended, grounds);
    to_response(outcome)
}

fn to_response(outcome: CallOutcome) -> Response {
    if outcome.code != ResultCode::Done {
        return reply::refusal(outcome.code, outcome.retry);
    }
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(outcome.body);
    reply::mark(&mut response, ResultCode::Done, Millis(0));
    response
}

/// Sends a call that must not repeat to the executor of its slot, whoever that is by then.
async fn call_once<P: Platform>(
    node: &Arc<Node<P>>,
    arrived: Arrived,
    key: String,
    rule: &ClassRule,
    arrival: Millis,
) -> CallOutcome {
    let deadline = arrival + rule.patience;
    let Arrived { request, customer, class, body, .. } = arrived;
    let mut call = Call { customer, class, key, request, body, waited: Millis(0) };
    let mut sent = false;
    loop {
        let now = node.clock.now();
        call.waited = now.since(arrival);
        let left = deadline.since(now);
        if left == Millis(0) {
            return CallOutcome::bare(if sent { ResultCode::ReplyLost } else { ResultCode::NoExecutor });
        }
        let slot = slot_of(call.digest(), node.settings.limits.slots);
        if let Some(executor) = node.view().executors.get(&slot).cloned() {
            let grounds = format!("slot {slot}, executor {executor}, waited {}", call.waited);
            node.decide(&call.request, Event::ExecutorChosen, grounds);
            sent = true;
            let outcome = if executor == node.me {
                with_timeout(left.into(), None, execute(node, call.clone())).await
            } else {
                let reply = execute_at(node, &executor.name, call.clone());
                with_timeout(left.into(), None, reply.or(replaced(node, slot, &executor))).await
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
        smol::Timer::after(EXECUTOR_RETRY).await;
    }
}

/// Returns once another daemon, or none, is known to execute `slot`.
async fn replaced<P: Platform>(node: &Node<P>, slot: SlotId, executor: &Member) -> Option<CallOutcome> {
    while node.view().executors.get(&slot) == Some(executor) {
        smol::Timer::after(EXECUTOR_CHECK).await;
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

/// Calls a service whose action may repeat, until it answers or the patience runs out.
async fn call_again<P: Platform>(
    node: &Arc<Node<P>>,
    arrived: &Arrived,
    rule: &ClassRule,
    arrival: Millis,
) -> CallOutcome {
    let deadline = arrival + rule.patience;
    let mut ran = false;
    node.count_attempt();
    let mut place = Place::open(node, place_request(node, arrived, rule, arrival, ran));
    loop {
        let left = deadline.since(node.clock.now());
        let late = Some(PlaceEvent::Refused { code: ResultCode::PatienceOver, retry: Millis(0) });
        let address = match with_timeout(left.into(), late, place.event()).await {
            Some(PlaceEvent::Granted { address, .. }) => address,
            Some(PlaceEvent::Refused { .. }) if ran => return CallOutcome::bare(ResultCode::ReplyLost),
            Some(PlaceEvent::Refused { code, retry }) => return CallOutcome { retry, ..CallOutcome::bare(code) },
            Some(PlaceEvent::Preempted) => continue,
            None => {
                place = Place::reopen(node, place_request(node, arrived, rule, arrival, ran));
                continue;
            }
        };
        let call = ServiceCall {
            request: arrived.request.clone(),
            class: arrived.class.to_string(),
            key: arrived.key.clone(),
            body: arrived.body.clone(),
            timeout: Millis(rule.target.0 / 2).max(SHORTEST_READ),
        };
        match node.platform.services().call(&address, &call).await {
            Ok(reply) => {
                place.end(Outcome::bare(EndKind::Done));
                return CallOutcome { status: reply.status, body: reply.body, ..CallOutcome::bare(ResultCode::Done) };
            }
            Err(error) => {
                ran = ran || error != HttpError::Refused;
                place.end(Outcome::bare(error.into()));
                if ran && !node.may_retry() {
                    return CallOutcome::bare(ResultCode::ReplyLost);
                }
                place = Place::open(node, place_request(node, arrived, rule, arrival, ran));
            }
        }
    }
}

fn place_request<P: Platform>(
    node: &Node<P>,
    arrived: &Arrived,
    rule: &ClassRule,
    arrival: Millis,
    ran: bool,
) -> PlaceRequest {
    let customer = arrived.customer.clone();
    PlaceRequest {
        request: arrived.request.clone(),
        fingerprint: Fingerprint::of(&[customer.as_str().as_bytes(), &arrived.body]),
        customer,
        class: arrived.class.clone(),
        upstream: rule.upstream.clone(),
        prefix: Fingerprint::default(),
        prompt_tokens: rule.prompt_tokens,
        waited: node.clock.now().since(arrival),
        holding: None,
        avoid: None,
        admitted: ran,
        zone: node.settings.zone.clone(),
    }
}
