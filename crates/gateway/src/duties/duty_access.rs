//! The state that the driver and the duties share.

use std::fmt;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use teaselcroft_parts::{DutyHolder, DutyTimes, FencingToken};

use super::{CallLedger, DutyError, DutyRate, boot_time};
use crate::Settings;
use crate::control_api::{ControlApi, ControlError};
use crate::metrics::{Metrics, RefusalLabels};
use crate::store::Store;

/// The key that the holder of the duties owns, under its lease.
pub const HOLDER_KEY: &str = "teaselcroft/duties/holder";

/// The key that lists the last holders of the duties.
pub const HISTORY_KEY: &str = "teaselcroft/duties/history";

/// The state that the driver and the duties share.
pub struct DutyAccess<C, S> {
    store: Arc<S>,
    control: C,
    metrics: Arc<Metrics>,
    times: DutyTimes,
    holder: Mutex<DutyHolder>,
    rate: Mutex<DutyRate>,
    ledger: Mutex<CallLedger>,
    /// The token with which this daemon acts.
    acting: Mutex<Option<FencingToken>>,
    changed: Event,
}

impl<C, S> fmt::Debug for DutyAccess<C, S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DutyAccess").field("acting", &self.acting).finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a call as under way until it is dropped.
struct CallGuard<'a> {
    ledger: &'a Mutex<CallLedger>,
    changed: &'a Event,
    is_answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        lock(self.ledger).end(self.is_answered, boot_time());
        self.changed.notify(usize::MAX);
    }
}

impl<C: ControlApi, S: Store> DutyAccess<C, S> {
    /// The state of a starting daemon.
    pub fn new(settings: &Settings, store: Arc<S>, control: C, metrics: Arc<Metrics>) -> DutyAccess<C, S> {
        let now = boot_time();
        let times = DutyTimes { lease: settings.duties.lease_ms, ..DutyTimes::default() };
        DutyAccess {
            store,
            control,
            metrics,
            times,
            holder: Mutex::new(DutyHolder::new(settings.daemon.clone(), times, fastrand::u64(..), now)),
            rate: Mutex::new(DutyRate::new(settings.duties.rate, now)),
            ledger: Mutex::default(),
            acting: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// The store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// The durations by which the holder acts.
    pub fn times(&self) -> DutyTimes {
        self.times
    }

    /// Locks the state of this daemon as holder or candidate.
    pub fn holder(&self) -> MutexGuard<'_, DutyHolder> {
        lock(&self.holder)
    }

    /// Whether no call of the duties can arrive any more.
    pub fn has_settled(&self) -> bool {
        lock(&self.ledger).has_settled(self.times.lease, boot_time())
    }

    /// Tells the duties with which token this daemon acts; `None` if it does not.
    pub fn set_acting(&self, token: Option<FencingToken>) {
        let previous = std::mem::replace(&mut *lock(&self.acting), token);
        if previous != token {
            self.changed.notify(usize::MAX);
        }
    }

    fn acting(&self) -> Option<FencingToken> {
        *lock(&self.acting)
    }

    /// Waits until this daemon holds the duties and acts.
    pub async fn next_hold(&self) -> FencingToken {
        loop {
            let listener = self.changed.listen();
            if let Some(token) = self.acting() {
                return token;
            }
            listener.await;
        }
    }

    /// Waits until this daemon no longer acts with `token`. In a planned stop it also waits a while for calls that are
    /// under way: once all are answered, the next holder may act at once.
    pub async fn hold_ended(&self, token: FencingToken) {
        self.wait_until(|| self.acting() != Some(token)).await;
        if self.holder().is_leaving() {
            let timeout = async {
                Timer::after(self.times.call.into()).await;
            };
            or(self.wait_until(|| lock(&self.ledger).is_idle()), timeout).await;
        }
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition() {
                return;
            }
            listener.await;
        }
    }

    /// Waits until the shared rate of calls to the API allows one more, and takes it.
    pub async fn wait_for_rate(&self) {
        loop {
            let taken = lock(&self.rate).take(boot_time());
            match taken {
                Ok(()) => return,
                Err(pause) => Timer::after(pause.into()).await,
            };
        }
    }

    /// Makes a call to the API and notes its outcome.
    ///
    /// # Errors
    ///
    /// The API did not answer or did not accept the call.
    pub async fn call<'a, F>(&'a self, make: impl FnOnce(&'a C) -> F) -> Result<(), DutyError>
    where
        F: Future<Output = Result<(), ControlError>> + Send,
    {
        lock(&self.ledger).begin();
        let mut guard = CallGuard { ledger: &self.ledger, changed: &self.changed, is_answered: false };
        let result = make(&self.control).await;
        guard.is_answered = result != Err(ControlError::Silent);
        drop(guard);
        match result {
            Err(ControlError::Throttled) => lock(&self.rate).throttled(boot_time()),
            Err(ControlError::Silent) => {}
            _ => lock(&self.rate).accepted(),
        }
        if let Err(error) = result {
            self.metrics.duty_refusals.get_or_create(&RefusalLabels { reason: error.name() }).inc();
        }
        Ok(result?)
    }
}
