//! State that all tasks of a gateway daemon share.

mod crashes;
mod duties;
mod request_count;
mod store_era;
mod usage;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use teaselcroft_parts::{Millis, RunnerName};

use crate::body_memory::BodyMemory;
use crate::config_check::ConfigCheck;
use crate::connection_pool::ConnectionPool;
use crate::crash_sync::CrashSync;
use crate::crash_tracker::{CrashTracker, Suspect};
use crate::demand::Demand;
use crate::dialect::Dialect;
use crate::discovery::{RunnerIndex, StoreHealth};
use crate::duties::{HolderView, boot_time};
use crate::fleet::Fleet;
use crate::heartbeat::{MemberRecord, Phase};
use crate::metrics::Metrics;
use crate::pending_crashes::PendingCrashes;
use crate::placer::Placer;
use crate::retry_limiter::RetryLimiter;
use crate::roster::{ReaderRole, Roster, peer_address};
use crate::runner_news::RunnerNews;
use crate::store::Era;
use crate::usage::UsageTracker;
use crate::{Condition, Configuration, Duty, Event, Settings, log_event};

use request_count::RequestCount;

/// Buffered bodies may take the VM's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The active configuration, decoded and as the raw bytes of the store.
#[derive(Debug)]
struct ActiveConfiguration {
    configuration: Arc<Configuration>,
    raw: Arc<Vec<u8>>,
}

/// State that all tasks of a gateway daemon share: settings, cluster view, configuration and shutdown.
pub struct Gateway<D> {
    /// The settings from the file, fixed until a restart.
    pub settings: Settings,
    /// The platform's header names, paths and wire formats.
    pub dialect: D,
    fleet: Mutex<Fleet>,
    pool: Mutex<ConnectionPool>,
    roster: Mutex<Roster>,
    runner_index: Mutex<RunnerIndex>,
    has_active_reader: AtomicBool,
    has_reader_role: AtomicBool,
    has_runners: AtomicBool,
    heartbeat_sender: Sender<()>,
    heartbeat_requests: Receiver<()>,
    phase_sender: Sender<()>,
    phase_requests: Receiver<()>,
    changes_sender: Sender<RunnerNews>,
    changes: Receiver<RunnerNews>,
    retries: Mutex<RetryLimiter>,
    crashes: Mutex<CrashTracker>,
    crash_noted: event_listener::Event,
    pending_crashes: Mutex<PendingCrashes>,
    demand: Mutex<Demand>,
    runner_store: OnceLock<Arc<StoreHealth>>,
    crash_sync: Mutex<CrashSync>,
    config_check: Mutex<ConfigCheck>,
    watch_restart: event_listener::Event,
    /// `None` before the first answer of the store.
    store_era: Mutex<Option<Era>>,
    era_risen: event_listener::Event,
    unstored_sender: Sender<Suspect>,
    unstored: Receiver<Suspect>,
    holders: Mutex<HolderView>,
    duty_news: event_listener::Event,
    /// The client side of placement: asks the placement leader for a runner.
    pub placer: Placer,
    /// Metrics that the metrics port serves.
    pub metrics: Arc<Metrics>,
    /// The memory limit for buffered bodies of requests and answers.
    pub body_memory: BodyMemory,
    usage: Option<Mutex<UsageTracker>>,
    in_flight: AtomicUsize,
    configuration: RwLock<Option<ActiveConfiguration>>,
    stop_began: OnceLock<Millis>,
    closed: AtomicBool,
    stop_sender: Sender<()>,
    stop: Receiver<()>,
    start: Instant,
}

/// The most messages with runner changes from peers in the queue; further ones are dropped.
const MAX_QUEUED_CHANGES: usize = 64;

/// The most suspects in the queue for the store; further ones are queued when they are met again.
const MAX_UNSTORED: usize = 64;

/// A planned stop ends this long before the platform would kill the process.
const STOP_MARGIN: Millis = Millis(350);

/// For this long after a planned stop began every request is still admitted, since callers may use cached
/// addresses for up to two seconds.
const ADMIT_ALL_PERIOD: Millis = Millis(2_500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect> Gateway<D> {
    /// Creates the state of a starting daemon, without a configuration, peers or runners.
    pub fn new(settings: Settings, dialect: D) -> Gateway<D> {
        let me = MemberRecord {
            name: settings.daemon.to_string(),
            incarnation: unix_ms(),
            zone: settings.zone.to_string(),
            ip: settings.ip.to_string(),
            front_port: settings.front.port().into(),
            peer_port: settings.peer.port().into(),
            phase: Phase::Starting.into(),
            cpu_milli: (settings.cpu_share * 1_000.0) as u32,
            is_settled: false,
            period_ms: 0,
        };
        let usage = settings.duties.api_for(Duty::Usage).map(|_| {
            let (daemon, unix) = (settings.daemon.clone(), unix_ms());
            Mutex::new(UsageTracker::new(&settings.duties, daemon, me.incarnation, unix, boot_time()))
        });
        let (stop_sender, stop) = async_channel::bounded(1);
        let (heartbeat_sender, heartbeat_requests) = async_channel::bounded(1);
        let (phase_sender, phase_requests) = async_channel::bounded(1);
        let (unstored_sender, unstored) = async_channel::bounded(MAX_UNSTORED);
        let (changes_sender, changes) = async_channel::bounded(MAX_QUEUED_CHANGES);
        Gateway {
            dialect,
            fleet: Mutex::new(
                Fleet::new(settings.zone.clone())
                    .with_outlier_detection(settings.placement.outliers && settings.expects(Condition::Health))
                    .with_learned_speeds(settings.placement.speeds && settings.expects(Condition::Health))
                    .with_even_load(settings.balance_hold()),
            ),
            pool: Mutex::default(),
            roster: Mutex::new(Roster::new(me)),
            runner_index: Mutex::default(),
            has_active_reader: AtomicBool::new(false),
            has_reader_role: AtomicBool::new(false),
            has_runners: AtomicBool::new(false),
            heartbeat_sender,
            heartbeat_requests,
            phase_sender,
            phase_requests,
            changes_sender,
            changes,
            retries: Mutex::new(RetryLimiter::new(settings.bounds.clone())),
            crashes: Mutex::default(),
            crash_noted: event_listener::Event::new(),
            pending_crashes: Mutex::default(),
            demand: Mutex::default(),
            runner_store: OnceLock::new(),
            crash_sync: Mutex::default(),
            config_check: Mutex::default(),
            watch_restart: event_listener::Event::new(),
            store_era: Mutex::default(),
            era_risen: event_listener::Event::new(),
            unstored_sender,
            unstored,
            holders: Mutex::default(),
            duty_news: event_listener::Event::new(),
            placer: Placer::default(),
            metrics: Arc::default(),
            body_memory: BodyMemory::new(settings.memory_mb * 1_000_000 / BODY_MEMORY_DIVISOR),
            usage,
            in_flight: AtomicUsize::new(0),
            configuration: RwLock::new(None),
            stop_began: OnceLock::new(),
            closed: AtomicBool::new(false),
            stop_sender,
            stop,
            start: Instant::now(),
            settings,
        }
    }

    /// The monotonic time since the daemon started.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// Locks the known runners and their loads.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Logs that a runner gets no requests for `span` because it fails, and counts it; `source` says whose answers showed it.
    pub fn log_ejection(&self, runner: &RunnerName, span: Millis, source: &str) {
        self.metrics.ejections.inc();
        log_event!(Event::RunnerEjected, runner = runner, span = span, source = source);
    }

    /// Locks the pool of idle connections to runners.
    pub fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        lock(&self.pool)
    }

    /// Locks the known gateway daemons, this one included.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Locks the runners' entries as last read from the store.
    pub fn runner_index(&self) -> MutexGuard<'_, RunnerIndex> {
        lock(&self.runner_index)
    }

    /// Requests that the next heartbeats go out now, to all peers.
    pub fn request_heartbeats(&self) {
        // A full channel means that a request is pending already, which is enough.
        let _queued = self.heartbeat_sender.try_send(());
    }

    /// Waits until heartbeats are requested ahead of their schedule.
    pub async fn heartbeats_requested(&self) {
        // This struct also holds the sender, so the channel never closes.
        let _requested = self.heartbeat_requests.recv().await;
    }

    /// Requests that peers which do not know this daemon's phase are told it.
    pub fn request_phase_heartbeats(&self) {
        // A full channel means that a request is pending already, which is enough.
        let _queued = self.phase_sender.try_send(());
    }

    /// Waits until peers may not know this daemon's phase.
    pub async fn phase_heartbeats_requested(&self) {
        // This struct also holds the sender, so the channel never closes.
        let _requested = self.phase_requests.recv().await;
    }

    /// Whether a peer that reads the store for this daemon was heard lately, so that configurations come from it.
    pub fn has_active_reader(&self) -> bool {
        self.has_active_reader.load(Ordering::Relaxed)
    }

    /// Whether this daemon leaves reading the store to peers of its zone.
    pub fn is_listener(&self) -> bool {
        self.reader_role() == ReaderRole::Listener
    }

    /// How this daemon gets the runners now.
    pub fn reader_role(&self) -> ReaderRole {
        let now = self.now();
        self.roster().reader_role(now)
    }

    /// Locks what is known of the age of the configuration.
    pub fn config_check(&self) -> MutexGuard<'_, ConfigCheck> {
        lock(&self.config_check)
    }

    /// When the store is to be asked for a newer configuration, unless there is evidence before that there is none.
    pub fn config_check_due(&self) -> Millis {
        let now = self.now();
        let (role, rank) = {
            let roster = self.roster();
            let rank = roster.leader_candidates(now).iter().position(|member| member.name == roster.me.name);
            (roster.reader_role(now), rank.unwrap_or(usize::MAX))
        };
        self.config_check().due_at(role, rank)
    }

    /// Ends the watches that wait, so that they begin anew.
    pub fn restart_watches(&self) {
        self.watch_restart.notify(usize::MAX);
    }

    /// Waits until watches that wait now are to begin anew.
    pub fn watch_restart(&self) -> event_listener::EventListener {
        self.watch_restart.listen()
    }

    /// Sets whether a peer that reads the store for this daemon was heard lately; from then on this daemon has a role.
    pub fn set_active_reader(&self, has_active_reader: bool) {
        self.has_active_reader.store(has_active_reader, Ordering::Relaxed);
        self.has_reader_role.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon has decided for the first time how it reads the store.
    pub fn has_reader_role(&self) -> bool {
        self.has_reader_role.load(Ordering::Relaxed)
    }

    /// Records that the fleet contains a first list of runners.
    pub fn set_has_runners(&self) {
        self.has_runners.store(true, Ordering::Relaxed);
    }

    /// Whether the fleet contains a first list of runners, which may be empty.
    pub fn has_runners(&self) -> bool {
        self.has_runners.load(Ordering::Relaxed)
    }

    /// Queues runner changes that a peer relayed; if the queue is full they are dropped, which the revisions of
    /// later changes reveal as a gap.
    pub fn queue_runner_changes(&self, changes: RunnerNews) {
        if self.changes_sender.try_send(changes).is_err() {
            log::debug!("the queue of runner changes is full; changes from a peer were dropped");
        }
    }

    /// Waits for the next runner changes that a peer relayed.
    pub async fn next_runner_changes(&self) -> Option<RunnerNews> {
        self.changes.recv().await.ok()
    }

    /// The addresses of the other daemons in this zone.
    pub fn zone_peers(&self) -> Vec<IpAddr> {
        let now = self.now();
        self.roster().zone_peers(now).iter().filter_map(|peer| peer.ip.parse().ok()).collect()
    }

    /// The peer addresses of the other daemons that read the store for this zone.
    pub fn reader_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let roster = self.roster();
        let readers = roster.zone_readers(now);
        readers.into_iter().filter(|member| member.name != roster.me.name).filter_map(peer_address).collect()
    }

    /// The peer addresses of up to `count` other daemons that are ready and heard, drawn at random.
    pub fn peer_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let now = self.now();
        let roster = self.roster();
        let ready = roster.leader_candidates(now).into_iter().filter(|member| member.name != roster.me.name);
        let mut addresses: Vec<SocketAddr> = ready.filter_map(peer_address).collect();
        fastrand::shuffle(&mut addresses);
        addresses.truncate(count);
        addresses
    }

    /// Locks the retry limiter.
    pub fn retries(&self) -> MutexGuard<'_, RetryLimiter> {
        lock(&self.retries)
    }

    /// Locks what callers asked for.
    pub fn demand(&self) -> MutexGuard<'_, Demand> {
        lock(&self.demand)
    }

    /// Sets where it is recorded whether the store answers calls for runners' entries.
    pub fn set_runner_store(&self, health: Arc<StoreHealth>) {
        self.runner_store.get_or_init(|| health);
    }

    /// Whether the last call for runners' entries failed.
    pub fn is_runner_store_away(&self) -> bool {
        self.runner_store.get().is_some_and(|health| health.is_unavailable())
    }

    /// Locks the tracker of requests that crashed runners.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crashes)
    }

    /// The active configuration, or `None` before the first one arrives.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|active| active.configuration.clone())
    }

    /// The raw bytes of the active configuration, served to peers that cannot reach the store.
    pub fn raw_configuration(&self) -> Option<Arc<Vec<u8>>> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|active| active.raw.clone())
    }

    /// Decodes and activates a configuration, unless the active one has the same or a higher version; one that
    /// cannot be decoded is logged and ignored. `source` names its origin in the log.
    pub fn apply_configuration(&self, raw: Vec<u8>, source: &str) {
        let configuration = match self.dialect.configuration(&raw) {
            Ok(configuration) => configuration,
            Err(error) => {
                log_event!(
                    Event::EntryIgnored,
                    key = self.dialect.configuration_key(),
                    reason = error,
                    source = source
                );
                return;
            }
        };
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        let old = current.as_ref().map(|active| active.configuration.version);
        if old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        log_event!(
            Event::ConfigApplied,
            version = configuration.version,
            previous = old.unwrap_or_default(),
            routes = configuration.routes.len(),
            keys = configuration.customers.len(),
            source = source
        );
        for fault in &configuration.scaling_faults {
            log_event!(Event::ScalingInvalid, service = fault.service, key = fault.key, reason = fault.reason);
        }
        self.metrics.version.set(i64::try_from(configuration.version.0).unwrap_or(i64::MAX));
        *current = Some(ActiveConfiguration { configuration: configuration.into(), raw: raw.into() });
        drop(current);
        self.roster().become_ready();
        self.request_phase_heartbeats();
    }

    /// Whether this daemon has a configuration and is not stopping, as its readiness check reports.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.roster().me.phase() == Phase::Ready
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_began.get().is_some()
    }

    /// The time since a planned stop began, or `None` if none did.
    pub fn stopping_for(&self) -> Option<Millis> {
        self.stop_began.get().map(|began| self.now().since(*began))
    }

    /// The longest duration of a planned stop: the grace period less a margin.
    pub fn max_stop_duration(&self) -> Millis {
        Millis::from(self.settings.bounds.grace).since(STOP_MARGIN)
    }

    /// Whether a request that may last `max_duration` is admitted. Early in a planned stop every request is, since
    /// callers need time to learn other addresses; later only those that end before the process does.
    pub fn admits(&self, max_duration: Millis) -> bool {
        !self.closed.load(Ordering::SeqCst)
            && self.stopping_for().is_none_or(|since_stop| {
                since_stop <= ADMIT_ALL_PERIOD || since_stop + max_duration <= self.max_stop_duration()
            })
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub fn begin_request(&self) -> RequestCount<'_> {
        RequestCount::begin(&self.in_flight, &self.metrics.in_flight)
    }

    /// The shared state that a panic may have left half changed.
    pub fn poisoned_state(&self) -> Option<&'static str> {
        [
            ("runners", self.fleet.is_poisoned()),
            ("connection pool", self.pool.is_poisoned()),
            ("roster", self.roster.is_poisoned()),
            ("runner index", self.runner_index.is_poisoned()),
            ("retry limiter", self.retries.is_poisoned()),
            ("crash tracker", self.crashes.is_poisoned() || self.crash_sync.is_poisoned()),
            ("configuration", self.configuration.is_poisoned()),
            ("placement queries", self.placer.is_poisoned()),
        ]
        .into_iter()
        .find_map(|(state, is_poisoned)| is_poisoned.then_some(state))
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Stops admitting requests if none is in flight, or in any case if `is_forced`; returns whether it did.
    pub fn close(&self, is_forced: bool) -> bool {
        self.closed.store(true, Ordering::SeqCst);
        let is_closed = is_forced || self.in_flight() == 0;
        self.closed.store(is_closed, Ordering::SeqCst);
        is_closed
    }

    /// Begins a planned stop: peers learn that this daemon is leaving, and `wait_for_stop` returns.
    pub fn begin_stop(&self) {
        self.stop_began.get_or_init(|| self.now());
        self.roster().me.phase = Phase::Leaving.into();
        self.request_phase_heartbeats();
        self.notify_duty_news();
        self.stop_sender.close();
    }

    /// Waits until a planned stop begins.
    pub async fn wait_for_stop(&self) {
        // Nothing is ever sent; the channel closes when the stop begins.
        let _closed = self.stop.recv().await;
    }
}

/// The Unix time in milliseconds. It orders the starts of a daemon as long as the VM's clock does not go back.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
