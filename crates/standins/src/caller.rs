//! Simulated callers: they discover daemons, retry, and wait as refusals ask, as an ordinary client does.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::StreamExt;
use futures_lite::io::AsyncBufReadExt;
use http_types::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use smol::Timer;
use teaselcroft_parts::Millis;
use teaselcroft_policy::{ClassRule, UpstreamKind};
use teaselcroft_router::http_client::{HttpCall, with_timeout};

use crate::run_context::RunContext;
use crate::trace::TraceRequest;

/// A stream without a line for this long counts as broken.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before another attempt when the reply names none.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of prompt text for one token.
const TOKEN_BYTES: usize = 4;

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The complete answer to this request.
    Whole,
    /// An answer that is marked as complete but lacks tokens, or that belongs to another request.
    Wrong,
    /// A refusal with a result code, also one in the middle of a stream.
    Refused {
        /// The result code.
        code: u32,
        /// What the router says about execution: `ran`, `not-run` or `may-have-run`.
        ran: String,
        /// The delay before another attempt, in milliseconds, if the refusal invites one.
        retry_ms: Option<u64>,
    },
    /// The connection failed, broke or went silent, or its reply was unreadable.
    Broken,
}

/// One attempt to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The address of the daemon; empty if the caller gave up during its first attempt.
    pub address: String,
    /// When it was sent, in milliseconds from the start of the trace.
    pub sent_ms: u64,
    /// When the first token arrived; `None` for plain services.
    pub first_ms: Option<u64>,
    /// When it ended, in milliseconds from the start of the trace.
    pub ended_ms: u64,
    /// How it ended.
    pub reply: Reply,
}

/// What a caller saw of one request line.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request line.
    pub request: Arc<TraceRequest>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Whether its caller hung up before its patience ran out, as the trace demands.
    pub abandoned: bool,
}

#[derive(Debug, Clone, Deserialize)]
struct AddressesWire {
    keep_ms: u64,
    daemons: Vec<AddressWire>,
}

#[derive(Debug, Clone, Deserialize)]
struct AddressWire {
    address: String,
}

/// The callers of one customer in one zone; they share a list of daemon addresses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Origin {
    customer: String,
    zone: String,
}

/// A list of daemon addresses and how long it may be used.
struct CachedAddresses {
    addresses: Vec<String>,
    until_ms: u64,
    /// The index of the address used last.
    last: usize,
}

/// All callers of a run, with their cached addresses and records.
pub struct Callers {
    context: Arc<RunContext>,
    bootstrap: Vec<String>,
    cached: Mutex<HashMap<Origin, CachedAddresses>>,
    records: Mutex<Vec<CallerRecord>>,
    /// The daemon address of each request in progress, by request id.
    in_progress: Mutex<HashMap<String, String>>,
}

impl Callers {
    /// Callers that ask the daemons at the `bootstrap` addresses for the current address list.
    pub fn new(context: Arc<RunContext>, bootstrap: Vec<String>) -> Callers {
        Callers {
            context,
            bootstrap,
            cached: Mutex::default(),
            records: Mutex::default(),
            in_progress: Mutex::default(),
        }
    }

    /// The record of every finished request.
    pub fn records(&self) -> Vec<CallerRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The ids of the requests in progress at the daemon with this address.
    pub fn in_progress_at(&self, address: &str) -> Vec<String> {
        let in_progress = self.in_progress.lock().unwrap_or_else(PoisonError::into_inner);
        in_progress.iter().filter(|(_, at)| *at == address).map(|(id, _)| id.clone()).collect()
    }

    /// Sends a request, retrying until it is answered, its patience runs out or its caller hangs up, and records it.
    pub async fn send(&self, request: Arc<TraceRequest>, rule: &ClassRule) {
        let mut attempts = Vec::new();
        let patience = Duration::from(rule.patience);
        let limit = request.abandon_ms.map_or(patience, |abandon| patience.min(Duration::from_millis(abandon)));
        let sent_ms = self.context.now_ms();
        let ended = with_timeout(limit, false, async {
            self.try_until_answered(&request, rule, &mut attempts).await;
            true
        })
        .await;
        self.end_attempt(&request.id);
        let abandoned = !ended && request.abandon_ms.is_some_and(|abandon| abandon < patience.as_millis() as u64);
        if !ended {
            let now = self.context.now_ms();
            let unfinished =
                Attempt { address: String::new(), sent_ms, first_ms: None, ended_ms: now, reply: Reply::Broken };
            if attempts.is_empty() {
                attempts.push(unfinished);
            }
        }
        let record = CallerRecord { request, attempts, abandoned };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    async fn try_until_answered(&self, request: &TraceRequest, rule: &ClassRule, attempts: &mut Vec<Attempt>) {
        loop {
            let origin = Origin { customer: request.customer.clone(), zone: request.zone.clone() };
            let address = self.address(&origin, !attempts.is_empty()).await;
            let attempt = self.attempt(request, rule, address).await;
            let reply = attempt.reply.clone();
            attempts.push(attempt);
            match reply {
                Reply::Whole | Reply::Wrong => return,
                Reply::Refused { retry_ms: Some(retry), .. } => {
                    Timer::after(Duration::from_millis(retry)).await;
                }
                Reply::Refused { ran, .. } if ran != "may-have-run" || rule.never_repeat => return,
                // 2004 (`Condemned`): the request crashed every runner that executed it.
                Reply::Refused { code: 2004, .. } => return,
                Reply::Refused { .. } | Reply::Broken => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The address for the next attempt: a cached one, or after a failure one from a new list.
    async fn address(&self, origin: &Origin, refresh: bool) -> String {
        if !refresh && let Some(address) = self.cached_address(origin) {
            return address;
        }
        loop {
            let index = fastrand::usize(..self.bootstrap.len());
            if let Some(found) = fetch_addresses(&self.bootstrap[index], &origin.zone).await
                && !found.daemons.is_empty()
            {
                let addresses: Vec<String> = found.daemons.into_iter().map(|wire| wire.address).collect();
                let first = addresses[0].clone();
                let until_ms = self.context.now_ms() + found.keep_ms;
                let cached = CachedAddresses { addresses, until_ms, last: 0 };
                self.cached.lock().unwrap_or_else(PoisonError::into_inner).insert(origin.clone(), cached);
                return first;
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }

    fn cached_address(&self, origin: &Origin) -> Option<String> {
        let now = self.context.now_ms();
        let mut all = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = all.get_mut(origin).filter(|cached| now < cached.until_ms)?;
        cached.last = (cached.last + 1) % cached.addresses.len().min(2);
        Some(cached.addresses[cached.last].clone())
    }

    fn end_attempt(&self, id: &str) {
        self.in_progress.lock().unwrap_or_else(PoisonError::into_inner).remove(id);
    }

    async fn attempt(&self, request: &TraceRequest, rule: &ClassRule, address: String) -> Attempt {
        let sent_ms = self.context.now_ms();
        self.in_progress.lock().unwrap_or_else(PoisonError::into_inner).insert(request.id.clone(), address.clone());
        let mut first_ms = None;
        let reply = match rule.kind {
            UpstreamKind::Model => self.chat(request, &address, &mut first_ms).await,
            UpstreamKind::Service => call_service(request, &address).await,
        };
        self.end_attempt(&request.id);
        Attempt { address, sent_ms, first_ms, ended_ms: self.context.now_ms(), reply }
    }

    async fn chat(&self, request: &TraceRequest, address: &str, first_ms: &mut Option<u64>) -> Reply {
        let call = post(address, "/v1/chat/completions", request, chat_body(request));
        let Ok(mut response) = call.open().await else {
            return Reply::Broken;
        };
        if !response.status().is_success() {
            let body = response.body_bytes().await.unwrap_or_default();
            return parse_refusal(&body);
        }
        let mut lines = response.take_body().lines();
        let mut next = 0;
        loop {
            let line = with_timeout(STREAM_IDLE_TIMEOUT, None, lines.next()).await;
            let Some(Ok(line)) = line else {
                return Reply::Broken;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                let complete = next == request.output_tokens.max(1);
                return if complete { Reply::Whole } else { Reply::Wrong };
            }
            match parse_token(data) {
                Token::Text(text) if text == format!("{}#{next} ", request.id) => {
                    first_ms.get_or_insert_with(|| self.context.now_ms());
                    next += 1;
                }
                Token::Text(_) => return Reply::Wrong,
                Token::Error => return parse_refusal(data.as_bytes()),
                Token::Other => {}
            }
        }
    }
}

async fn fetch_addresses(address: &str, zone: &str) -> Option<AddressesWire> {
    let call = HttpCall::get(address, format!("/v1/addresses?zone={zone}"), Millis(1_000));
    let reply = call.send().await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// The bearer key of a customer, the same in every run.
pub fn customer_key(customer: &str) -> String {
    format!("customer-key-{customer}")
}

fn post(address: &str, path: &str, request: &TraceRequest, body: Vec<u8>) -> HttpCall {
    let mut headers = vec![
        ("authorization", format!("Bearer {}", customer_key(&request.customer))),
        ("x-request-id", request.id.clone()),
        ("content-type", "application/json".to_owned()),
    ];
    if let Some(key) = &request.key {
        headers.push(("idempotency-key", key.clone()));
    }
    let timeout = Millis(3_600_000);
    HttpCall { method: Method::Post, headers, body, ..HttpCall::get(address, path.to_owned(), timeout) }
}

fn chat_body(request: &TraceRequest) -> Vec<u8> {
    let prefix = request.prefix.as_deref().unwrap_or("none");
    let prefix_text = filler(prefix, request.prefix_tokens as usize * TOKEN_BYTES);
    let own_bytes = (request.prompt_tokens - request.prefix_tokens) as usize * TOKEN_BYTES;
    let own_text = filler(request.key.as_ref().unwrap_or(&request.id), own_bytes);
    let messages = json!([{ "role": "system", "content": prefix_text }, { "role": "user", "content": own_text }]);
    let body = json!({ "model": request.class, "stream": true, "messages": messages });
    body.to_string().into_bytes()
}

/// Text of about `bytes` bytes that begins with `word`.
fn filler(word: &str, bytes: usize) -> String {
    let mut text = format!("{word} ");
    while text.len() < bytes {
        text.push_str("reed ");
    }
    text
}

async fn call_service(request: &TraceRequest, address: &str) -> Reply {
    let body = json!({ "request": request.id }).to_string().into_bytes();
    let call = post(address, &format!("/v1/services/{}", request.class), request, body);
    let Ok(reply) = call.send().await else {
        return Reply::Broken;
    };
    if reply.status != 200 {
        return parse_refusal(&reply.body);
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let matches = match &request.key {
        Some(key) => answer["key"] == json!(key),
        None => answer["id"] == json!(request.id),
    };
    if matches { Reply::Whole } else { Reply::Wrong }
}

enum Token {
    Text(String),
    Error,
    Other,
}

fn parse_token(data: &str) -> Token {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    if chunk.get("error").is_some() {
        return Token::Error;
    }
    match chunk["choices"][0]["delta"]["content"].as_str() {
        Some(text) => Token::Text(text.to_owned()),
        None => Token::Other,
    }
}

fn parse_refusal(body: &[u8]) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let Some(code) = error["code"].as_u64() else {
        return Reply::Broken;
    };
    let retry = error["retry_after_ms"].as_u64().filter(|retry| *retry > 0);
    let ran = error["ran"].as_str().unwrap_or_default().to_owned();
    Reply::Refused { code: u32::try_from(code).unwrap_or(u32::MAX), ran, retry_ms: retry }
}
