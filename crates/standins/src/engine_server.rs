//! A stand-in model engine.

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
use crate::recorder::Start;
use crate::restartable_server::{Lifeline, serve};
use crate::run_context::World;
use crate::runner_configs::Orders;
use crate::trace::TraceRequest;

const RESTART: Duration = Duration::from_millis(2_000);
const SNAPSHOT_EVERY_MS: u64 = 50;
/// The size of a prompt and of its answer that no trace tells of.
const UNKNOWN_TOKENS: u32 = 20;

const SNAPSHOTS: usize = 400;

#[derive(Debug, Clone, Copy, Default)]
struct Snapshot {
    at_ms: u64,
    running: u32,
    step_us: u64,
}

/// A stand-in engine's state and faults.
pub struct EngineServer {
    /// Its name.
    pub name: String,
    world: Arc<World>,
    batch: Mutex<Batch>,
    orders: Orders,
    factor: Mutex<f64>,
    snapshots: Mutex<VecDeque<Snapshot>>,
    wake: Sender<()>,
    lifeline: Mutex<Option<Arc<Lifeline>>>,
}

impl EngineServer {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(world: Arc<World>, name: String, places: u32, fencing: bool) -> io::Result<Arc<EngineServer>> {
        let (wake, woken) = bounded(1);
        let engine = Arc::new(EngineServer {
            orders: Orders::new(name.clone(), fencing),
            name,
            world: world.clone(),
            batch: Mutex::new(Batch::new(places as usize)),
            factor: Mutex::new(1.0),
            snapshots: Mutex::default(),
            wake,
            lifeline: Mutex::new(None),
        });
        let answering = engine.clone();
        let handle = move |request| answer(answering.clone(), request);
        let lifeline = serve(world.executor.clone(), handle).await?;
        *engine.lifeline.lock().unwrap_or_else(PoisonError::into_inner) = Some(lifeline);
        world.executor.spawn(run_steps(engine.clone(), woken)).detach();
        Ok(engine)
    }

    /// Its address.
    pub fn address(&self) -> String {
        let lifeline = self.lifeline.lock().unwrap_or_else(PoisonError::into_inner);
        lifeline.as_ref().map(|lifeline| lifeline.address.to_string()).unwrap_or_default()
    }

    /// Crashes and restarts a while later.
    pub fn crash(self: &Arc<Self>) {
        let lifeline = self.lifeline.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(lifeline) = lifeline else {
            return;
        };
        lifeline.crash();
        self.batch().clear();
        let engine = self.clone();
        let restart = async move {
            Timer::after(RESTART).await;
            engine.orders.forget(&engine.world);
            lifeline.start();
        };
        self.world.executor.spawn(restart).detach();
    }

    /// Becomes `factor` times slower.
    pub fn slow(&self, factor: f64) {
        *self.factor.lock().unwrap_or_else(PoisonError::into_inner) = factor;
    }

    /// Makes its open connections silent for good.
    pub fn silence(&self) {
        self.batch().mute();
    }

    fn batch(&self) -> std::sync::MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> ReportWire {
        let shown = self.world.now_ms().saturating_sub(self.world.report_lag_ms());
        let snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = snapshots.iter().rev().find(|snapshot| snapshot.at_ms <= shown).copied().unwrap_or_default();
        ReportWire { running: seen.running, step_us: seen.step_us, revisions: self.orders.revisions() }
    }

    fn snapshot(&self, step_us: u64) {
        let running = u32::try_from(self.batch().len()).unwrap_or(u32::MAX);
        let now = self.world.now_ms();
        let mut snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshots.back().is_some_and(|last| now < last.at_ms + SNAPSHOT_EVERY_MS && running > 0) {
            return;
        }
        snapshots.push_back(Snapshot { at_ms: now, running, step_us });
        if snapshots.len() > SNAPSHOTS {
            snapshots.pop_front();
        }
    }

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
        self.world.ledger.write(|records| {
            for id in &result.generated {
                *records.tokens.entry(id.clone()).or_default() += 1;
            }
        });
        let factor = *self.factor.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = (result.micros as f64 * factor) as u64;
        self.snapshot(micros);
        Some(Duration::from_micros(micros))
    }
}

async fn run_steps(engine: Arc<EngineServer>, woken: Receiver<()>) {
    loop {
        let began = Instant::now();
        match engine.step() {
            Some(Duration::ZERO) => engine.crash(),
            Some(span) => {
                Timer::at(began + span).await;
            }
            None => {
                if woken.recv().await.is_err() {
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
            let obeyed = engine.orders.obey(&engine.world, order);
            Ok(Response::new(if obeyed { StatusCode::Ok } else { StatusCode::Conflict }))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// A request that no trace tells of, as when a person tries the system.
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
    let request = engine.world.request(&id).unwrap_or_else(|| Arc::new(unknown_request(&id)));
    let start = Start {
        at_ms: engine.world.now_ms(),
        runner: engine.name.clone(),
        id: id.clone(),
        class: request.class.clone(),
        key: None,
        resume_from: wire.resume_from,
    };
    engine.world.ledger.write(|records| records.starts.push(start));
    let total = request.output_tokens.max(1);
    let (out, tokens) = unbounded();
    engine.batch().add(request, wire.priority, wire.resume_from, out);
    // The step loop is already awake if its signal is full.
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
