//! A stand-in for a plain service: answers each call after a fixed time and records what it executed.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::{Body, Method, Request, Response, StatusCode};
use smol::Timer;
use teaselcroft_router::engine::{OrderWire, ReportWire};

use crate::recorder::RequestStart;
use crate::restartable_server::{RestartableServer, serve};
use crate::run_context::RunContext;
use crate::runner_configs::RunnerConfigs;

/// Duration of one call at the usual speed.
const CALL_MS: u64 = 30;
/// How long the service is down after a crash.
const RESTART_DELAY: Duration = Duration::from_millis(2_000);

/// A stand-in service with its configurations and injected faults.
pub struct ServiceServer {
    /// The name of the runner.
    pub name: String,
    context: Arc<RunContext>,
    configs: RunnerConfigs,
    running: AtomicU64,
    /// Counts the times that connections were silenced; a call that saw an earlier count never replies.
    silence_epoch: AtomicU64,
    slowdown: Mutex<f64>,
    down: AtomicBool,
    http_server: Mutex<Option<Arc<RestartableServer>>>,
}

impl ServiceServer {
    /// Starts the service on a free loopback port.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub async fn start(context: Arc<RunContext>, name: String, fencing: bool) -> io::Result<Arc<ServiceServer>> {
        let service = Arc::new(ServiceServer {
            configs: RunnerConfigs::new(name.clone(), fencing),
            name,
            context: context.clone(),
            running: AtomicU64::new(0),
            silence_epoch: AtomicU64::new(0),
            slowdown: Mutex::new(1.0),
            down: AtomicBool::new(false),
            http_server: Mutex::new(None),
        });
        let handler_service = service.clone();
        let handle = move |request| answer(handler_service.clone(), request);
        let http_server = serve(context.executor.clone(), handle).await?;
        *service.http_server.lock().unwrap_or_else(PoisonError::into_inner) = Some(http_server);
        Ok(service)
    }

    /// The address that the VM list shows.
    pub fn address(&self) -> String {
        let http_server = self.http_server.lock().unwrap_or_else(PoisonError::into_inner);
        http_server.as_ref().map(|http_server| http_server.address.to_string()).unwrap_or_default()
    }

    /// Closes all connections and drops all configurations; restarts after a fixed delay.
    pub fn crash(self: &Arc<Self>) {
        let http_server = self.http_server.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(http_server) = http_server else {
            return;
        };
        http_server.crash();
        self.down.store(true, Ordering::Release);
        let service = self.clone();
        let restart = async move {
            Timer::after(RESTART_DELAY).await;
            service.configs.reset(&service.context);
            service.down.store(false, Ordering::Release);
            http_server.start();
        };
        self.context.executor.spawn(restart).detach();
    }

    /// Makes each call `slowdown` times longer than usual.
    pub fn slow(&self, slowdown: f64) {
        *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner) = slowdown;
    }

    /// Lets the calls in progress run without ever replying.
    pub fn silence(&self) {
        self.silence_epoch.fetch_add(1, Ordering::AcqRel);
    }

    async fn call(&self, mut request: Request) -> http_types::Result<Response> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let id = header("x-request-id").unwrap_or_default();
        let key = header("idempotency-key");
        let class = header("x-request-class").unwrap_or_default();
        let body = request.body_string().await?;
        let start = RequestStart {
            at_ms: self.context.now_ms(),
            runner: self.name.clone(),
            id: id.clone(),
            class,
            key: key.clone(),
            resume_from: 0,
        };
        self.context.recorder.write(|records| records.starts.push(start));
        let epoch = self.silence_epoch.load(Ordering::Acquire);
        self.running.fetch_add(1, Ordering::AcqRel);
        let slowdown = *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner);
        Timer::after(Duration::from_millis((CALL_MS as f64 * slowdown) as u64)).await;
        self.running.fetch_sub(1, Ordering::AcqRel);
        if self.silence_epoch.load(Ordering::Acquire) != epoch {
            std::future::pending::<()>().await;
        }
        let mut response = Response::new(StatusCode::Ok);
        let reply = serde_json::json!({ "id": id, "key": key, "echo": body });
        response.set_body(Body::from_json(&reply)?);
        Ok(response)
    }

    fn report(&self) -> ReportWire {
        let running = self.running.load(Ordering::Acquire);
        let slowdown = *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner);
        ReportWire {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            step_us: (CALL_MS as f64 * 1_000.0 * slowdown) as u64,
            revisions: self.configs.revisions(),
        }
    }
}

async fn answer(service: Arc<ServiceServer>, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/call") => service.call(request).await,
        (Method::Get, "/report") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_json(&service.report())?);
            Ok(response)
        }
        (Method::Post, "/orders") => {
            let order: OrderWire = request.body_json().await?;
            let applied = service.configs.apply(&service.context, order);
            Ok(Response::new(if applied { StatusCode::Ok } else { StatusCode::Conflict }))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}
