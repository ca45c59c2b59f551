//! What every task of a daemon shares.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Sender;
use smol::Executor;
use teaselcroft_parts::{ClassName, DaemonName, Member, RequestId, RetryBudget, RetryBudgetSettings, RunnerName};
use teaselcroft_policy::SilenceBound;

use crate::call_table::CallTable;
use crate::clock::Clock;
use crate::command::Command;
use crate::explain::Explanations;
use crate::generated::Heartbeat;
use crate::kv::{KeyValue, NoAnswer, Stored, SwapAnswer};
use crate::metrics::{Metrics, StoreLabels};
use crate::peer_channel::PeerError;
use crate::peer_pool::{Client, PeerPool};
use crate::platform::Platform;
use crate::view::View;
use crate::{Event, Settings, emit};

/// What every task of a daemon shares.
pub struct Node<P> {
    /// The daemon's settings.
    pub settings: Settings,
    /// The platform.
    pub platform: P,
    /// This daemon in this incarnation.
    pub me: Member,
    /// The daemon's clock.
    pub clock: Clock,
    /// The way to the control thread.
    pub control: Sender<Command>,
    /// Runs traffic.
    pub traffic: Arc<Executor<'static>>,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Calls that must not repeat and are executed here.
    pub calls: CallTable,
    /// Recent decisions.
    pub explanations: Explanations,
    /// Counters.
    pub metrics: Metrics,
    /// Whether a planned stop began.
    pub stopping: AtomicBool,
    /// Whether this daemon watches the key-value service for configurations.
    pub reads_configs: AtomicBool,
    /// Requests being served, calls executed for peers included.
    pub in_flight: AtomicU64,
    retries: Mutex<RetryBudget>,
    store_up: AtomicBool,
    view: Mutex<Arc<View>>,
    heartbeat: Mutex<Heartbeat>,
    silence_bounds: Mutex<HashMap<ClassName, SilenceBound>>,
}

impl<P: Platform> Node<P> {
    /// A node that knows nothing of its cell yet.
    pub fn new(
        settings: Settings,
        platform: P,
        me: Member,
        control: Sender<Command>,
        traffic: Arc<Executor<'static>>,
    ) -> Node<P> {
        let peers = PeerPool::new(traffic.clone(), settings.peer_key.clone());
        Node {
            settings,
            platform,
            me,
            clock: Clock::start(),
            control,
            traffic,
            peers,
            calls: CallTable::default(),
            explanations: Explanations::default(),
            metrics: Metrics::default(),
            stopping: AtomicBool::new(false),
            reads_configs: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            retries: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            store_up: AtomicBool::new(true),
            view: Mutex::default(),
            heartbeat: Mutex::default(),
            silence_bounds: Mutex::default(),
        }
    }

    /// The current picture of the cell.
    pub fn view(&self) -> Arc<View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the picture of the cell.
    pub fn publish(&self, view: View) {
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// This daemon's heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        self.heartbeat.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces this daemon's heartbeat.
    pub fn set_heartbeat(&self, heartbeat: Heartbeat) {
        *self.heartbeat.lock().unwrap_or_else(PoisonError::into_inner) = heartbeat;
    }

    /// Reads or teaches the silence bound of `class`, whose prompts have about `prompt_tokens` tokens.
    pub fn with_silence_bound<R>(
        &self,
        class: &ClassName,
        prompt_tokens: u32,
        work: impl FnOnce(&mut SilenceBound) -> R,
    ) -> R {
        let mut silence_bounds = self.silence_bounds.lock().unwrap_or_else(PoisonError::into_inner);
        work(silence_bounds.entry(class.clone()).or_insert_with(|| SilenceBound::for_prompt(prompt_tokens)))
    }

    /// Counts the first attempt of a call to a plain service.
    pub fn count_attempt(&self) {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner).attempt();
    }

    /// Whether a call to a plain service may be tried again, so that retries stay a share of calls.
    pub fn spend_retry(&self) -> bool {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner).retry()
    }

    /// Tells the control thread; lost only while the daemon ends.
    pub fn send_command(&self, command: Command) {
        if self.control.try_send(command).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Whether a planned stop began.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the key-value service answered the last call.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Acquire)
    }

    /// The address of `runner`.
    pub fn runner_address(&self, runner: &RunnerName) -> Option<String> {
        self.view().runners.get(runner).cloned()
    }

    /// Logs a decision and remembers it for `explain`.
    pub fn record_decision(&self, request: &RequestId, event: Event, grounds: String) {
        emit!(event, daemon = self.me.name, request = request, grounds = grounds);
        self.explanations.record(self.clock.now(), request, event, grounds);
    }

    /// A client for the peer called `name`.
    ///
    /// # Errors
    ///
    /// Says whether the peer refused or did not answer; a peer that is not listed counts as silent.
    pub async fn client(&self, name: &DaemonName) -> Result<Client, PeerError> {
        let view = self.view();
        let Some(vm) = view.entries.get(name) else {
            return Err(PeerError::Silent);
        };
        let client = self.peers.client(name, &vm.peer_address).await;
        if client.as_ref().is_err_and(|error| *error == PeerError::Refused) {
            self.send_command(Command::PeerRefused(name.clone()));
        }
        client
    }

    /// Reads a key of the key-value service and counts the call.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    pub async fn store_get(&self, key: &str) -> Result<Option<Stored>, NoAnswer> {
        let result = self.platform.store().get(key).await;
        self.count_store_call("get", result.is_ok());
        result
    }

    /// Swaps a key of the key-value service and counts the call.
    ///
    /// # Errors
    ///
    /// The service did not answer; the write may have taken effect.
    pub async fn store_swap(&self, key: &str, value: Vec<u8>, expected: u64) -> Result<SwapAnswer, NoAnswer> {
        let result = self.platform.store().swap(key, value, expected).await;
        self.count_store_call("swap", result.is_ok());
        result
    }

    /// Watches a prefix of the key-value service and counts the call.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    pub async fn store_watch(&self, prefix: &str, after: u64) -> Result<Vec<(String, Stored)>, NoAnswer> {
        let result = self.platform.store().watch(prefix, after).await;
        self.count_store_call("watch", result.is_ok());
        result
    }

    fn count_store_call(&self, call: &'static str, answered: bool) {
        let labels = StoreLabels { call, answered: if answered { "yes" } else { "no" } };
        self.metrics.store_calls.get_or_create(&labels).inc();
        let was_up = self.store_up.swap(answered, Ordering::AcqRel);
        if was_up != answered {
            let event = if answered { Event::StoreReachable } else { Event::StoreUnreachable };
            emit!(event, daemon = self.me.name, call = call);
        }
    }
}
