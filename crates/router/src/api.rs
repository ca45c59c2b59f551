//! The HTTP API for callers and operators: routing, authentication and body limits.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use teaselcroft_parts::{CustomerName, Millis, RequestId, ZoneName};
use teaselcroft_policy::{AddressBook, ResultCode};

use crate::http_client::with_timeout;
use crate::node::Node;
use crate::platform::Platform;
use crate::service_api::IncomingCall;
use crate::{admin, chat_api, reply, service_api};

const SERVICE_PREFIX: &str = "/v1/services/";
const ADMIN_PREFIX: &str = "/admin/";

#[derive(Serialize)]
struct AddressesWire {
    keep_ms: u64,
    daemons: Vec<AddressWire>,
}

#[derive(Serialize)]
struct AddressWire {
    name: String,
    zone: String,
    address: String,
}

/// Accepts connections from callers and operators until the daemon ends.
pub async fn serve_callers<P: Platform>(node: Arc<Node<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let serve = serve_connection(node.clone(), stream);
        node.traffic.spawn(serve).detach();
    }
}

async fn serve_connection<P: Platform>(node: Arc<Node<P>>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handle = |request| {
        let node = node.clone();
        let stream = stream.clone();
        async move { Ok(route(node, request, stream).await) }
    };
    if let Err(error) = async_h1::accept(stream.clone(), handle).await {
        log::debug!("caller connection ended: {error}");
    }
}

async fn route<P: Platform>(node: Arc<Node<P>>, request: Request, stream: TcpStream) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/v1/addresses") => addresses(&node, &request),
        (Method::Get, "/healthz") => Response::new(StatusCode::Ok),
        (Method::Get, "/readyz") => ready(&node),
        (Method::Get, "/metrics") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(node.metrics.text());
            response
        }
        (Method::Post, "/v1/chat/completions") => serve_traffic(node, request, stream, Target::Chat).await,
        (Method::Post, path) if path.starts_with(SERVICE_PREFIX) => {
            let class = path[SERVICE_PREFIX.len()..].to_owned();
            serve_traffic(node, request, stream, Target::Service(class)).await
        }
        (_, path) if path.starts_with(ADMIN_PREFIX) => admin::serve(node, request).await,
        _ => reply::refusal(ResultCode::UnknownPath, Millis(0)),
    }
}

fn addresses<P: Platform>(node: &Node<P>, request: &Request) -> Response {
    let zone_parameter = request.url().query_pairs().find(|(name, _)| name == "zone");
    let zone: Option<ZoneName> = zone_parameter.and_then(|(_, zone)| zone.parse().ok());
    let zone = zone.unwrap_or_else(|| node.settings.zone.clone());
    let book = AddressBook::new(Millis(node.settings.limits.keep_ms));
    let mut rng = fastrand::Rng::new();
    let answer = book.answer(&zone, node.snapshot().entry_points.clone(), &mut rng);
    let daemons = answer.entries.into_iter().map(|entry| AddressWire {
        name: entry.name.into(),
        zone: entry.zone.into(),
        address: entry.address,
    });
    reply::json(StatusCode::Ok, &AddressesWire { keep_ms: answer.keep.0, daemons: daemons.collect() })
}

fn ready<P: Platform>(node: &Node<P>) -> Response {
    let serves = !node.is_stopping() && !node.snapshot().classes.revisions().is_empty();
    Response::new(if serves { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
}

enum Target {
    Chat,
    Service(String),
}

async fn serve_traffic<P: Platform>(
    node: Arc<Node<P>>,
    mut request: Request,
    stream: TcpStream,
    target: Target,
) -> Response {
    if node.is_stopping() {
        return with_connection_close(reply::refusal(stopping_code(&node, &target), Millis(1)));
    }
    let Some(customer) = customer_of(&node, &request) else {
        return with_connection_close(reply::refusal(ResultCode::BadKey, Millis(0)));
    };
    let limit = node.settings.limits.body_bytes;
    let body = match read_body(&mut request, limit, Millis(node.settings.limits.body_ms)).await {
        Ok(body) => body,
        Err(code) => return with_connection_close(reply::refusal(code, Millis(0))),
    };
    let sent_id = header(&request, "x-request-id");
    let key = header(&request, "idempotency-key").or_else(|| sent_id.clone());
    let sent_id = sent_id.or_else(|| key.clone());
    let id = sent_id.and_then(|id| RequestId::try_from(id).ok()).unwrap_or_else(random_id);
    let work = async {
        match target {
            Target::Chat => chat_api::complete(node, id, customer, &body).await,
            Target::Service(class) => {
                let Ok(class) = class.parse() else {
                    return reply::refusal(ResultCode::UnknownClass, Millis(0));
                };
                service_api::call(node, IncomingCall { request: id, customer, class, key, body }).await
            }
        }
    };
    let disconnected = async {
        wait_for_disconnect(&stream).await;
        with_connection_close(Response::new(StatusCode::InternalServerError))
    };
    work.or(disconnected).await
}

/// The code for a request that arrives during a planned stop. An at-most-once call gets
/// `NoExecutor`, because an earlier attempt of it may have run elsewhere.
fn stopping_code<P: Platform>(node: &Node<P>, target: &Target) -> ResultCode {
    let Target::Service(class) = target else {
        return ResultCode::Stopping;
    };
    let class = class.parse().ok();
    let never_repeat =
        class.is_some_and(|class| node.snapshot().classes.rule(&class).is_some_and(|rule| rule.never_repeat));
    if never_repeat { ResultCode::NoExecutor } else { ResultCode::Stopping }
}

fn with_connection_close(mut response: Response) -> Response {
    response.insert_header("connection", "close");
    response
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.as_str().to_owned())
}

fn random_id() -> RequestId {
    let text = format!("auto-{:016x}", fastrand::u64(..));
    // The generated text is short and holds no control character, so it is always valid.
    RequestId::try_from(text).unwrap_or_else(|_| unreachable!("a generated request id is a valid name"))
}

/// The customer whose key the request carries. Compares every key, so that timing does not reveal which
/// one matched.
fn customer_of<P: Platform>(node: &Node<P>, request: &Request) -> Option<CustomerName> {
    let authorization = header(request, "authorization")?;
    let offered = authorization.strip_prefix("Bearer ")?;
    let mut found = None;
    for customer in &node.settings.customers {
        if customer.key.matches(offered) {
            found = Some(customer.name.clone());
        }
    }
    found
}

async fn read_body(request: &mut Request, limit: usize, timeout: Millis) -> Result<Vec<u8>, ResultCode> {
    if request.len().is_some_and(|length| length > limit) {
        return Err(ResultCode::BodyTooLarge);
    }
    let mut body = Vec::new();
    let read = async {
        let mut limited = request.take_body().take(limit as u64 + 1);
        limited.read_to_end(&mut body).await.map_err(|_| ResultCode::Malformed)
    };
    with_timeout(Duration::from(timeout), Err(ResultCode::SlowSender), read).await?;
    if body.len() > limit {
        return Err(ResultCode::BodyTooLarge);
    }
    Ok(body)
}

/// Returns once the caller has closed its connection; never returns if the caller sends more data first.
async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
