//! A stand-in plain service that keeps a ledger of what it ran.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::{Body, Method, Request, Response, StatusCode};
use smol::Timer;
use teaselcroft_router::engine::{OrderWire, ReportWire};

use crate::recorder::Start;
use crate::restartable_server::{Lifeline, serve};
use crate::run_context::World;
use crate::runner_configs::Orders;

const CALL_MS: u64 = 30;
const RESTART: Duration = Duration::from_millis(2_000);

/// A stand-in service's state and faults.
pub struct ServiceServer {
    /// Its name.
    pub name: String,
    world: Arc<World>,
    orders: Orders,
    running: AtomicU64,
    silent_epoch: AtomicU64,
    factor: Mutex<f64>,
    down: AtomicBool,
    lifeline: Mutex<Option<Arc<Lifeline>>>,
}

impl ServiceServer {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(world: Arc<World>, name: String, fencing: bool) -> io::Result<Arc<ServiceServer>> {
        let service = Arc::new(ServiceServer {
            orders: Orders::new(name.clone(), fencing),
            name,
            world: world.clone(),
            running: AtomicU64::new(0),
            silent_epoch: AtomicU64::new(0),
            factor: Mutex::new(1.0),
            down: AtomicBool::new(false),
            lifeline: Mutex::new(None),
        });
        let answering = service.clone();
        let handle = move |request| answer(answering.clone(), request);
        let lifeline = serve(world.executor.clone(), handle).await?;
        *service.lifeline.lock().unwrap_or_else(PoisonError::into_inner) = Some(lifeline);
        Ok(service)
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
        self.down.store(true, Ordering::Release);
        let service = self.clone();
        let restart = async move {
            Timer::after(RESTART).await;
            service.orders.forget(&service.world);
            service.down.store(false, Ordering::Release);
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
        self.silent_epoch.fetch_add(1, Ordering::AcqRel);
    }

    async fn call(&self, mut request: Request) -> http_types::Result<Response> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let id = header("x-request-id").unwrap_or_default();
        let key = header("idempotency-key");
        let class = header("x-request-class").unwrap_or_default();
        let body = request.body_string().await?;
        let start = Start {
            at_ms: self.world.now_ms(),
            runner: self.name.clone(),
            id: id.clone(),
            class,
            key: key.clone(),
            resume_from: 0,
        };
        self.world.ledger.write(|records| records.starts.push(start));
        let epoch = self.silent_epoch.load(Ordering::Acquire);
        self.running.fetch_add(1, Ordering::AcqRel);
        let factor = *self.factor.lock().unwrap_or_else(PoisonError::into_inner);
        Timer::after(Duration::from_millis((CALL_MS as f64 * factor) as u64)).await;
        self.running.fetch_sub(1, Ordering::AcqRel);
        if self.silent_epoch.load(Ordering::Acquire) != epoch {
            std::future::pending::<()>().await;
        }
        let mut response = Response::new(StatusCode::Ok);
        let reply = serde_json::json!({ "id": id, "key": key, "echo": body });
        response.set_body(Body::from_json(&reply)?);
        Ok(response)
    }

    fn report(&self) -> ReportWire {
        let running = self.running.load(Ordering::Acquire);
        let factor = *self.factor.lock().unwrap_or_else(PoisonError::into_inner);
        ReportWire {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            step_us: (CALL_MS as f64 * 1_000.0 * factor) as u64,
            revisions: self.orders.revisions(),
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
            let obeyed = service.orders.obey(&service.world, order);
            Ok(Response::new(if obeyed { StatusCode::Ok } else { StatusCode::Conflict }))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}
