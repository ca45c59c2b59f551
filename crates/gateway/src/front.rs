//! Serves callers' connections: reads requests, routes them and has them forwarded.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use crate::body_memory::BodyReservation;
use crate::caller::Caller;
use crate::dialect::Dialect;
use crate::forward::{Ending, Forwarder};
use crate::gateway::Gateway;
use crate::http::{BodyReader, Connection, HeadError, Reply, RequestHead, linger_close, request_body};
use crate::job::Job;
use crate::metrics::RequestLabels;
use crate::{CallerLimits, Configuration, Event, log_event};

/// How long a connection without a complete request stays open after a planned stop began.
const IDLE_TIMEOUT_AFTER_STOP: Duration = Duration::from_millis(1_200);

/// How long a closing connection waits for the caller to read the last bytes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest time for a whole request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Added to the route's timeout, so that the runner's own timeout answer arrives before the gateway gives up.
const TIMEOUT_MARGIN: Millis = Millis(60);

/// `Retry-After` while there is no configuration yet or no memory for another body.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);

/// `Retry-After` while this daemon stops; the caller then reaches another one.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// Bytes of pipelined requests that are buffered while one is being served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// What came next on a connection.
enum NextRequest {
    Request(RequestHead),
    Invalid(Reply),
    Closed,
}

/// Serves the requests of one caller's connection in order until the connection closes.
pub async fn serve_caller<D: Dialect>(gateway: &Arc<Gateway<D>>, mut connection: Connection) {
    loop {
        let limits = gateway.configuration().map(|current| current.limits.clone()).unwrap_or_default();
        match next_request(gateway, &mut connection, &limits).await {
            NextRequest::Request(head) => {
                if !serve_request(gateway, &mut connection, head, &limits).await {
                    break;
                }
            }
            NextRequest::Invalid(reply) => {
                // The connection closes in any case, so a failed write does not matter.
                let _sent = (&**connection.socket()).write_all(&reply.encode(false)).await;
                break;
            }
            NextRequest::Closed => break,
        }
    }
    linger_close(connection, LINGER_TIMEOUT).await;
}

async fn next_request<D: Dialect>(
    gateway: &Gateway<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> NextRequest {
    loop {
        match RequestHead::parse(connection.bytes(), limits.head_bytes) {
            Ok(Some((head, used))) => {
                connection.consume(used);
                return NextRequest::Request(head);
            }
            Ok(None) => {}
            Err(HeadError::TooLarge) => return NextRequest::Invalid(Reply::text(431, "the head is too large\n")),
            Err(HeadError::Malformed) => return NextRequest::Invalid(Reply::text(400, "the request cannot be read\n")),
        }
        let is_idle = connection.bytes().is_empty();
        let limit = if is_idle { limits.idle_time } else { limits.head_time };
        let give_up = async {
            let stop = async {
                gateway.wait_for_stop().await;
                Timer::after(IDLE_TIMEOUT_AFTER_STOP).await;
            };
            let timeout = async {
                Timer::after(limit.into()).await;
            };
            or(stop, timeout).await;
            None
        };
        let filled = or(async { Some(connection.fill().await) }, give_up).await;
        match filled {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return NextRequest::Closed,
            None if is_idle => return NextRequest::Closed,
            None => return NextRequest::Invalid(Reply::text(408, "the head did not arrive in time\n")),
        }
    }
}

/// Serves one request; returns whether the connection stays open for another.
async fn serve_request<D: Dialect>(
    gateway: &Arc<Gateway<D>>,
    connection: &mut Connection,
    head: RequestHead,
    limits: &CallerLimits,
) -> bool {
    let arrived = gateway.now();
    let in_flight = gateway.begin_request();
    let mut reservation = gateway.body_memory.reservation();
    let body = read_body(&mut reservation, connection, &head, limits).await;
    let keep_alive = head.keeps_alive() && !gateway.is_stopping() && body.is_ok();
    let caller = Caller::new(connection.socket().clone(), keep_alive, head.is_http11);
    let prepared = body.and_then(|body| route_request(gateway, head, body, arrived));
    let ending = match prepared {
        Ok(job) => forward(gateway, connection, &caller, job).await,
        Err(Some(reply)) => caller.reply(&reply).await.map_or(Ending::CallerLeft, |()| Ending::Refused),
        Err(None) => Ending::CallerLeft,
    };
    drop(reservation);
    drop(in_flight);
    let is_complete = !matches!(ending, Ending::Truncated | Ending::CallerLeft);
    is_complete && caller.keep_alive()
}

/// Reads a request's body into `reservation`; the error is the answer to send, or `None` if the caller is gone.
async fn read_body(
    reservation: &mut BodyReservation<'_>,
    connection: &mut Connection,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Vec<u8>, Option<Reply>> {
    let length = request_body(head).map_err(|_| Some(Reply::text(400, "the body's length is ambiguous\n")))?;
    let mut reader = BodyReader::new(length);
    let mut body = Vec::new();
    if reader.is_done() {
        return Ok(body);
    }
    if head.fields.has_token("expect", "100-continue") && connection.bytes().is_empty() {
        let interim = (&**connection.socket()).write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| None)?;
    }
    let read = async {
        while reader.next(connection, &mut body).await.map_err(|_| None)? {
            if body.len() > limits.body_bytes {
                return Err(Some(Reply::text(413, "the body is too large\n")));
            }
            if !reservation.grow_to(body.len() as u64) {
                return Err(Some(Reply {
                    retry_after: Some(RETRY_AFTER_START),
                    ..Reply::text(503, "not run; out of memory\n")
                }));
            }
        }
        Ok(())
    };
    or(read, async {
        Timer::after(BODY_TIMEOUT).await;
        Err(Some(Reply::text(408, "the body did not arrive in time\n")))
    })
    .await?;
    Ok(body)
}

/// Finds the request's route, service and customer and checks its key; the error is the answer to send.
fn route_request<D: Dialect>(
    gateway: &Gateway<D>,
    head: RequestHead,
    body: Vec<u8>,
    arrived: Millis,
) -> Result<Job, Option<Reply>> {
    let caller_fields = gateway.dialect.caller(&head.fields);
    let Some(configuration) = gateway.configuration() else {
        log_event!(Event::Rejected, request = caller_fields.request_id, status = 503, reason = "no configuration yet");
        let reply = Reply::text(503, "not run; no configuration yet\n");
        return Err(Some(Reply { retry_after: Some(RETRY_AFTER_START), ..reply }));
    };
    let reject = |status: u16, reason: &str| {
        log_event!(
            Event::Rejected,
            request = caller_fields.request_id,
            status = status,
            reason = reason,
            version = configuration.version
        );
        Some(Reply::text(status, reason))
    };
    let mut hosts = head.fields.all("host");
    let (Some(host), None) = (hosts.next().and_then(|host| std::str::from_utf8(host).ok()), hosts.next()) else {
        return Err(reject(400, "one host is needed\n"));
    };
    let route = configuration.routes.find(host.trim(), head.path()).cloned();
    drop(hosts);
    let Some(route) = route else {
        return Err(reject(404, "no route\n"));
    };
    if !gateway.admits(route.timeout) {
        log_event!(
            Event::Rejected,
            request = caller_fields.request_id,
            service = route.name,
            reason = "this daemon stops"
        );
        let reply = Reply::text(503, "not run; this daemon stops\n");
        return Err(Some(Reply { retry_after: Some(RETRY_AFTER_STOP), ..reply }));
    }
    let customer = customer_of(&configuration, caller_fields.key.as_deref()).cloned();
    if configuration.needs_key && !route.is_public && customer.is_none() {
        return Err(reject(401, "unknown key\n"));
    }
    let Some(service) = route.service(fastrand::u32(..)).cloned() else {
        return Err(reject(503, "not run; the route has no service\n"));
    };
    let timeout = arrived + route.timeout + TIMEOUT_MARGIN;
    let deadline = caller_fields.max_wait.map_or(timeout, |max_wait| timeout.min(arrived + max_wait));
    Ok(Job { head, body, caller_fields, route, service, customer, arrived, deadline, tried: Vec::new() })
}

fn customer_of<'a>(configuration: &'a Configuration, key: Option<&str>) -> Option<&'a crate::Customer> {
    configuration.customers.get(key?)
}

async fn forward<D: Dialect>(gateway: &Gateway<D>, connection: &mut Connection, caller: &Caller, job: Job) -> Ending {
    let (deadline, arrived, kind) = (job.deadline, job.arrived, job.route.kind);
    let mut forwarder = Forwarder::new(gateway, caller, job);
    let left = deadline.since(gateway.now());
    let timeout = async {
        Timer::after(left.into()).await;
        Ending::TimedOut
    };
    let disconnect = async {
        wait_for_disconnect(connection).await;
        Ending::CallerLeft
    };
    let mut ending = or(forwarder.run(), or(disconnect, timeout)).await;
    if ending == Ending::TimedOut {
        ending = reply_timeout(caller).await;
    }
    let took = gateway.now().since(arrived);
    gateway.metrics.requests.get_or_create(&RequestLabels { kind: kind.name(), outcome: ending.name() }).inc();
    gateway.metrics.seconds.observe(took.0 as f64 / 1_000.0);
    let event = if ending == Ending::CallerLeft { Event::CallerLeft } else { Event::RequestEnded };
    log_event!(
        event,
        request = forwarder.job.caller_fields.request_id,
        route = forwarder.job.route.name,
        outcome = ending.name(),
        took = took
    );
    ending
}

/// Answers a caller whose deadline passed: 504 if a runner may have executed the request, else 503.
async fn reply_timeout(caller: &Caller) -> Ending {
    if caller.is_started() {
        return Ending::Truncated;
    }
    let reply = if caller.is_dispatched() {
        Reply::text(504, "no answer in time\n")
    } else {
        Reply::text(503, "not run; no runner in time\n")
    };
    caller.reply(&reply).await.map_or(Ending::CallerLeft, |()| Ending::TimedOut)
}

/// Returns when the caller closes its connection; bytes of pipelined requests stay buffered.
async fn wait_for_disconnect(connection: &mut Connection) {
    while connection.bytes().len() < MAX_PIPELINED_BYTES {
        if !connection.fill().await.is_ok_and(|count| count > 0) {
            return;
        }
    }
    std::future::pending().await
}
