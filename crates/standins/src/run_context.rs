//! What all stand-ins of one run share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use smol::Executor;
use teaselcroft_router::vm_list::Vms;

use crate::recorder::Ledger;
use crate::trace::TraceRequest;

/// What all stand-ins of one run share.
pub struct World {
    /// Runs the stand-ins and callers.
    pub executor: Arc<Executor<'static>>,
    /// What the stand-ins saw.
    pub ledger: Ledger,
    started: Mutex<Instant>,
    requests: Mutex<HashMap<String, Arc<TraceRequest>>>,
    vms: Mutex<Vec<(u64, Vms)>>,
    reports_lag: AtomicU64,
    reports_lag_until: AtomicU64,
}

const VM_LIST_LAG_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 300;

impl World {
    /// A world whose trace has not begun.
    pub fn new(executor: Arc<Executor<'static>>) -> World {
        World {
            executor,
            ledger: Ledger::default(),
            started: Mutex::new(Instant::now()),
            requests: Mutex::default(),
            vms: Mutex::default(),
            reports_lag: AtomicU64::new(0),
            reports_lag_until: AtomicU64::new(0),
        }
    }

    /// Sets the start of the trace to now.
    pub fn begin(&self) {
        *self.started.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Milliseconds since the start of the trace.
    pub fn now_ms(&self) -> u64 {
        let started = *self.started.lock().unwrap_or_else(PoisonError::into_inner);
        u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells the engines of a request; the router never learns of it.
    pub fn know(&self, request: TraceRequest) -> Arc<TraceRequest> {
        let request = Arc::new(request);
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.insert(request.id.clone(), request.clone());
        request
    }

    /// What is known of the request called `id`.
    pub fn request(&self, id: &str) -> Option<Arc<TraceRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    /// Changes the VM list; readers see it later.
    pub fn change_vms(&self, change: impl FnOnce(&mut Vms)) {
        let mut history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = history.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        change(&mut vms);
        history.push((self.now_ms(), vms));
    }

    /// The VM list as readers see it now.
    pub fn lagging_vms(&self) -> Vms {
        let shown = self.now_ms().saturating_sub(VM_LIST_LAG_MS);
        let history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = history.iter().rev().find(|(at, _)| *at <= shown).or(history.first());
        seen.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// The VM list as it is.
    pub fn vms(&self) -> Vms {
        let history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        history.last().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Makes load reports lag by `delay_ms` for `for_ms`.
    pub fn lag_reports(&self, delay_ms: u64, for_ms: u64) {
        self.reports_lag.store(delay_ms, Ordering::Release);
        self.reports_lag_until.store(self.now_ms() + for_ms, Ordering::Release);
    }

    /// How far load reports lag now.
    pub fn report_lag_ms(&self) -> u64 {
        if self.now_ms() < self.reports_lag_until.load(Ordering::Acquire) {
            return self.reports_lag.load(Ordering::Acquire);
        }
        REPORT_LAG_MS
    }
}
