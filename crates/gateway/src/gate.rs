//! What every task of a gateway daemon shares.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use teaselcroft_parts::Millis;

use crate::body_memory::BodyMemory;
use crate::connection_pool::ConnectionPool;
use crate::crash_ledger::CrashLedger;
use crate::dialect::Dialect;
use crate::fleet::Fleet;
use crate::heartbeat::{MemberRecord, Phase};
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::retry_ledger::RetryLedger;
use crate::roster::Roster;
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
pub struct Gate<D> {
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

/// A planned stop ends so long before the platform would kill the process.
const STOP_MARGIN: Millis = Millis(350);

/// How long after the beginning of a planned stop any request is taken; callers keep addresses for up to
/// two seconds.
const STOP_TAKES: Millis = Millis(2_500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect> Gate<D> {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, dialect: D) -> Gate<D> {
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
        };
        let (stop_sender, stop) = async_channel::bounded(1);
        Gate {
            dialect,
            fleet: Mutex::new(Fleet::new(settings.zone.clone())),
            pool: Mutex::default(),
            roster: Mutex::new(Roster::new(me)),
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
