//! A stand-in LLM engine: streams the tokens that its batch generates and reports its load.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, bounded, unbounded};
use futures_util::{StreamExt, TryStreamExt, stream};
use http_types::{Body, Method, Request, Response, StatusCode};
use smol::Timer;
use teaselcroft_router::engine::{GenerateWire, OrderWire, ReportWire};

use crate::batch::Batch;
use crate::recorder::RequestStart;
use crate::restartable_server::{RestartableServer, serve};
use crate::run_context::RunContext;
use crate::runner_configs::RunnerConfigs;
use crate::trace::TraceRequest;

/// How long the engine is down after a crash.
const RESTART_DELAY: Duration = Duration::from_millis(2_000);
/// Minimum time between two load snapshots while requests are present.
const SNAPSHOT_INTERVAL_MS: u64 = 50;
/// Length of the prompt, and of the answer, of a request from outside the trace.
const UNKNOWN_TOKENS: u32 = 20;
/// Number of load snapshots kept, so that reports can lag.
const MAX_SNAPSHOTS: usize = 400;

/// The load after a step.
#[derive(Debug, Clone, Copy, Default)]
struct Snapshot {
    at_ms: u64,
    running: u32,
    step_us: u64,
}

/// A stand-in engine with its batch, configurations and injected faults.
pub struct EngineServer {
    /// The name of the runner.
    pub name: String,
    context: Arc<RunContext>,
    batch: Mutex<Batch>,
    configs: RunnerConfigs,
    slowdown: Mutex<f64>,
    snapshots: Mutex<VecDeque<Snapshot>>,
    wake: Sender<()>,
    http_server: Mutex<Option<Arc<RestartableServer>>>,
}

impl EngineServer {
    /// Starts the engine on a free loopback port and its step loop.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub async fn start(
        context: Arc<RunContext>,
        name: String,
        places: u32,
        fencing: bool,
    ) -> io::Result<Arc<EngineServer>> {
        let (wake, wakeups) = bounded(1);
        let engine = Arc::new(EngineServer {
            configs: RunnerConfigs::new(name.clone(), fencing),
            name,
            context: context.clone(),
            batch: Mutex::new(Batch::new(places as usize)),
            slowdown: Mutex::new(1.0),
            snapshots: Mutex::default(),
            wake,
            http_server: Mutex::new(None),
        });
        let handler_engine = engine.clone();
        let handle = move |request| answer(handler_engine.clone(), request);
        let http_server = serve(context.executor.clone(), handle).await?;
        *engine.http_server.lock().unwrap_or_else(PoisonError::into_inner) = Some(http_server);
        context.executor.spawn(run_steps(engine.clone(), wakeups)).detach();
        Ok(engine)
    }

    /// The address that the VM list shows.
    pub fn address(&self) -> String {
        let http_server = self.http_server.lock().unwrap_or_else(PoisonError::into_inner);
        http_server.as_ref().map(|http_server| http_server.address.to_string()).unwrap_or_default()
    }

    /// Closes all connections and drops all requests, caches and configurations; restarts after a fixed delay.
    pub fn crash(self: &Arc<Self>) {
        let http_server = self.http_server.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(http_server) = http_server else {
            return;
        };
        http_server.crash();
        self.batch().clear();
        let engine = self.clone();
        let restart = async move {
            Timer::after(RESTART_DELAY).await;
            engine.configs.reset(&engine.context);
            http_server.start();
        };
        self.context.executor.spawn(restart).detach();
    }

    /// Makes each step `slowdown` times longer than usual.
    pub fn slow(&self, slowdown: f64) {
        *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner) = slowdown;
    }

    /// Stops sending on all open connections without closing them.
    pub fn silence(&self) {
        self.batch().silence();
    }

    fn batch(&self) -> std::sync::MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load that the router sees now: the latest snapshot that is at least `report_lag_ms` old.
    fn report(&self) -> ReportWire {
        let visible_ms = self.context.now_ms().saturating_sub(self.context.report_lag_ms());
        let snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = snapshots.iter().rev().find(|snapshot| snapshot.at_ms <= visible_ms).copied().unwrap_or_default();
        ReportWire { running: seen.running, step_us: seen.step_us, revisions: self.configs.revisions() }
    }

    fn snapshot(&self, step_us: u64) {
        let running = u32::try_from(self.batch().len()).unwrap_or(u32::MAX);
        let now = self.context.now_ms();
        let mut snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshots.back().is_some_and(|last| now < last.at_ms + SNAPSHOT_INTERVAL_MS && running > 0) {
            return;
        }
        snapshots.push_back(Snapshot { at_ms: now, running, step_us });
        if snapshots.len() > MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
    }

    /// Runs one step and returns its duration: zero if the engine crashed, `None` if it is idle.
    fn step(&self) -> Option<Duration> {
        let mut batch = self.batch();
        if batch.is_empty() {
            drop(batch);
            self.snapshot(0);
            return None;
        }
        let result = batch.step();
        drop(batch);
        if result.crashed {
            return Some(Duration::ZERO);
        }
        self.context.recorder.write(|records| {
            for id in &result.generated {
                *records.tokens.entry(id.clone()).or_default() += 1;
            }
        });
        let slowdown = *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner);
        let duration_us = (result.duration_us as f64 * slowdown) as u64;
        self.snapshot(duration_us);
        Some(Duration::from_micros(duration_us))
    }
}

async fn run_steps(engine: Arc<EngineServer>, wakeups: Receiver<()>) {
    loop {
        let began = Instant::now();
        match engine.step() {
            Some(Duration::ZERO) => engine.crash(),
            Some(duration) => {
                Timer::at(began + duration).await;
            }
            None => {
                if wakeups.recv().await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn answer(engine: Arc<EngineServer>, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/generate") => {
            let wire: GenerateWire = request.body_json().await?;
            Ok(generate(&engine, wire))
        }
        (Method::Delete, path) => {
            if let Some(id) = path.strip_prefix("/generate/") {
                engine.batch().cancel(id);
            }
            Ok(Response::new(StatusCode::Ok))
        }
        (Method::Get, "/report") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_json(&engine.report())?);
            Ok(response)
        }
        (Method::Post, "/orders") => {
            let order: OrderWire = request.body_json().await?;
            let applied = engine.configs.apply(&engine.context, order);
            Ok(Response::new(if applied { StatusCode::Ok } else { StatusCode::Conflict }))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// The request line assumed for a request from outside the trace, such as one sent by hand.
fn unknown_request(id: &str) -> TraceRequest {
    TraceRequest {
        at_ms: 0,
        id: id.to_owned(),
        customer: String::new(),
        class: String::new(),
        zone: String::new(),
        prompt_tokens: UNKNOWN_TOKENS,
        output_tokens: UNKNOWN_TOKENS,
        prefix: None,
        prefix_tokens: 0,
        key: None,
        poison: false,
        abandon_ms: None,
    }
}

fn generate(engine: &EngineServer, wire: GenerateWire) -> Response {
    let id = wire.request.to_string();
    let request = engine.context.request(&id).unwrap_or_else(|| Arc::new(unknown_request(&id)));
    let start = RequestStart {
        at_ms: engine.context.now_ms(),
        runner: engine.name.clone(),
        id: id.clone(),
        class: request.class.clone(),
        key: None,
        resume_from: wire.resume_from,
    };
    engine.context.recorder.write(|records| records.starts.push(start));
    let total = request.output_tokens.max(1);
    let (out, tokens) = unbounded();
    engine.batch().add(request, wire.priority, wire.resume_from, out);
    // A full channel means that the step loop is already signalled.
    let _ = engine.wake.try_send(());
    let events = tokens.map(move |i| {
        let end = if i + 1 == total { "data: [DONE]\n\n" } else { "" };
        Ok::<_, io::Error>(format!("data: {{\"i\":{i},\"t\":\"{id}#{i} \"}}\n\n{end}"))
    });
    let head = stream::iter([Ok(": begun\n\n".to_owned())]);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Box::pin(head.chain(events)).into_async_read(), None));
    response.insert_header("content-type", "text/event-stream");
    response
}
