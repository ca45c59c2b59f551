//! Serves callers' connections.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use crate::body_memory::BodyShare;
use crate::caller::Caller;
use crate::dialect::Dialect;
use crate::forward::{Ending, Forwarder};
use crate::gateway::Gateway;
use crate::http::{BodyReader, HeadError, Inbound, Reply, RequestHead, linger_close, request_body};
use crate::job::Job;
use crate::metrics::EndLabels;
use crate::{CallerLimits, Configuration, Event, record};

/// How long a connection without a request stays open after a planned stop began.
const IDLE_AFTER_STOP: Duration = Duration::from_millis(1_200);

/// How long a caller may take to read the last bytes of a connection that is closed.
const LINGER: Duration = Duration::from_millis(1_500);

/// The longest time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// How much later than its route's timeout a request ends here, so that the runner's own answer goes first.
const TIMEOUT_MARGIN: Millis = Millis(60);

/// When callers may come back to a daemon that has no configuration yet.
const RETRY_START: Duration = Duration::from_millis(300);

/// When callers of a daemon that stops may come back, to another one.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Bytes of further requests that are read while one is being served.
const MOST_PIPELINED: usize = 64 * 1024;

/// What a connection brings next.
enum Next {
    Request(RequestHead),
    Bad(Reply),
    Over,
}

/// Serves one caller's connection until it ends.
pub async fn serve_caller<D: Dialect>(gate: Arc<Gateway<D>>, mut inbound: Inbound) {
    loop {
        let limits = gate.configuration().map(|current| current.limits.clone()).unwrap_or_default();
        match next_request(&gate, &mut inbound, &limits).await {
            Next::Request(head) => {
                if !exchange(&gate, &mut inbound, head, &limits).await {
                    break;
                }
            }
            Next::Bad(reply) => {
                // The connection ends here whether or not the caller reads why.
                let _sent = (&**inbound.socket()).write_all(&reply.encode(false)).await;
                break;
            }
            Next::Over => break,
        }
    }
    linger_close(inbound, LINGER).await;
}

async fn next_request<D: Dialect>(gate: &Gateway<D>, inbound: &mut Inbound, limits: &CallerLimits) -> Next {
    loop {
        match RequestHead::parse(inbound.bytes(), limits.head_bytes) {
            Ok(Some((head, used))) => {
                inbound.consume(used);
                return Next::Request(head);
            }
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Next::Bad(Reply::text(431, "the head is too large\n")),
            Err(HeadError::Malformed) => return Next::Bad(Reply::text(400, "the request cannot be read\n")),
        }
        let is_idle = inbound.bytes().is_empty();
        let time = if is_idle { limits.idle_time } else { limits.head_time };
        let late = async {
            let stop = async {
                gate.stopped().await;
                Timer::after(IDLE_AFTER_STOP).await;
            };
            let timeout = async {
                Timer::after(time.into()).await;
            };
            or(stop, timeout).await;
            None
        };
        let filled = or(async { Some(inbound.fill().await) }, late).await;
        match filled {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return Next::Over,
            None if is_idle => return Next::Over,
            None => return Next::Bad(Reply::text(408, "the head did not arrive in time\n")),
        }
    }
}

/// Serves one request; true if the connection carries on.
async fn exchange<D: Dialect>(
    gate: &Arc<Gateway<D>>,
    inbound: &mut Inbound,
    head: RequestHead,
    limits: &CallerLimits,
) -> bool {
    let arrived = gate.now();
    gate.enter();
    let mut share = gate.bodies.share();
    let body = read_body(&mut share, inbound, &head, limits).await;
    let keep_alive = head.keeps_alive() && !gate.is_stopping() && body.is_ok();
    let caller = Caller::new(inbound.socket().clone(), keep_alive, head.is_http11);
    let prepared = body.and_then(|body| prepare(gate, head, body, arrived));
    let ending = match prepared {
        Ok(job) => carry(gate, inbound, &caller, job).await,
        Err(Some(reply)) => caller.reply(&reply).await.map_or(Ending::CallerLeft, |()| Ending::Refused),
        Err(None) => Ending::CallerLeft,
    };
    drop(share);
    gate.leave();
    let is_complete = !matches!(ending, Ending::Cut | Ending::CallerLeft);
    is_complete && caller.keep_alive()
}

/// Reads a request's body; the error is the answer to give, or `None` if the caller is gone.
async fn read_body(
    share: &mut BodyShare<'_>,
    inbound: &mut Inbound,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Vec<u8>, Option<Reply>> {
    let length = request_body(head).map_err(|_| Some(Reply::text(400, "the body's length is ambiguous\n")))?;
    let mut reader = BodyReader::new(length);
    let mut body = Vec::new();
    if reader.is_done() {
        return Ok(body);
    }
    if head.fields.has_token("expect", "100-continue") && inbound.bytes().is_empty() {
        let interim = (&**inbound.socket()).write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| None)?;
    }
    let read = async {
        while reader.next(inbound, &mut body).await.map_err(|_| None)? {
            if body.len() > limits.body_bytes {
                return Err(Some(Reply::text(413, "the body is too large\n")));
            }
            if !share.grow_to(body.len() as u64) {
                return Err(Some(Reply {
                    retry_after: Some(RETRY_START),
                    ..Reply::text(503, "not run; out of memory\n")
                }));
            }
        }
        Ok(())
    };
    or(read, async {
        Timer::after(BODY_TIME).await;
        Err(Some(Reply::text(408, "the body did not arrive in time\n")))
    })
    .await?;
    Ok(body)
}

/// Finds the request's route and customer; the error is the answer to give.
fn prepare<D: Dialect>(
    gate: &Gateway<D>,
    head: RequestHead,
    body: Vec<u8>,
    arrived: Millis,
) -> Result<Job, Option<Reply>> {
    let caller = gate.dialect.caller(&head.fields);
    let Some(configuration) = gate.configuration() else {
        record!(Event::Rejected, request = caller.request, status = 503, reason = "no configuration yet");
        let reply = Reply::text(503, "not run; no configuration yet\n");
        return Err(Some(Reply { retry_after: Some(RETRY_START), ..reply }));
    };
    let deny = |status: u16, reason: &str| {
        record!(
            Event::Rejected,
            request = caller.request,
            status = status,
            reason = reason,
            version = configuration.version
        );
        Some(Reply::text(status, reason))
    };
    let mut hosts = head.fields.all("host");
    let (Some(host), None) = (hosts.next().and_then(|host| std::str::from_utf8(host).ok()), hosts.next()) else {
        return Err(deny(400, "one host is needed\n"));
    };
    let route = configuration.routes.find(host.trim(), head.path()).cloned();
    drop(hosts);
    let Some(route) = route else {
        return Err(deny(404, "no route\n"));
    };
    if !gate.takes(route.timeout) {
        record!(Event::Rejected, request = caller.request, service = route.name, reason = "this daemon stops");
        let reply = Reply::text(503, "not run; this daemon stops\n");
        return Err(Some(Reply { retry_after: Some(RETRY_ELSEWHERE), ..reply }));
    }
    let customer = customer_of(&configuration, caller.key.as_deref()).cloned();
    if configuration.needs_key && !route.is_public && customer.is_none() {
        return Err(deny(401, "unknown key\n"));
    }
    let Some(service) = route.service(fastrand::u32(..)).cloned() else {
        return Err(deny(503, "not run; the route has no service\n"));
    };
    let timeout = arrived + route.timeout + TIMEOUT_MARGIN;
    let deadline = caller.patience.map_or(timeout, |patience| timeout.min(arrived + patience));
    Ok(Job { head, body, caller, route, service, customer, arrived, deadline, tried: Vec::new() })
}

fn customer_of<'a>(configuration: &'a Configuration, key: Option<&str>) -> Option<&'a crate::Customer> {
    configuration.customers.get(key?)
}

async fn carry<D: Dialect>(gate: &Gateway<D>, inbound: &mut Inbound, caller: &Caller, job: Job) -> Ending {
    let (deadline, arrived, kind) = (job.deadline, job.arrived, job.route.kind);
    let mut forwarder = Forwarder::new(gate, caller, job);
    let left = deadline.since(gate.now());
    let timeout = async {
        Timer::after(left.into()).await;
        Ending::TimedOut
    };
    let gone = async {
        caller_gone(inbound).await;
        Ending::CallerLeft
    };
    let mut ending = or(forwarder.run(), or(gone, timeout)).await;
    if ending == Ending::TimedOut {
        ending = time_out(caller).await;
    }
    let took = gate.now().since(arrived);
    gate.metrics.ended.get_or_create(&EndLabels { kind: kind.name(), outcome: ending.name() }).inc();
    gate.metrics.seconds.observe(took.0 as f64 / 1_000.0);
    let event = if ending == Ending::CallerLeft { Event::CallerLeft } else { Event::RequestEnded };
    record!(
        event,
        request = forwarder.job.caller.request,
        route = forwarder.job.route.name,
        outcome = ending.name(),
        took = took
    );
    ending
}

/// Tells a caller whose time ran out: a request that was never sent has not run.
async fn time_out(caller: &Caller) -> Ending {
    if caller.is_started() {
        return Ending::Cut;
    }
    let reply = if caller.is_offered() {
        Reply::text(504, "no answer in time\n")
    } else {
        Reply::text(503, "not run; no runner in time\n")
    };
    caller.reply(&reply).await.map_or(Ending::CallerLeft, |()| Ending::TimedOut)
}

/// Returns when the caller closes its connection; bytes of further requests are kept.
async fn caller_gone(inbound: &mut Inbound) {
    while inbound.bytes().len() < MOST_PIPELINED {
        if !inbound.fill().await.is_ok_and(|count| count > 0) {
            return;
        }
    }
    std::future::pending().await
}
