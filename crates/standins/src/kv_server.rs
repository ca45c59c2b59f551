//! A stand-in for the platform's key-value service that misbehaves on demand.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol::Timer;

use crate::restartable_server::{Lifeline, serve};
use crate::run_context::World;

const WATCH_CHECK: Duration = Duration::from_millis(20);
const DOWN_CHECK: Duration = Duration::from_millis(50);
const ANSWER: Duration = Duration::from_millis(2);

#[derive(Debug, Clone)]
struct Held {
    version: u64,
    value: String,
}

#[derive(Debug, Default)]
struct Store {
    version: u64,
    keys: BTreeMap<String, Held>,
}

#[derive(Serialize)]
struct Watched<'a> {
    key: &'a str,
    version: u64,
    value: &'a str,
}

/// The stand-in's state and faults.
pub struct KvServer {
    world: Arc<World>,
    store: Mutex<Store>,
    down_until: AtomicU64,
    slow_until: AtomicU64,
    slow_ms: AtomicU64,
    mute_until: AtomicU64,
}

impl KvServer {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(world: Arc<World>) -> io::Result<(Arc<KvServer>, Arc<Lifeline>)> {
        let server = Arc::new(KvServer {
            world: world.clone(),
            store: Mutex::default(),
            down_until: AtomicU64::new(0),
            slow_until: AtomicU64::new(0),
            slow_ms: AtomicU64::new(0),
            mute_until: AtomicU64::new(0),
        });
        let answering = server.clone();
        let handle = move |request| answer(answering.clone(), request);
        let lifeline = serve(world.executor.clone(), handle).await?;
        Ok((server, lifeline))
    }

    /// Answers nothing for `for_ms`.
    pub fn go_down(&self, for_ms: u64) {
        self.down_until.store(self.world.now_ms() + for_ms, Ordering::Release);
    }

    /// Answers `delay_ms` late for `for_ms`.
    pub fn go_slow(&self, delay_ms: u64, for_ms: u64) {
        self.slow_ms.store(delay_ms, Ordering::Release);
        self.slow_until.store(self.world.now_ms() + for_ms, Ordering::Release);
    }

    /// Carries out writes without a reply for `for_ms`.
    pub fn lose_replies(&self, for_ms: u64) {
        self.mute_until.store(self.world.now_ms() + for_ms, Ordering::Release);
    }

    fn is_within(&self, until: &AtomicU64) -> bool {
        self.world.now_ms() < until.load(Ordering::Acquire)
    }

    fn get(&self, key: &str) -> Response {
        self.world.ledger.write(|records| records.store.reads += 1);
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match store.keys.get(key) {
            Some(held) => held_response(StatusCode::Ok, held),
            None => Response::new(StatusCode::NotFound),
        }
    }

    fn swap(&self, key: &str, expected: u64, value: String) -> Response {
        self.world.ledger.write(|records| records.store.writes += 1);
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let held = store.keys.get(key);
        if held.map_or(0, |held| held.version) != expected {
            return match held {
                Some(held) => held_response(StatusCode::Conflict, held),
                None => Response::new(StatusCode::Conflict),
            };
        }
        store.version += 1;
        let version = store.version;
        store.keys.insert(key.to_owned(), Held { version, value });
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("x-version", version.to_string());
        response
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> http_types::Result<Response> {
        self.world.ledger.write(|records| records.store.watches += 1);
        let until = self.world.now_ms() + wait_ms;
        loop {
            if self.is_within(&self.down_until) {
                return dropped();
            }
            if let Some(found) = self.newer(prefix, after) {
                return Ok(found);
            }
            if self.world.now_ms() >= until {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body("[]");
                return Ok(response);
            }
            Timer::after(WATCH_CHECK).await;
        }
    }

    fn newer(&self, prefix: &str, after: u64) -> Option<Response> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = store.keys.iter().filter(|(key, held)| key.starts_with(prefix) && held.version > after);
        let newer: Vec<Watched<'_>> =
            newer.map(|(key, held)| Watched { key, version: held.version, value: &held.value }).collect();
        if newer.is_empty() {
            return None;
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(serde_json::to_string(&newer).unwrap_or_default());
        Some(response)
    }
}

fn held_response(status: StatusCode, held: &Held) -> Response {
    let mut response = Response::new(status);
    response.insert_header("x-version", held.version.to_string());
    response.set_body(held.value.clone());
    response
}

fn dropped() -> http_types::Result<Response> {
    Err(http_types::Error::from_str(StatusCode::ServiceUnavailable, "down"))
}

fn number(request: &Request, name: &str) -> u64 {
    let found = request.url().query_pairs().find(|(key, _)| key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

async fn answer(server: Arc<KvServer>, mut request: Request) -> http_types::Result<Response> {
    if server.is_within(&server.down_until) {
        while server.is_within(&server.down_until) {
            Timer::after(DOWN_CHECK).await;
        }
        return dropped();
    }
    if server.is_within(&server.slow_until) {
        Timer::after(Duration::from_millis(server.slow_ms.load(Ordering::Acquire))).await;
    }
    Timer::after(ANSWER).await;
    let path = request.url().path().to_owned();
    if let Some(prefix) = path.strip_prefix("/watch/") {
        return server.watch(prefix, number(&request, "after"), number(&request, "wait_ms")).await;
    }
    let Some(key) = path.strip_prefix("/kv/") else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    match request.method() {
        Method::Get => Ok(server.get(key)),
        Method::Put => {
            let expected = number(&request, "expected");
            let value = request.body_string().await?;
            let response = server.swap(key, expected, value);
            if server.is_within(&server.mute_until) {
                return dropped();
            }
            Ok(response)
        }
        _ => Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
}
