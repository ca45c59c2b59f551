//! State shared by all tasks of a daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Sender;
use smol::Executor;
use teaselcroft_parts::{ClassName, DaemonName, Member, RequestId, RetryBudget, RetryBudgetSettings, RunnerName};
use teaselcroft_policy::SilenceTimeout;

use crate::call_table::CallTable;
use crate::cell_snapshot::CellSnapshot;
use crate::clock::Clock;
use crate::command::Command;
use crate::explain::Explanations;
use crate::generated::Heartbeat;
use crate::kv::{KeyValue, NoAnswer, Stored, SwapAnswer};
use crate::metrics::{Metrics, StoreLabels};
use crate::peer_channel::PeerError;
use crate::peer_pool::{Client, PeerPool};
use crate::platform::Platform;
use crate::{Event, Settings, log_event};

/// State shared by the control thread and the traffic threads of a daemon.
pub struct Node<P> {
    /// The daemon's settings.
    pub settings: Settings,
    /// Clients of the platform's services.
    pub platform: P,
    /// This daemon's name and incarnation.
    pub me: Member,
    /// Milliseconds since the daemon started.
    pub clock: Clock,
    /// Sends commands to the control thread.
    pub control: Sender<Command>,
    /// The executor of the traffic threads.
    pub traffic: Arc<Executor<'static>>,
    /// Connections to other daemons of the cell.
    pub peers: PeerPool,
    /// At-most-once calls that are running or have ended at this daemon.
    pub calls: CallTable,
    /// Recent routing decisions, for the admin API's `explain`.
    pub explanations: Explanations,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Whether this daemon watches the key-value service for configurations.
    pub reads_configs: AtomicBool,
    /// Number of chat completions and at-most-once calls that run here, including calls executed for
    /// peers. A planned stop waits for these.
    pub in_flight: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    store_up: AtomicBool,
    snapshot: Mutex<Arc<CellSnapshot>>,
    heartbeat: Mutex<Heartbeat>,
    silence_timeouts: Mutex<HashMap<ClassName, SilenceTimeout>>,
}

impl<P: Platform> Node<P> {
    /// Creates the state of a daemon that has not yet read the VM list or any configuration.
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
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            store_up: AtomicBool::new(true),
            snapshot: Mutex::default(),
            heartbeat: Mutex::default(),
            silence_timeouts: Mutex::default(),
        }
    }

    /// The snapshot of the cell that was published last.
    pub fn snapshot(&self) -> Arc<CellSnapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the snapshot of the cell.
    pub fn publish(&self, snapshot: CellSnapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// The heartbeat that this daemon sends to peers.
    pub fn heartbeat(&self) -> Heartbeat {
        self.heartbeat.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the heartbeat that this daemon sends to peers.
    pub fn set_heartbeat(&self, heartbeat: Heartbeat) {
        *self.heartbeat.lock().unwrap_or_else(PoisonError::into_inner) = heartbeat;
    }

    /// Runs `work` on the silence timeout estimate of `class`. A new estimate starts from
    /// `prompt_tokens`, the expected prompt size.
    pub fn with_silence_timeout<R>(
        &self,
        class: &ClassName,
        prompt_tokens: u32,
        work: impl FnOnce(&mut SilenceTimeout) -> R,
    ) -> R {
        let mut silence_timeouts = self.silence_timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        work(silence_timeouts.entry(class.clone()).or_insert_with(|| SilenceTimeout::for_prompt(prompt_tokens)))
    }

    /// Credits the retry budget with the first attempt of a call to a plain service.
    pub fn count_attempt(&self) {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).count_attempt();
    }

    /// Takes one retry of a plain service call from the budget, which keeps retries to a share of all
    /// calls; false if the budget is used up.
    pub fn spend_retry(&self) -> bool {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).spend_retry()
    }

    /// Queues a command for the control thread; dropped only if that thread has ended.
    pub fn send_command(&self, command: Command) {
        if self.control.try_send(command).is_err() {
            log::debug!("command dropped: the control thread has ended");
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the last call to the key-value service was answered.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Acquire)
    }

    /// The address of `runner`, or `None` if it is not in the VM list.
    pub fn runner_address(&self, runner: &RunnerName) -> Option<String> {
        self.snapshot().runners.get(runner).cloned()
    }

    /// Logs a routing decision and keeps it for `explain`.
    pub fn record_decision(&self, request: &RequestId, event: Event, grounds: String) {
        log_event!(event, daemon = self.me.name, request = request, grounds = grounds);
        self.explanations.record(self.clock.now(), request, event, grounds);
    }

    /// A client for the peer called `name`. A refused connection is reported to the control thread.
    ///
    /// # Errors
    ///
    /// Says whether the peer refused the connection or did not answer; a peer missing from the VM list
    /// counts as silent.
    pub async fn client(&self, name: &DaemonName) -> Result<Client, PeerError> {
        let snapshot = self.snapshot();
        let Some(vm) = snapshot.entries.get(name) else {
            return Err(PeerError::Silent);
        };
        let client = self.peers.client(name, &vm.peer_address).await;
        if client.as_ref().is_err_and(|error| *error == PeerError::Refused) {
            self.send_command(Command::PeerRefused(name.clone()));
        }
        client
    }

    /// Reads a key from the key-value service and counts the call in the metrics.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    pub async fn store_get(&self, key: &str) -> Result<Option<Stored>, NoAnswer> {
        let result = self.platform.store().get(key).await;
        self.count_store_call("get", result.is_ok());
        result
    }

    /// Writes a key of the key-value service by compare-and-swap and counts the call in the metrics.
    ///
    /// # Errors
    ///
    /// The service did not answer; the write may have taken effect.
    pub async fn store_swap(&self, key: &str, value: Vec<u8>, expected: u64) -> Result<SwapAnswer, NoAnswer> {
        let result = self.platform.store().swap(key, value, expected).await;
        self.count_store_call("swap", result.is_ok());
        result
    }

    /// Long-polls a prefix of the key-value service for writes later than `after` and counts the call.
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
            log_event!(event, daemon = self.me.name, call = call);
        }
    }
}
