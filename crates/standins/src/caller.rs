//! Callers that behave as ordinary clients do.

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

use crate::run_context::World;
use crate::trace::TraceRequest;

const SILENT: Duration = Duration::from_secs(60);
const ASK_AGAIN: Duration = Duration::from_millis(100);
const TOKEN_BYTES: usize = 4;

/// What one attempt brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The whole own answer.
    Whole,
    /// An answer that claims to be whole and is not this request's.
    Wrong,
    /// A refusal.
    Refused {
        /// The result code.
        code: u32,
        /// Whether it ran, in the router's words.
        ran: String,
        /// When to try again, if the refusal says so.
        retry_ms: Option<u64>,
    },
    /// The connection was not made or broke.
    Broken,
}

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The address it went to.
    pub address: String,
    /// When it was sent, in milliseconds from the start of the trace.
    pub sent_ms: u64,
    /// When the first token came.
    pub first_ms: Option<u64>,
    /// When it ended.
    pub ended_ms: u64,
    /// What it brought.
    pub reply: Reply,
}

/// What a caller saw of one request line.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The request.
    pub request: Arc<TraceRequest>,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// Whether its caller hung up.
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

/// A customer's callers in one zone; they share what they were told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Origin {
    customer: String,
    zone: String,
}

struct Kept {
    addresses: Vec<String>,
    until_ms: u64,
    next: usize,
}

/// The callers of all zones.
pub struct Callers {
    world: Arc<World>,
    bootstrap: Vec<String>,
    kept: Mutex<HashMap<Origin, Kept>>,
    records: Mutex<Vec<CallRecord>>,
    open: Mutex<HashMap<String, String>>,
}

impl Callers {
    /// Callers that know the addresses in `bootstrap` to ask.
    pub fn new(world: Arc<World>, bootstrap: Vec<String>) -> Callers {
        Callers { world, bootstrap, kept: Mutex::default(), records: Mutex::default(), open: Mutex::default() }
    }

    /// What the callers saw.
    pub fn records(&self) -> Vec<CallRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The requests in progress at the daemon with this address.
    pub fn in_progress_at(&self, address: &str) -> Vec<String> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.iter().filter(|(_, at)| *at == address).map(|(id, _)| id.clone()).collect()
    }

    /// Sends a request until it has an answer, its patience runs out or its caller hangs up.
    pub async fn send(&self, request: Arc<TraceRequest>, rule: &ClassRule) {
        let mut attempts = Vec::new();
        let patience = Duration::from(rule.patience);
        let limit = request.abandon_ms.map_or(patience, |abandon| patience.min(Duration::from_millis(abandon)));
        let sent_ms = self.world.now_ms();
        let ended = with_timeout(limit, false, async {
            self.try_until_answered(&request, rule, &mut attempts).await;
            true
        })
        .await;
        self.close(&request.id);
        let abandoned = !ended && request.abandon_ms.is_some_and(|abandon| abandon < patience.as_millis() as u64);
        if !ended {
            let now = self.world.now_ms();
            let cut = Attempt { address: String::new(), sent_ms, first_ms: None, ended_ms: now, reply: Reply::Broken };
            if attempts.is_empty() {
                attempts.push(cut);
            }
        }
        let record = CallRecord { request, attempts, abandoned };
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
                Reply::Refused { code: 2004, .. } => return,
                Reply::Refused { .. } | Reply::Broken => {
                    Timer::after(ASK_AGAIN).await;
                }
            }
        }
    }

    /// An address to use: a kept one, or after a failure a newly asked one.
    async fn address(&self, origin: &Origin, ask_again: bool) -> String {
        if !ask_again && let Some(address) = self.kept_address(origin) {
            return address;
        }
        loop {
            let index = fastrand::usize(..self.bootstrap.len());
            if let Some(found) = ask(&self.bootstrap[index], &origin.zone).await
                && !found.daemons.is_empty()
            {
                let addresses: Vec<String> = found.daemons.into_iter().map(|wire| wire.address).collect();
                let first = addresses[0].clone();
                let until_ms = self.world.now_ms() + found.keep_ms;
                let kept = Kept { addresses, until_ms, next: 0 };
                self.kept.lock().unwrap_or_else(PoisonError::into_inner).insert(origin.clone(), kept);
                return first;
            }
            Timer::after(ASK_AGAIN).await;
        }
    }

    fn kept_address(&self, origin: &Origin) -> Option<String> {
        let now = self.world.now_ms();
        let mut all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = all.get_mut(origin).filter(|kept| now < kept.until_ms)?;
        kept.next = (kept.next + 1) % kept.addresses.len().min(2);
        Some(kept.addresses[kept.next].clone())
    }

    fn close(&self, id: &str) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(id);
    }

    async fn attempt(&self, request: &TraceRequest, rule: &ClassRule, address: String) -> Attempt {
        let sent_ms = self.world.now_ms();
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(request.id.clone(), address.clone());
        let mut first_ms = None;
        let reply = match rule.kind {
            UpstreamKind::Model => self.chat(request, &address, &mut first_ms).await,
            UpstreamKind::Service => service(request, &address).await,
        };
        self.close(&request.id);
        Attempt { address, sent_ms, first_ms, ended_ms: self.world.now_ms(), reply }
    }

    async fn chat(&self, request: &TraceRequest, address: &str, first_ms: &mut Option<u64>) -> Reply {
        let call = post(address, "/v1/chat/completions", request, chat_body(request));
        let Ok(mut response) = call.open().await else {
            return Reply::Broken;
        };
        if !response.status().is_success() {
            let body = response.body_bytes().await.unwrap_or_default();
            return refusal(&body);
        }
        let mut lines = response.take_body().lines();
        let mut next = 0;
        loop {
            let line = with_timeout(SILENT, None, lines.next()).await;
            let Some(Ok(line)) = line else {
                return Reply::Broken;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                let whole = next == request.output_tokens.max(1);
                return if whole { Reply::Whole } else { Reply::Wrong };
            }
            match token_of(data) {
                Token::Text(text) if text == format!("{}#{next} ", request.id) => {
                    first_ms.get_or_insert_with(|| self.world.now_ms());
                    next += 1;
                }
                Token::Text(_) => return Reply::Wrong,
                Token::Error => return refusal(data.as_bytes()),
                Token::Other => {}
            }
        }
    }
}

async fn ask(address: &str, zone: &str) -> Option<AddressesWire> {
    let call = HttpCall::get(address, format!("/v1/addresses?zone={zone}"), Millis(1_000));
    let reply = call.send().await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// The bearer key of a customer in every run of the stand-ins.
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
    let head = filler(prefix, request.prefix_tokens as usize * TOKEN_BYTES);
    let rest = (request.prompt_tokens - request.prefix_tokens) as usize * TOKEN_BYTES;
    let own = filler(request.key.as_ref().unwrap_or(&request.id), rest);
    let messages = json!([{ "role": "system", "content": head }, { "role": "user", "content": own }]);
    let body = json!({ "model": request.class, "stream": true, "messages": messages });
    body.to_string().into_bytes()
}

/// Text that begins with `word` and has about `bytes` bytes.
fn filler(word: &str, bytes: usize) -> String {
    let mut text = format!("{word} ");
    while text.len() < bytes {
        text.push_str("reed ");
    }
    text
}

async fn service(request: &TraceRequest, address: &str) -> Reply {
    let body = json!({ "request": request.id }).to_string().into_bytes();
    let call = post(address, &format!("/v1/services/{}", request.class), request, body);
    let Ok(reply) = call.send().await else {
        return Reply::Broken;
    };
    if reply.status != 200 {
        return refusal(&reply.body);
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let own = match &request.key {
        Some(key) => answer["key"] == json!(key),
        None => answer["id"] == json!(request.id),
    };
    if own { Reply::Whole } else { Reply::Wrong }
}

enum Token {
    Text(String),
    Error,
    Other,
}

fn token_of(data: &str) -> Token {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    if chunk.get("error").is_some() {
        return Token::Error;
    }
    match chunk["choices"][0]["delta"]["content"].as_str() {
        Some(text) => Token::Text(text.to_owned()),
        None => Token::Other,
    }
}

fn refusal(body: &[u8]) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let Some(code) = error["code"].as_u64() else {
        return Reply::Broken;
    };
    let retry = error["retry_after_ms"].as_u64().filter(|retry| *retry > 0);
    let ran = error["ran"].as_str().unwrap_or_default().to_owned();
    Reply::Refused { code: u32::try_from(code).unwrap_or(u32::MAX), ran, retry_ms: retry }
}
