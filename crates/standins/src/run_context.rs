//! State that all stand-ins and callers of one run share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use smol::Executor;
use teaselcroft_router::vm_list::Vms;

use crate::recorder::Recorder;
use crate::trace::TraceRequest;

/// The executor, clock, recorder, requests and VM list of one run.
pub struct RunContext {
    /// The executor that runs the stand-ins and callers.
    pub executor: Arc<Executor<'static>>,
    /// What the stand-ins observed.
    pub recorder: Recorder,
    started: Mutex<Instant>,
    requests: Mutex<HashMap<String, Arc<TraceRequest>>>,
    /// Every version of the VM list with its time in milliseconds, oldest first.
    vms: Mutex<Vec<(u64, Vms)>>,
    /// The age of load reports until `lag_until_ms`, set by an injected fault.
    lag_ms: AtomicU64,
    lag_until_ms: AtomicU64,
}

/// How far the VM list that readers see is behind the current one.
const VM_LIST_LAG_MS: u64 = 500;
/// How old a load report is when nothing delays it further.
const REPORT_LAG_MS: u64 = 300;

impl RunContext {
    /// The state before a trace starts; the clock already runs, from now.
    pub fn new(executor: Arc<Executor<'static>>) -> RunContext {
        RunContext {
            executor,
            recorder: Recorder::default(),
            started: Mutex::new(Instant::now()),
            requests: Mutex::default(),
            vms: Mutex::default(),
            lag_ms: AtomicU64::new(0),
            lag_until_ms: AtomicU64::new(0),
        }
    }

    /// Restarts the clock: the trace starts now.
    pub fn restart_clock(&self) {
        *self.started.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Milliseconds since the start of the trace.
    pub fn now_ms(&self) -> u64 {
        let started = *self.started.lock().unwrap_or_else(PoisonError::into_inner);
        u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Makes a request known to the engines, which read its output length and faults from it.
    ///
    /// The router has no access to it.
    pub fn register(&self, request: TraceRequest) -> Arc<TraceRequest> {
        let request = Arc::new(request);
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.insert(request.id.clone(), request.clone());
        request
    }

    /// The registered request called `id`; `None` for requests from outside the trace.
    pub fn request(&self, id: &str) -> Option<Arc<TraceRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    /// Changes the VM list; readers see the change after `VM_LIST_LAG_MS`.
    pub fn change_vms(&self, change: impl FnOnce(&mut Vms)) {
        let mut history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = history.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        change(&mut vms);
        history.push((self.now_ms(), vms));
    }

    /// The VM list as readers see it now, `VM_LIST_LAG_MS` behind.
    pub fn lagged_vms(&self) -> Vms {
        let visible_ms = self.now_ms().saturating_sub(VM_LIST_LAG_MS);
        let history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = history.iter().rev().find(|(at, _)| *at <= visible_ms).or(history.first());
        seen.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// The current VM list, without lag.
    pub fn vms(&self) -> Vms {
        let history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        history.last().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Makes the load reports of engines `delay_ms` old during the next `for_ms`.
    pub fn delay_reports(&self, delay_ms: u64, for_ms: u64) {
        self.lag_ms.store(delay_ms, Ordering::Release);
        self.lag_until_ms.store(self.now_ms() + for_ms, Ordering::Release);
    }

    /// The present age of the load reports of engines, in milliseconds.
    pub fn report_lag_ms(&self) -> u64 {
        if self.now_ms() < self.lag_until_ms.load(Ordering::Acquire) {
            return self.lag_ms.load(Ordering::Acquire);
        }
        REPORT_LAG_MS
    }
}
