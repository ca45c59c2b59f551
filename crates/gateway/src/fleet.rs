//! The known runners, their load and likely cache contents, and the choice of a runner for each request.

mod admission;
mod cache_map;
mod even_load;
mod load;
mod outcomes;
mod peer_loads;
mod placement;
mod placement_request;
mod pressure;
mod runner_table;
mod scored_runner;
mod statements;
mod zone_counts;

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::new_key_type;
use teaselcroft_parts::{Millis, ModelName, RunnerName, ZoneName};
use teaselcroft_policy::PrefillMeter;

use crate::heartbeat::{CacheNews, RunnerLeft, RunnerLoad};
use crate::store::Revision;
use crate::{CachedPart, Prompt, RunnerRecord};

use cache_map::{CacheMap, shared_prefixes};
pub use load::Load;
use peer_loads::PeerLoads;
pub use placement::{Choice, Placement};
pub use placement_request::PlacementRequest;
use runner_table::{RunnerTable, Upserted};

new_key_type! {
    /// Identifies one start of a known runner; a runner that restarts gets a new key.
    pub struct RunnerKey;
}

/// Load counts of a peer that are older than this are discarded, unless its heartbeats are further apart.
const MIN_PEER_LOADS_TTL: Millis = Millis(2_000);

/// How long a runner is avoided after its first refused connection; the time doubles with each further one.
const MIN_AVOIDANCE: Millis = Millis(200);

/// The longest time that a runner is avoided before it is tried again.
const MAX_AVOIDANCE: Millis = Millis(1_600);

/// The shortest time for which heartbeats repeat that a prompt prefix was sent to a runner; several heartbeats, since
/// datagrams get lost.
const MIN_CACHE_NEWS_TTL: Millis = Millis(800);

/// How long after a peer reported a prompt its prefill is assumed to be complete.
const PEER_PREFILL_TIME: Millis = Millis(500);

/// Prompt tokens that a model engine prefills per millisecond, for estimates.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// The shortest time for which heartbeats repeat that a runner left; several heartbeats, since datagrams get lost.
const MIN_DEPARTURE_TTL: Millis = Millis(2_000);

/// The largest batch with which a runner's prefill rate is learned. With larger ones most of a runner's time goes to the
/// streams that it generates, so that its backlog of prompts says little about its speed.
const MAX_METERED_SLOTS: u32 = 32;

/// The most departures in one heartbeat; the latest come first. Where thousands of runners are replaced, all of them would
/// exceed a datagram; the zones' readers forward each of them anyway.
const MAX_DEPARTURES: usize = 64;

/// The most prompt prefixes reported in one heartbeat.
const MAX_CACHE_NEWS: usize = 128;

/// The known runners with their load and likely cache contents, as one daemon sees them.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    runners: RunnerTable,
    peers: HashMap<String, PeerLoads>,
    /// Whether this daemon's own load counts changed since the last `take_changed`.
    changed: bool,
    caches: CacheMap,
    cache_news: Vec<(Millis, CacheNews)>,
    departures: Vec<(Millis, RunnerLeft)>,
    /// Whether runners that fail most of their requests are ejected.
    detects_outliers: bool,
    /// Whether runners' prefill rates are learned.
    learns_speeds: bool,
    /// How long a plain request occupies a runner, if plain services' load is kept even from reports of some age.
    even_hold: Option<Millis>,
}

/// The hash that identifies one start of a runner in messages between daemons.
pub fn runner_hash(name: &RunnerName, started_at: i64) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_str().as_bytes()) ^ started_at.cast_unsigned()
}

impl Fleet {
    /// An empty fleet, for a daemon in `zone`.
    pub fn new(zone: ZoneName) -> Fleet {
        Fleet {
            zone,
            runners: RunnerTable::default(),
            peers: HashMap::new(),
            changed: false,
            caches: CacheMap::default(),
            cache_news: Vec::new(),
            departures: Vec::new(),
            detects_outliers: false,
            learns_speeds: false,
            even_hold: None,
        }
    }

    /// This fleet with outlier detection on or off; it is off in a new one.
    pub fn with_outlier_detection(self, detects_outliers: bool) -> Fleet {
        Fleet { detects_outliers, ..self }
    }

    /// This fleet with learned prefill rates or without; a new one has none.
    pub fn with_learned_speeds(self, learns_speeds: bool) -> Fleet {
        Fleet { learns_speeds, ..self }
    }

    /// Adds or updates a runner from its store entry as of `revision`. Returns true if the runner is new or
    /// changed. One that restarted or has another address counts as a new runner, without load or cache. An entry of an
    /// earlier start changes nothing.
    pub fn upsert(&mut self, record: RunnerRecord, revision: Revision) -> bool {
        let name = record.name.clone();
        let upserted = self.runners.upsert(record, revision);
        if let Upserted::Added(_) = upserted {
            self.start_meter(&name);
        }
        if let Upserted::Added(Some(former)) = upserted {
            self.caches.forget(former);
        }
        upserted != Upserted::Unchanged
    }

    fn start_meter(&mut self, name: &RunnerName) {
        let key = self.runners.find(name).map(|(key, _)| key).filter(|_| self.learns_speeds);
        if let Some(state) = key.and_then(|key| self.runners.get_mut(key)) {
            state.meter = (state.record().slots <= MAX_METERED_SLOTS).then(PrefillMeter::default);
        }
    }

    /// Whether an entry is of an earlier start than the one that is known.
    pub fn is_outdated(&self, record: &RunnerRecord) -> bool {
        self.runners.find(&record.name).is_some_and(|(_, state)| state.record().started_at > record.started_at)
    }

    /// Removes a runner whose entry is gone for good, and returns the key it had.
    pub fn remove_runner(&mut self, name: &RunnerName) -> Option<RunnerKey> {
        let key = self.runners.remove_departed(name)?;
        self.caches.forget(key);
        Some(key)
    }

    /// Whether a runner is leaving, or no longer known.
    pub fn is_leaving(&self, name: &RunnerName) -> bool {
        self.find(name).is_none_or(|(_, record, _)| !record.is_ready)
    }

    /// Queues a report to peers that a runner is leaving or gone as of the store's `revision`.
    pub fn note_departure(&mut self, name: &RunnerName, revision: Revision, now: Millis) {
        if let Some((_, state)) = self.runners.find(name) {
            let departure = RunnerLeft { runner: state.hash(), revision: revision.0, is_stated: false };
            self.departures.push((now, departure));
        }
    }

    /// The runners that left recently, for peers that get a heartbeat every `period`.
    pub fn recent_departures(&mut self, period: Millis, now: Millis) -> Vec<RunnerLeft> {
        let ttl = Millis(period.0 * 2).max(MIN_DEPARTURE_TTL);
        self.departures.retain(|(at, _)| now.since(*at) < ttl);
        let stated = self.departures.iter().rev().filter(|(_, departure)| departure.is_stated);
        let listed = self.departures.iter().rev().filter(|(_, departure)| !departure.is_stated);
        stated.chain(listed).map(|(_, departure)| *departure).take(MAX_DEPARTURES).collect()
    }

    /// Stops sending new requests to a runner that a peer reports as leaving, unless a newer store entry of the
    /// runner is known and the runner did not say so itself. Returns its name if it took requests until now.
    pub fn apply_departure(&mut self, departure: RunnerLeft, now: Millis) -> Option<RunnerName> {
        if departure.is_stated {
            self.runners.stated_mut(departure.runner).leaving = Some(now);
        }
        let state = self.runners.by_hash_mut(departure.runner)?;
        let is_outdated = !departure.is_stated && Revision(departure.revision) < state.revision();
        if !state.record().is_ready || is_outdated {
            return None;
        }
        state.withdraw(state.revision().max(Revision(departure.revision)));
        Some(state.record().name.clone())
    }

    /// The names of all known runners, whether they take requests or not.
    pub fn names(&self) -> Vec<RunnerName> {
        self.runners.names().cloned().collect()
    }

    /// The number of known runners of a service, whether they take requests or not.
    pub fn count_of(&self, service: &ModelName) -> usize {
        self.runners.count_of(service)
    }

    /// The number of known runners, and how many of them take requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.runners.len(), self.runners.states().filter(|state| state.record().is_ready).count())
    }

    /// Counts a request that is sent to a runner and has `prefill_tokens` prompt tokens to prefill there.
    pub fn begin(&mut self, key: RunnerKey, prefill_tokens: u32, now: Millis) {
        if let Some(state) = self.runners.get_mut(key) {
            state.add_pressure(prefill_tokens, now);
            state.own_load.requests += 1;
            self.changed = true;
            state.own_load.prefill_tokens += prefill_tokens;
            state.observe_backlog(now);
        }
    }

    /// Records that a runner will have a prompt's shared prefixes in its cache once it has worked off its prefill
    /// backlog.
    pub fn note_cached(&mut self, key: RunnerKey, prompt: &Prompt, now: Millis) {
        let Some(state) = self.runners.get(key) else {
            return;
        };
        let wait = f64::from(state.load().prefill_tokens) / state.prefill_rate();
        let ready_at = now + Millis(wait as u64);
        for chain in shared_prefixes(prompt) {
            self.caches.note(chain.hash, key, now, ready_at);
            self.cache_news.push((now, CacheNews { chain: chain.hash, runner: state.hash() }));
        }
    }

    /// Records the prompt parts that a runner lists as cached.
    pub fn note_listed_caches(&mut self, key: RunnerKey, parts: &[CachedPart], now: Millis) {
        if self.runners.get(key).is_some() {
            self.caches.note_listed(key, parts, now);
        }
    }

    /// The runners of the services in `services` that are ready, with their entries.
    pub fn ready_runners<'a>(
        &'a self,
        services: impl IntoIterator<Item = &'a ModelName>,
    ) -> impl Iterator<Item = (RunnerKey, &'a Arc<RunnerRecord>)> {
        let states = services.into_iter().flat_map(|service| self.runners.of_service(service));
        states.map(|(key, state)| (key, state.record())).filter(|(_, record)| record.is_ready)
    }

    /// Takes over what runners listed of a prompt's shared parts, before the prompt is placed.
    pub fn adopt_listed_caches(&mut self, prompt: &Prompt, now: Millis) {
        self.caches.adopt_listed(prompt, now);
    }

    /// Records the prompt prefixes that peers report to have sent to runners.
    pub fn apply_peer_caches(&mut self, news: &[CacheNews], now: Millis) {
        for cached in news {
            if let Some(key) = self.runners.key_of(cached.runner) {
                self.caches.note(cached.chain, key, now, now + PEER_PREFILL_TIME);
            }
        }
    }

    /// The prompt prefixes that this daemon recently sent to runners, for heartbeats that are `period` apart.
    pub fn recent_cache_news(&mut self, period: Millis, now: Millis) -> Vec<CacheNews> {
        let ttl = Millis(period.0 * 2).max(MIN_CACHE_NEWS_TTL);
        self.cache_news.retain(|(at, _)| now.since(*at) < ttl);
        self.cache_news.iter().map(|(_, news)| *news).take(MAX_CACHE_NEWS).collect()
    }

    /// Counts that a runner has prefilled a request's prompt.
    pub fn end_prefill(&mut self, key: RunnerKey, prefill_tokens: u32, now: Millis) {
        if let Some(state) = self.runners.get_mut(key) {
            state.own_load.prefill_tokens = state.own_load.prefill_tokens.saturating_sub(prefill_tokens);
            state.observe_backlog(now);
            self.changed = true;
        }
    }

    /// Counts that a request at a runner has ended.
    pub fn end(&mut self, key: RunnerKey) {
        if let Some(state) = self.runners.get_mut(key) {
            state.own_load.requests = state.own_load.requests.saturating_sub(1);
            self.changed = true;
        }
    }

    /// Records that a runner answered, which ends its avoidance and resets the backoff.
    pub fn answered(&mut self, key: RunnerKey) {
        if let Some(state) = self.runners.get_mut(key) {
            state.failures = 0;
            state.avoided_until = Millis(0);
        }
    }

    /// Avoids a runner that refused or broke a connection, with exponential backoff; returns for how long.
    pub fn avoid(&mut self, key: RunnerKey, now: Millis) -> Millis {
        let Some(state) = self.runners.get_mut(key) else {
            return Millis(0);
        };
        let doubled = MIN_AVOIDANCE.0 << state.failures.min(8);
        let span = Millis(doubled.min(MAX_AVOIDANCE.0));
        state.failures += 1;
        self.changed = true;
        state.avoided_until = now + span;
        span
    }

    /// Replaces a peer's load counts. They include the grants up to query `number`, which are no longer counted
    /// separately. Returns the runners that are ejected by what it reports, and for how long.
    pub fn set_peer_loads(
        &mut self,
        peer: &str,
        number: Option<u64>,
        loads: Vec<RunnerLoad>,
        now: Millis,
    ) -> Vec<(RunnerName, Millis)> {
        let ejected = self.apply_peer_outcomes(peer, &loads, now);
        for load in &loads {
            if let Some(state) = self.runners.by_hash_mut(load.runner).filter(|_| load.avoided_ms > 0) {
                state.avoided_until = state.avoided_until.max(now + Millis(u64::from(load.avoided_ms)));
            }
        }
        let mut peer_loads = self.peers.remove(peer).unwrap_or_default();
        let mut touched: Vec<u64> = peer_loads.entries().map(|(runner, _)| runner).collect();
        peer_loads.entries().for_each(|(runner, load)| self.runners.subtract_peer_load(runner, load));
        peer_loads.replace(loads, number, now);
        peer_loads.entries().for_each(|(runner, load)| self.runners.add_peer_load(runner, load));
        touched.extend(peer_loads.entries().map(|(runner, _)| runner));
        self.observe_backlogs(touched, now);
        self.peers.insert(peer.to_owned(), peer_loads);
        ejected
    }

    fn observe_backlogs(&mut self, mut runners: Vec<u64>, now: Millis) {
        if !self.learns_speeds {
            return;
        }
        runners.sort_unstable();
        runners.dedup();
        for runner in runners {
            if let Some(state) = self.runners.by_hash_mut(runner) {
                state.observe_backlog(now);
            }
        }
    }

    /// Counts a runner granted to a peer until the peer's own load counts include the request.
    pub fn granted(&mut self, peer: &str, number: u64, key: RunnerKey, prefill_tokens: u32, now: Millis) {
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        let (hash, load) = (state.hash(), Load { requests: 1, prefill_tokens });
        state.peer_load = state.peer_load + load;
        state.add_pressure(prefill_tokens, now);
        state.observe_backlog(now);
        state.stated.take_allowance(now);
        self.peers.entry(peer.to_owned()).or_default().grant(number, hash, load, now);
    }

    /// Drops the load counts of peers that have not reported for too long, and forgets runners that left long ago. Peers
    /// report at least every `period`.
    pub fn sweep(&mut self, period: Millis, now: Millis) {
        self.runners.update_mean_rates();
        let ttl = Millis(period.0 * 2).max(MIN_PEER_LOADS_TTL);
        let is_expired = |loads: &PeerLoads| now.since(loads.heard()) > ttl;
        let expired: Vec<String> =
            self.peers.iter().filter(|(_, loads)| is_expired(loads)).map(|(peer, _)| peer.clone()).collect();
        expired.iter().for_each(|peer| self.drop_peer_loads(peer));
        self.runners.sweep(now);
    }

    /// Drops the load counts of one peer.
    pub fn drop_peer_loads(&mut self, peer: &str) {
        if let Some(loads) = self.peers.remove(peer) {
            loads.entries().for_each(|(runner, load)| self.runners.subtract_peer_load(runner, load));
        }
    }

    /// Whether this daemon's own load counts changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The key, record and current load of the runner with this name.
    pub fn find(&self, name: &RunnerName) -> Option<(RunnerKey, Arc<RunnerRecord>, Load)> {
        let (key, state) = self.runners.find(name)?;
        Some((key, state.record().clone(), state.load()))
    }

    /// This daemon's own load counts of runners that are in use or avoided, for its heartbeats.
    pub fn own_loads(&self, now: Millis) -> Vec<RunnerLoad> {
        self.runners
            .states()
            .filter(|state| state.is_reported(now))
            .map(|state| RunnerLoad {
                runner: state.hash(),
                requests: state.own_load.requests,
                reading: state.own_load.prefill_tokens,
                avoided_ms: u32::try_from(state.avoided_until.since(now).0).unwrap_or(u32::MAX),
                ended: state.own_outcomes.0,
                failed: state.own_outcomes.1,
            })
            .collect()
    }
}
