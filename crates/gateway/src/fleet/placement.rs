//! Chooses the runner for one request by its estimated cost there.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName};

use super::admission::{has_free_slot, max_pressure};
use super::cache_map::shared_prefixes;
use super::runner_table::RunnerState;
use super::scored_runner::{ScoredRunner, choose_admitted};
use super::{Fleet, Load, PlacementRequest, RunnerKey};
use crate::{Prompt, RunnerRecord};

/// The delay that one more request in a batch adds for the others, in milliseconds.
const REQUEST_COST_MS: f64 = 2.0;

/// The cost of fetching a cached token from another runner, in milliseconds. Fetching is fast, but moving the memory
/// has a cost, so a request prefers to wait for the runner that has its prefix as long as it stays on time.
const FETCH_COST_MS: f64 = 0.04;

/// A sheddable request is not placed where it would prefill this many tokens that another usable runner has or is
/// prefilling already: in a burst the runners lack the time for it, and a moment later the prefix can be fetched.
const DUPLICATE_LIMIT_TOKENS: u32 = 2_000;

/// The extra cost of prefilling a token again that another runner has or is prefilling, in milliseconds.
const DUPLICATE_COST_MS: f64 = 0.05;

/// The cost of each later rank in the prefix's order of runners, in milliseconds, so that daemons that see a new
/// prefix at the same moment choose the same runner.
const RANK_COST_MS: f64 = 5.0;

/// The number of ranks with a different cost; all later runners cost the same.
const DISTINCT_RANKS: usize = 4;

/// One runner out of this many is reserved for interactive requests.
const RUNNERS_PER_INTERACTIVE: usize = 5;

/// The cost of an interactive request on another runner, or of another request on an interactive runner, in
/// milliseconds.
const WRONG_POOL_COST_MS: f64 = 2_000.0;

/// The cost of a plain service's runner in another availability zone, in requests.
pub(super) const CROSS_ZONE_COST_REQUESTS: f64 = 0.5;

/// The outcome of a placement.
#[derive(Debug, Clone)]
pub enum Choice {
    /// A runner takes the request.
    Placed(Placement),
    /// No runner has capacity left for a request of its priority.
    Full,
    /// The service has no ready runner, or all of them were tried already.
    NoRunner,
}

/// The runner chosen for a request, and what placement knew about it.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The runner.
    pub key: RunnerKey,
    /// The runner's store entry.
    pub record: Arc<RunnerRecord>,
    /// The address of a runner from which this one can fetch shared prompt parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the runner has to prefill.
    pub prefill_tokens: u32,
    /// The runner's load when it was chosen, without this request.
    pub load: Load,
    /// How long the runner's prefill pressure takes to drain.
    pub pressure: Millis,
    /// The age of the load counts that it was chosen by; `None` if only this daemon's own were known.
    pub age: Option<Millis>,
    /// Whether the placement leader chose it, rather than this daemon itself.
    pub is_granted: bool,
}

impl Fleet {
    /// Chooses the runner for a request. Avoided and ejected runners are used only if no other runner is left, those whose rate limit
    /// is used up, or that asked this daemon for a pause, not at all.
    pub fn choose(&self, request: &PlacementRequest<'_>, now: Millis) -> Choice {
        let is_usable = |state: &RunnerState| {
            let record = state.record();
            record.is_ready && !request.tried.contains(&record.name)
        };
        let ready: Vec<(RunnerKey, &RunnerState)> =
            self.runners.of_service(request.service).filter(|(_, state)| is_usable(state)).collect();
        if ready.is_empty() {
            return Choice::NoRunner;
        }
        let is_open = |state: &RunnerState| {
            state.stated.held_until <= now && state.stated.is_within_limit(request.uses_limited, now)
        };
        let open = ready.into_iter().filter(|(_, state)| is_open(state));
        let (avoided, healthy): (Vec<_>, Vec<_>) =
            open.partition(|(_, state)| state.avoided_until > now || !state.outlier.is_usable(now));
        let candidates = if healthy.is_empty() { avoided } else { healthy };
        if candidates.is_empty() {
            return Choice::Full;
        }
        let placement = match request.prompt {
            Some(prompt) => self.choose_engine(request, prompt, candidates, now),
            None => match self.even_hold {
                Some(hold) => self.choose_evenly(candidates, hold, now),
                None => self.choose_plain(candidates),
            },
        };
        placement.map_or(Choice::Full, Choice::Placed)
    }

    fn choose_plain(&self, candidates: Vec<(RunnerKey, &RunnerState)>) -> Option<Placement> {
        let cost = |state: &RunnerState| {
            let zone_cost = if state.record().zone == self.zone { 0.0 } else { CROSS_ZONE_COST_REQUESTS };
            let occupancy = f64::from(state.load().requests) + zone_cost;
            occupancy / f64::from(state.record().slots.max(1)) + fastrand::f64() * 1e-3
        };
        let (key, state) = candidates
            .into_iter()
            .map(|(key, state)| (cost(state), key, state))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key, state)| (key, state))?;
        Some(Placement {
            key,
            record: state.record().clone(),
            fetch_from: None,
            prefill_tokens: 0,
            load: state.load(),
            pressure: Millis(0),
            age: None,
            is_granted: false,
        })
    }

    fn choose_engine(
        &self,
        request: &PlacementRequest<'_>,
        prompt: &Prompt,
        candidates: Vec<(RunnerKey, &RunnerState)>,
        now: Millis,
    ) -> Option<Placement> {
        let prefixes = shared_prefixes(prompt);
        let held = self.caches.longest_held(&prefixes, now);
        let source = held.sources.iter().find_map(|key| self.runners.get(*key));
        let shared = prompt.shared_tokens();
        let own = prompt.input_tokens.saturating_sub(shared);
        let interactive = self.interactive_bound(request.service);
        let seed = prefixes.first().map_or(0, |prefix| prefix.hash);
        let is_held = candidates.iter().any(|(key, _)| held.known_holders.contains(key));
        let max_pressure = max_pressure(request.priority, request.target);
        // Where a runner has the prompt's prefix, the next best one would have to prefill or fetch it for the same request:
        // while most runners are under pressure that only spreads it. A prefix that no runner has costs the same anywhere.
        let is_spare = max_pressure.is_some_and(|limit| self.mean_pressure(&candidates, now).0 * 2 < limit.0);
        let is_metered = candidates.iter().any(|(_, state)| state.meter.is_some());
        let any_admitted = is_metered && (!is_held || is_spare);
        let may_duplicate = max_pressure.is_none() || !is_held;
        let mut ranked = candidates;
        ranked.retain(|(_, state)| has_free_slot(state.load(), state.record().slots, max_pressure.is_some()));
        ranked.sort_by_key(|(_, state)| seeded_hash(seed, state.hash()));
        let score = |(rank, (key, state)): (usize, (RunnerKey, &RunnerState))| {
            let cached = self.caches.cached_tokens(&prefixes, key, now);
            let fetched = held.fetchable_tokens.saturating_sub(cached);
            let duplicate = held.known_tokens.saturating_sub(cached + fetched);
            let prefill_tokens = own + shared.saturating_sub(cached + fetched);
            let load = state.load();
            let is_in_pool = (state.pool_hash <= interactive) == request.is_interactive();
            let rate = state.prefill_rate();
            let wait = f64::from(load.prefill_tokens + prefill_tokens) / rate;
            let cost = wait
                + f64::from(load.requests) * REQUEST_COST_MS
                + f64::from(fetched) * FETCH_COST_MS
                + f64::from(duplicate) * DUPLICATE_COST_MS
                + RANK_COST_MS * rank.min(DISTINCT_RANKS) as f64
                + if is_in_pool { 0.0 } else { WRONG_POOL_COST_MS };
            let fetch_from = source.filter(|_| fetched > 0).map(|source| source.record().address);
            let (record, pressure) = (state.record().clone(), state.pressure.drain_time(rate, now));
            let placement =
                Placement { key, record, fetch_from, prefill_tokens, load, pressure, age: None, is_granted: false };
            (duplicate, ScoredRunner { cost, is_in_pool, placement })
        };
        let scored = ranked.into_iter().enumerate().map(score);
        let is_eligible = |(duplicate, runner): (u32, ScoredRunner)| {
            (may_duplicate || duplicate < DUPLICATE_LIMIT_TOKENS).then_some(runner)
        };
        let scored: Vec<ScoredRunner> = scored.filter_map(is_eligible).collect();
        choose_admitted(&scored, max_pressure, any_admitted).cloned()
    }

    /// The mean time that the runners' prefill pressure takes to drain.
    fn mean_pressure(&self, runners: &[(RunnerKey, &RunnerState)], now: Millis) -> Millis {
        let drain_time = |state: &RunnerState| state.pressure.drain_time(state.prefill_rate(), now).0;
        Millis(runners.iter().map(|(_, state)| drain_time(state)).sum::<u64>() / runners.len().max(1) as u64)
    }

    /// The largest pool hash of the runners that are reserved for interactive requests.
    fn interactive_bound(&self, service: &ModelName) -> u64 {
        let ready = self.runners.of_service(service).filter(|(_, state)| state.record().is_ready);
        let mut pool_hashes: Vec<u64> = ready.map(|(_, state)| state.pool_hash).collect();
        let Some(last) = pool_hashes.len().div_ceil(RUNNERS_PER_INTERACTIVE).checked_sub(1) else {
            return 0;
        };
        *pool_hashes.select_nth_unstable(last).1
    }
}

/// A hash that orders runners differently for each `seed`.
pub(super) fn seeded_hash(seed: u64, hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&hash.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
