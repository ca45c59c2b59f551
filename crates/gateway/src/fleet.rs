//! The runners that are known, what they carry, and which one a request goes to.

mod admission;
mod cache_map;
mod load;
mod peer_loads;
mod placement;
mod placement_request;
mod pressure;
mod runner_state;

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Millis, ModelName, RunnerName, ZoneName};

use crate::Prompt;
use crate::RunnerRecord;
use crate::heartbeat::{CacheNews, RunnerLeft, RunnerLoad};
use crate::store::Revision;

use cache_map::{CacheMap, shared_chains};
pub use load::Load;
use peer_loads::PeerLoads;
pub use placement::{Choice, Placement};
pub use placement_request::PlacementRequest;
use runner_state::RunnerState;

new_key_type! {
    /// A known runner.
    pub struct RunnerKey;
}

/// A peer's counts older than this say nothing any more.
const PEER_LOADS_EXPIRE: Millis = Millis(2_000);

/// The first time for which a runner that refused a connection is avoided; it doubles each time.
const FIRST_AVOIDANCE: Millis = Millis(200);

/// The longest time for which a runner is avoided before it is tried again.
const LONGEST_AVOIDANCE: Millis = Millis(1_600);

/// How long peers are told where a beginning was sent; more than one heartbeat, since datagrams get lost.
const NEWS_TOLD: Millis = Millis(800);

/// How long after the news a peer's prompt is taken to be read.
const NEWS_READ: Millis = Millis(500);

/// Prompt tokens that an engine reads in a millisecond, for estimates.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// How long peers are told at least that a runner left; several heartbeats, since datagrams get lost.
const LEFT_TOLD: Millis = Millis(2_000);

/// Beginnings in one heartbeat at most.
const MOST_NEWS: usize = 128;

/// The runners that are known.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    runners: SlotMap<RunnerKey, RunnerState>,
    names: HashMap<RunnerName, RunnerKey>,
    hashes: HashMap<u64, RunnerKey>,
    services: HashMap<ModelName, Vec<RunnerKey>>,
    peers: HashMap<String, PeerLoads>,
    changed: bool,
    caches: CacheMap,
    news: Vec<(Millis, CacheNews)>,
    left: Vec<(Millis, RunnerLeft)>,
}

/// The hash by which daemons name one start of a runner to each other.
pub fn runner_hash(name: &RunnerName, started_at: i64) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_str().as_bytes()) ^ started_at.cast_unsigned()
}

impl Fleet {
    /// No runners yet, seen from `zone`.
    pub fn new(zone: ZoneName) -> Fleet {
        Fleet {
            zone,
            runners: SlotMap::with_key(),
            names: HashMap::new(),
            hashes: HashMap::new(),
            services: HashMap::new(),
            peers: HashMap::new(),
            changed: false,
            caches: CacheMap::default(),
            news: Vec::new(),
            left: Vec::new(),
        }
    }

    /// Takes in a runner's entry as the store had it at `revision`; true if it is new, changed or started again.
    pub fn seen(&mut self, record: RunnerRecord, revision: Revision) -> bool {
        if let Some(key) = self.names.get(&record.name).copied() {
            let state = &mut self.runners[key];
            state.revision = state.revision.max(revision);
            let known = &state.record;
            if **known == record {
                return false;
            }
            if known.started_at == record.started_at && known.address == record.address {
                state.record = record.into();
                return true;
            }
            self.gone(&record.name);
        }
        let hash = runner_hash(&record.name, record.started_at);
        let (name, service) = (record.name.clone(), record.service.clone());
        let key = self.runners.insert(RunnerState::new(record, hash, revision));
        self.names.insert(name, key);
        self.hashes.insert(hash, key);
        self.services.entry(service).or_default().push(key);
        true
    }

    /// Forgets a runner; returns what was known of it.
    pub fn gone(&mut self, name: &RunnerName) -> Option<RunnerKey> {
        let key = self.names.remove(name)?;
        let state = self.runners.remove(key)?;
        self.hashes.remove(&state.hash);
        self.caches.forget(key);
        if let Some(keys) = self.services.get_mut(&state.record.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Remembers to tell peers that a runner is leaving or gone, as the store had it at `revision`.
    pub fn note_left(&mut self, name: &RunnerName, revision: Revision, now: Millis) {
        if let Some(state) = self.names.get(name).and_then(|key| self.runners.get(*key)) {
            self.left.push((now, RunnerLeft { runner: state.hash, revision: revision.0 }));
        }
    }

    /// Runners that lately left, for peers that are sent news every `period`.
    pub fn left_news(&mut self, period: Millis, now: Millis) -> Vec<RunnerLeft> {
        let told = Millis(period.0 * 2).max(LEFT_TOLD);
        self.left.retain(|(at, _)| now.since(*at) < told);
        self.left.iter().map(|(_, news)| *news).collect()
    }

    /// Stops sending new requests to a runner that left, as a peer read in the store, unless its entry was seen
    /// after that.
    pub fn leaving(&mut self, news: RunnerLeft) -> Option<RunnerName> {
        let state = self.runners.get_mut(*self.hashes.get(&news.runner)?)?;
        if !state.record.is_ready || Revision(news.revision) < state.revision {
            return None;
        }
        let record = RunnerRecord { is_ready: false, ..(*state.record).clone() };
        state.record = record.into();
        Some(state.record.name.clone())
    }

    /// Every known runner's name.
    pub fn names(&self) -> Vec<RunnerName> {
        self.names.keys().cloned().collect()
    }

    /// The number of a service's known runners.
    pub fn count_of(&self, service: &ModelName) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// The number of known runners, and of those that take requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.runners.len(), self.runners.values().filter(|state| state.record.is_ready).count())
    }

    /// Counts a request that is sent to a runner.
    pub fn begin(&mut self, key: RunnerKey, reading: u32, now: Millis) {
        if let Some(state) = self.runners.get_mut(key) {
            state.pressure.add(reading, now);
            state.mine.requests += 1;
            self.changed = true;
            state.mine.reading += reading;
        }
    }

    /// Notes that a runner will have a prompt's beginning in its cache.
    pub fn note_cached(&mut self, key: RunnerKey, prompt: &Prompt, now: Millis) {
        let Some(state) = self.runners.get(key) else {
            return;
        };
        let wait = f64::from(state.load().reading) / READ_TOKENS_PER_MS;
        let read = now + Millis(wait as u64);
        for chain in shared_chains(prompt) {
            self.caches.note(chain.hash, key, now, read);
            self.news.push((now, CacheNews { chain: chain.hash, runner: state.hash }));
        }
    }

    /// Takes in where peers sent which beginnings.
    pub fn peer_caches(&mut self, news: &[CacheNews], now: Millis) {
        for one in news {
            if let Some(key) = self.hashes.get(&one.runner) {
                self.caches.note(one.chain, *key, now, now + NEWS_READ);
            }
        }
    }

    /// Where this daemon lately sent which beginnings.
    pub fn cache_news(&mut self, now: Millis) -> Vec<CacheNews> {
        self.news.retain(|(at, _)| now.since(*at) < NEWS_TOLD);
        self.news.iter().map(|(_, news)| *news).take(MOST_NEWS).collect()
    }

    /// Counts that a runner has read a request's prompt.
    pub fn prompt_read(&mut self, key: RunnerKey, reading: u32) {
        if let Some(state) = self.runners.get_mut(key) {
            state.mine.reading = state.mine.reading.saturating_sub(reading);
            self.changed = true;
        }
    }

    /// Counts that a request left a runner.
    pub fn end(&mut self, key: RunnerKey) {
        if let Some(state) = self.runners.get_mut(key) {
            state.mine.requests = state.mine.requests.saturating_sub(1);
            self.changed = true;
        }
    }

    /// Notes that a runner answered.
    pub fn answered(&mut self, key: RunnerKey) {
        if let Some(state) = self.runners.get_mut(key) {
            state.failures = 0;
            state.avoided_until = Millis(0);
        }
    }

    /// Avoids a runner that refused or broke a connection; returns for how long.
    pub fn avoid(&mut self, key: RunnerKey, now: Millis) -> Millis {
        let Some(state) = self.runners.get_mut(key) else {
            return Millis(0);
        };
        let doubled = FIRST_AVOIDANCE.0 << state.failures.min(8);
        let span = Millis(doubled.min(LONGEST_AVOIDANCE.0));
        state.failures += 1;
        self.changed = true;
        state.avoided_until = now + span;
        span
    }

    /// Takes in a peer's counts; grants up to question `number` are among them.
    pub fn peer_loads(&mut self, peer: &str, number: Option<u64>, loads: Vec<RunnerLoad>, now: Millis) {
        for load in &loads {
            let state = self.hashes.get(&load.runner).and_then(|key| self.runners.get_mut(*key));
            if let Some(state) = state.filter(|_| load.avoided_ms > 0) {
                state.avoided_until = state.avoided_until.max(now + Millis(u64::from(load.avoided_ms)));
            }
        }
        let mut peer_loads = self.peers.remove(peer).unwrap_or_default();
        peer_loads.entries().for_each(|(runner, load)| self.subtract(runner, load));
        peer_loads.replace(loads, number, now);
        peer_loads.entries().for_each(|(runner, load)| self.add(runner, load));
        self.peers.insert(peer.to_owned(), peer_loads);
    }

    /// Counts a runner granted to a peer until the peer's own counts include it.
    pub fn granted(&mut self, peer: &str, number: u64, key: RunnerKey, reading: u32, now: Millis) {
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        let (hash, load) = (state.hash, Load { requests: 1, reading });
        state.others = state.others + load;
        state.pressure.add(reading, now);
        self.peers.entry(peer.to_owned()).or_default().grant(number, hash, load, now);
    }

    /// Forgets counts that are too old.
    pub fn sweep(&mut self, now: Millis) {
        let is_old = |loads: &PeerLoads| now.since(loads.heard()) > PEER_LOADS_EXPIRE;
        let old: Vec<String> =
            self.peers.iter().filter(|(_, loads)| is_old(loads)).map(|(peer, _)| peer.clone()).collect();
        old.iter().for_each(|peer| self.peer_lost(peer));
    }

    /// Forgets a peer's counts.
    pub fn peer_lost(&mut self, peer: &str) {
        if let Some(loads) = self.peers.remove(peer) {
            loads.entries().for_each(|(runner, load)| self.subtract(runner, load));
        }
    }

    fn add(&mut self, runner: u64, load: Load) {
        if let Some(state) = self.hashes.get(&runner).and_then(|key| self.runners.get_mut(*key)) {
            state.others = state.others + load;
        }
    }

    fn subtract(&mut self, runner: u64, load: Load) {
        if let Some(state) = self.hashes.get(&runner).and_then(|key| self.runners.get_mut(*key)) {
            state.others = state.others.without(load);
        }
    }

    /// Whether this daemon's counts changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The runner with this name and its record.
    pub fn find(&self, name: &RunnerName) -> Option<(RunnerKey, Arc<RunnerRecord>, Load)> {
        let key = *self.names.get(name)?;
        let state = self.runners.get(key)?;
        Some((key, state.record.clone(), state.load()))
    }

    /// This daemon's counts, for its heartbeat.
    pub fn own_loads(&self, now: Millis) -> Vec<RunnerLoad> {
        self.runners
            .values()
            .map(|state| RunnerLoad {
                runner: state.hash,
                requests: state.mine.requests,
                reading: state.mine.reading,
                avoided_ms: u32::try_from(state.avoided_until.since(now).0).unwrap_or(u32::MAX),
            })
            .filter(|load| load.requests > 0 || load.avoided_ms > 0)
            .collect()
    }
}
