//! A stand-in for the platform's key-value service, with injected outages, delays and lost replies.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol::Timer;

use crate::restartable_server::{RestartableServer, serve};
use crate::run_context::RunContext;

/// How often a watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(20);
/// How often a request that hangs in an outage checks whether it is over.
const OUTAGE_POLL: Duration = Duration::from_millis(50);
/// The usual latency of a request.
const REPLY_DELAY: Duration = Duration::from_millis(2);

/// A value and the store version of its last write.
#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    value: String,
}

#[derive(Debug, Default)]
struct Store {
    version: u64,
    keys: BTreeMap<String, Entry>,
}

#[derive(Serialize)]
struct WatchEntry<'a> {
    key: &'a str,
    version: u64,
    value: &'a str,
}

/// The stored keys and the injected faults, whose ends are in milliseconds since the start of the trace.
pub struct KvServer {
    context: Arc<RunContext>,
    store: Mutex<Store>,
    down_until: AtomicU64,
    slow_until: AtomicU64,
    slow_ms: AtomicU64,
    lose_replies_until: AtomicU64,
}

impl KvServer {
    /// Starts the service on a free loopback port.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub async fn start(context: Arc<RunContext>) -> io::Result<(Arc<KvServer>, Arc<RestartableServer>)> {
        let server = Arc::new(KvServer {
            context: context.clone(),
            store: Mutex::default(),
            down_until: AtomicU64::new(0),
            slow_until: AtomicU64::new(0),
            slow_ms: AtomicU64::new(0),
            lose_replies_until: AtomicU64::new(0),
        });
        let handler_server = server.clone();
        let handle = move |request| answer(handler_server.clone(), request);
        let http_server = serve(context.executor.clone(), handle).await?;
        Ok((server, http_server))
    }

    /// Begins an outage of `for_ms`: requests hang until it ends and then fail; watches in progress fail at once.
    pub fn go_down(&self, for_ms: u64) {
        self.down_until.store(self.context.now_ms() + for_ms, Ordering::Release);
    }

    /// Delays each request by `delay_ms` during the next `for_ms`.
    pub fn go_slow(&self, delay_ms: u64, for_ms: u64) {
        self.slow_ms.store(delay_ms, Ordering::Release);
        self.slow_until.store(self.context.now_ms() + for_ms, Ordering::Release);
    }

    /// Carries out writes but closes the connection without a reply during the next `for_ms`.
    pub fn lose_replies(&self, for_ms: u64) {
        self.lose_replies_until.store(self.context.now_ms() + for_ms, Ordering::Release);
    }

    fn is_within(&self, until: &AtomicU64) -> bool {
        self.context.now_ms() < until.load(Ordering::Acquire)
    }

    fn get(&self, key: &str) -> Response {
        self.context.recorder.write(|records| records.store.reads += 1);
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match store.keys.get(key) {
            Some(entry) => entry_response(StatusCode::Ok, entry),
            None => Response::new(StatusCode::NotFound),
        }
    }

    /// Writes `key` if it is at version `expected`, where 0 means that it does not exist.
    fn swap(&self, key: &str, expected: u64, value: String) -> Response {
        self.context.recorder.write(|records| records.store.writes += 1);
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = store.keys.get(key);
        if entry.map_or(0, |entry| entry.version) != expected {
            return match entry {
                Some(entry) => entry_response(StatusCode::Conflict, entry),
                None => Response::new(StatusCode::Conflict),
            };
        }
        store.version += 1;
        let version = store.version;
        store.keys.insert(key.to_owned(), Entry { version, value });
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("x-version", version.to_string());
        response
    }

    /// Long poll: replies when keys under `prefix` have versions above `after`, or with an empty list after `wait_ms`.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> http_types::Result<Response> {
        self.context.recorder.write(|records| records.store.watches += 1);
        let until = self.context.now_ms() + wait_ms;
        loop {
            if self.is_within(&self.down_until) {
                return drop_connection();
            }
            if let Some(found) = self.changes(prefix, after) {
                return Ok(found);
            }
            if self.context.now_ms() >= until {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body("[]");
                return Ok(response);
            }
            Timer::after(WATCH_POLL).await;
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<Response> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = store.keys.iter().filter(|(key, entry)| key.starts_with(prefix) && entry.version > after);
        let changes: Vec<WatchEntry<'_>> =
            changes.map(|(key, entry)| WatchEntry { key, version: entry.version, value: &entry.value }).collect();
        if changes.is_empty() {
            return None;
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(serde_json::to_string(&changes).unwrap_or_default());
        Some(response)
    }
}

fn entry_response(status: StatusCode, entry: &Entry) -> Response {
    let mut response = Response::new(status);
    response.insert_header("x-version", entry.version.to_string());
    response.set_body(entry.value.clone());
    response
}

/// Makes the HTTP server close the connection without a reply.
fn drop_connection() -> http_types::Result<Response> {
    Err(http_types::Error::from_str(StatusCode::ServiceUnavailable, "down"))
}

/// The query parameter `name` as a number; 0 if it is absent or invalid.
fn query_number(request: &Request, name: &str) -> u64 {
    let found = request.url().query_pairs().find(|(key, _)| key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

async fn answer(server: Arc<KvServer>, mut request: Request) -> http_types::Result<Response> {
    if server.is_within(&server.down_until) {
        while server.is_within(&server.down_until) {
            Timer::after(OUTAGE_POLL).await;
        }
        return drop_connection();
    }
    if server.is_within(&server.slow_until) {
        Timer::after(Duration::from_millis(server.slow_ms.load(Ordering::Acquire))).await;
    }
    Timer::after(REPLY_DELAY).await;
    let path = request.url().path().to_owned();
    if let Some(prefix) = path.strip_prefix("/watch/") {
        return server.watch(prefix, query_number(&request, "after"), query_number(&request, "wait_ms")).await;
    }
    let Some(key) = path.strip_prefix("/kv/") else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    match request.method() {
        Method::Get => Ok(server.get(key)),
        Method::Put => {
            let expected = query_number(&request, "expected");
            let value = request.body_string().await?;
            let response = server.swap(key, expected, value);
            if server.is_within(&server.lose_replies_until) {
                return drop_connection();
            }
            Ok(response)
        }
        _ => Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
}
