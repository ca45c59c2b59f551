//! What every task of a gateway daemon shares.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use teaselcroft_parts::Millis;

use crate::body_memory::BodyMemory;
use crate::connection_pool::ConnectionPool;
use crate::crash_ledger::CrashLedger;
use crate::dialect::Dialect;
use crate::discovery::RunnerIndex;
use crate::fleet::Fleet;
use crate::heartbeat::{MemberRecord, Phase};
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::retry_ledger::RetryLedger;
use crate::roster::{ReaderRole, Roster, peer_address};
use crate::runner_news::RunnerNews;
use crate::{Configuration, Event, Settings, record};

/// The share of the VM's memory that callers' buffered bodies may take, as a divisor.
const BODY_MEMORY_SHARE: u64 = 4;

/// The configuration in force, read and as the store holds it.
#[derive(Debug)]
struct InForce {
    configuration: Arc<Configuration>,
    raw: Arc<Vec<u8>>,
}

/// What every task of a gateway daemon shares.
pub struct Gateway<D> {
    /// The settings.
    pub settings: Settings,
    /// How the platform names things.
    pub dialect: D,
    /// The known runners.
    fleet: Mutex<Fleet>,
    /// Idle connections to runners.
    pool: Mutex<ConnectionPool>,
    /// The known daemons.
    roster: Mutex<Roster>,
    /// The runners' entries as the store has them.
    runner_index: Mutex<RunnerIndex>,
    has_active_reader: AtomicBool,
    urgent_sender: Sender<()>,
    urgent: Receiver<()>,
    news_sender: Sender<RunnerNews>,
    news: Receiver<RunnerNews>,
    /// Second sends against their budget.
    retries: Mutex<RetryLedger>,
    /// Requests that crash runners.
    crashes: Mutex<CrashLedger>,
    /// Questions to the placing daemon.
    pub placer: Placer,
    /// Counters.
    pub metrics: Metrics,
    /// Memory for callers' bodies.
    pub bodies: BodyMemory,
    /// Requests being served.
    in_flight: AtomicUsize,
    configuration: RwLock<Option<InForce>>,
    stop_began: OnceLock<Millis>,
    closed: AtomicBool,
    stop_sender: Sender<()>,
    stop: Receiver<()>,
    start: Instant,
}

/// News of peers that wait to be taken in.
const MOST_NEWS: usize = 64;

/// A planned stop ends so long before the platform would kill the process.
const STOP_MARGIN: Millis = Millis(350);

/// How long after the beginning of a planned stop any request is taken; callers keep addresses for up to
/// two seconds.
const STOP_TAKES: Millis = Millis(2_500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect> Gateway<D> {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, dialect: D) -> Gateway<D> {
        let me = MemberRecord {
            name: settings.daemon.to_string(),
            incarnation: incarnation(),
            zone: settings.zone.to_string(),
            ip: settings.ip.to_string(),
            front_port: settings.front.port().into(),
            peer_port: settings.peer.port().into(),
            phase: Phase::Starting.into(),
            cpu_milli: (settings.cpu_share * 1_000.0) as u32,
            is_settled: false,
            period_ms: 0,
        };
        let (stop_sender, stop) = async_channel::bounded(1);
        let (urgent_sender, urgent) = async_channel::bounded(1);
        let (news_sender, news) = async_channel::bounded(MOST_NEWS);
        Gateway {
            dialect,
            fleet: Mutex::new(Fleet::new(settings.zone.clone())),
            pool: Mutex::default(),
            roster: Mutex::new(Roster::new(me)),
            runner_index: Mutex::default(),
            has_active_reader: AtomicBool::new(false),
            urgent_sender,
            urgent,
            news_sender,
            news,
            retries: Mutex::new(RetryLedger::new(settings.bounds.clone())),
            crashes: Mutex::default(),
            placer: Placer::default(),
            metrics: Metrics::default(),
            bodies: BodyMemory::new(settings.memory_mb * 1_000_000 / BODY_MEMORY_SHARE),
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

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// The known runners.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Idle connections to runners.
    pub fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        lock(&self.pool)
    }

    /// The known daemons.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// The runners' entries as the store has them.
    pub fn runner_index(&self) -> MutexGuard<'_, RunnerIndex> {
        lock(&self.runner_index)
    }

    /// Sends the next heartbeats now, to all peers.
    pub fn request_heartbeats(&self) {
        // One that waits already is enough.
        let _asked = self.urgent_sender.try_send(());
    }

    /// Waits until the next heartbeats are wanted now.
    pub async fn heartbeats_requested(&self) {
        // The sender lives as long as the gate.
        let _asked = self.urgent.recv().await;
    }

    /// Whether peers that read the store tell this daemon of new configurations.
    pub fn has_active_reader(&self) -> bool {
        self.has_active_reader.load(Ordering::Relaxed)
    }

    /// Whether peers read the store for this daemon.
    pub fn is_listener(&self) -> bool {
        let now = self.now();
        self.roster().reader_role(now) == ReaderRole::Listener
    }

    /// Notes whether peers that read the store speak up.
    pub fn set_active_reader(&self, has_active_reader: bool) {
        self.has_active_reader.store(has_active_reader, Ordering::Relaxed);
    }

    /// Takes in what a peer hands on; what does not fit is missed and noticed as such.
    pub fn queue_runner_changes(&self, news: RunnerNews) {
        if self.news_sender.try_send(news).is_err() {
            log::debug!("news of runners was dropped: too much is waiting");
        }
    }

    /// Waits for what peers hand on.
    pub async fn next_runner_changes(&self) -> Option<RunnerNews> {
        self.news.recv().await.ok()
    }

    /// Where the other daemons of this zone are.
    pub fn zone_mates(&self) -> Vec<IpAddr> {
        let now = self.now();
        self.roster().zone_mates(now).iter().filter_map(|mate| mate.ip.parse().ok()).collect()
    }

    /// Where the daemons are asked that read the store for this zone.
    pub fn reader_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let roster = self.roster();
        let readers = roster.zone_readers(now);
        readers.into_iter().filter(|member| member.name != roster.me.name).filter_map(peer_address).collect()
    }

    /// Second sends against their budget.
    pub fn retries(&self) -> MutexGuard<'_, RetryLedger> {
        lock(&self.retries)
    }

    /// Requests that crash runners.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.crashes)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|in_force| in_force.configuration.clone())
    }

    /// The configuration in force as the store holds it.
    pub fn raw_configuration(&self) -> Option<Arc<Vec<u8>>> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|in_force| in_force.raw.clone())
    }

    /// Puts a configuration in force unless one at least as new is; versions never go back.
    pub fn apply_configuration(&self, raw: Vec<u8>, source: &str) {
        let configuration = match self.dialect.configuration(&raw) {
            Ok(configuration) => configuration,
            Err(error) => {
                record!(Event::EntryIgnored, key = self.dialect.configuration_key(), reason = error, source = source);
                return;
            }
        };
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        let old = current.as_ref().map(|in_force| in_force.configuration.version);
        if old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        record!(
            Event::ConfigApplied,
            version = configuration.version,
            previous = old.unwrap_or_default(),
            routes = configuration.routes.len(),
            keys = configuration.customers.len(),
            source = source
        );
        self.metrics.version.set(i64::try_from(configuration.version.0).unwrap_or(i64::MAX));
        *current = Some(InForce { configuration: configuration.into(), raw: raw.into() });
        drop(current);
        if !self.is_stopping() {
            self.roster().me.phase = Phase::Ready.into();
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.roster().me.phase() == Phase::Ready
    }

    /// Whether a planned stop began.
    pub fn is_stopping(&self) -> bool {
        self.stop_began.get().is_some()
    }

    /// How long ago a planned stop began.
    pub fn stopping_for(&self) -> Option<Millis> {
        self.stop_began.get().map(|began| self.now().since(*began))
    }

    /// How long a planned stop lasts at most.
    pub fn longest_stop(&self) -> Millis {
        Millis::from(self.settings.bounds.grace).since(STOP_MARGIN)
    }

    /// Whether a request that may take `longest` is still taken: early in a planned stop any is, for callers
    /// need a moment to learn other addresses; later only what surely ends before the process does.
    pub fn takes(&self, longest: Millis) -> bool {
        !self.closed.load(Ordering::SeqCst)
            && self.stopping_for().is_none_or(|past| past <= STOP_TAKES || past + longest <= self.longest_stop())
    }

    /// Counts a request that is being served.
    pub fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
    }

    /// Counts that a request has ended.
    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.metrics.in_flight.dec();
    }

    /// Requests being served.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Takes no more requests if none is being served, or in any case if `now_or_never`; true once none is taken.
    pub fn close(&self, now_or_never: bool) -> bool {
        self.closed.store(true, Ordering::SeqCst);
        let is_closed = now_or_never || self.in_flight() == 0;
        self.closed.store(is_closed, Ordering::SeqCst);
        is_closed
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stop_began.get_or_init(|| self.now());
        self.roster().me.phase = Phase::Leaving.into();
        self.stop_sender.close();
    }

    /// Waits until a planned stop begins.
    pub async fn stopped(&self) {
        // Nothing is ever sent: the channel closes when the stop begins.
        let _closed = self.stop.recv().await;
    }
}

/// A number that rises with each start of a VM's daemon, as long as its time of day does.
fn incarnation() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
