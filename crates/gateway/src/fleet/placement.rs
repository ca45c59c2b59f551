//! Chooses the runner of one request.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName};

use super::admission::{has_place, most_pressure};
use super::cache_map::shared_chains;
use super::runner_state::RunnerState;
use super::{Fleet, Load, PlacementRequest, READ_TOKENS_PER_MS, RunnerKey};
use crate::{Prompt, RunnerRecord};

/// What one more request in a batch adds to the wait of the others, in milliseconds.
const REQUEST_MS: f64 = 2.0;

/// What fetching a cached token from another runner costs, as time: fetching is quick, but the memory moved
/// has its price, so that a request rather waits for the runner that has its beginning while it is in time.
const FETCH_MS: f64 = 0.04;

/// A lesser request does not read a part of so many tokens that a sound runner is reading already: the runners
/// have not the time in a burst, and a moment later the part can be fetched.
const LARGE_PART: u32 = 2_000;

/// What reading a token again costs that another runner has read or is reading, as time.
const AGAIN_MS: f64 = 0.05;

/// What a later place in the order of runners costs, in milliseconds: daemons that meet a new beginning at the
/// same moment choose the same runner.
const RANK_MS: f64 = 5.0;

/// Runners that are ordered by rank; those behind them count alike.
const RANKED: usize = 4;

/// One runner in so many is kept for interactive requests.
const INTERACTIVE_SHARE: usize = 5;

/// What a request costs on the wrong side of the division into interactive and other runners, in milliseconds.
const SIDE_MS: f64 = 2_000.0;

/// What a plain service's runner in another availability zone costs, in requests.
const ZONE_REQUESTS: f64 = 0.5;

/// What comes of asking for a runner.
#[derive(Debug, Clone)]
pub enum Choice {
    /// A runner takes the request.
    Placed(Placement),
    /// All runners are full for a request of its priority.
    Full,
    /// There is no runner that it could go to.
    NoRunner,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The runner.
    pub key: RunnerKey,
    /// What its entry says.
    pub record: Arc<RunnerRecord>,
    /// A runner that likely has the prompt's shared parts, where this one does not.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the runner will have to read.
    pub reading: u32,
    /// What the runner carried when it was chosen.
    pub load: Load,
    /// How long what the runner was given to read takes to be read.
    pub pressure: Millis,
    /// Whether the placing daemon chose it, not this one.
    pub is_granted: bool,
}

impl Fleet {
    /// The runner for a request.
    pub fn choose(&self, ask: &PlacementRequest<'_>, now: Millis) -> Choice {
        let keys = self.services.get(ask.service).map_or(&[][..], Vec::as_slice);
        let usable = |avoided: bool| {
            keys.iter()
                .map(|key| (*key, &self.runners[*key]))
                .filter(|(_, state)| state.record.is_ready && !ask.tried.contains(&state.record.name))
                .filter(|(_, state)| (state.avoided_until > now) == avoided)
                .collect::<Vec<_>>()
        };
        let sound = usable(false);
        let candidates = if sound.is_empty() { usable(true) } else { sound };
        if candidates.is_empty() {
            return Choice::NoRunner;
        }
        let placement = match ask.prompt {
            Some(prompt) => self.choose_engine(ask, prompt, candidates, now),
            None => self.choose_plain(candidates),
        };
        placement.map_or(Choice::Full, Choice::Placed)
    }

    fn choose_plain(&self, candidates: Vec<(RunnerKey, &RunnerState)>) -> Option<Placement> {
        let cost = |state: &RunnerState| {
            let far = if state.record.zone == self.zone { 0.0 } else { ZONE_REQUESTS };
            let occupancy = f64::from(state.load().requests) + far;
            occupancy / f64::from(state.record.slots.max(1)) + fastrand::f64() * 1e-3
        };
        let (key, state) = candidates
            .into_iter()
            .map(|(key, state)| (cost(state), key, state))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, key, state)| (key, state))?;
        Some(Placement {
            key,
            record: state.record.clone(),
            fetch_from: None,
            reading: 0,
            load: state.load(),
            pressure: Millis(0),
            is_granted: false,
        })
    }

    fn choose_engine(
        &self,
        ask: &PlacementRequest<'_>,
        prompt: &Prompt,
        candidates: Vec<(RunnerKey, &RunnerState)>,
        now: Millis,
    ) -> Option<Placement> {
        let chains = shared_chains(prompt);
        let held = self.caches.longest_held(&chains, now);
        let source = held.sources.iter().find_map(|key| self.runners.get(*key));
        let shared = prompt.shared_tokens();
        let own = prompt.input_tokens.saturating_sub(shared);
        let interactive = self.interactive_bound(ask.service);
        let seed = chains.first().map_or(0, |chain| chain.hash);
        let is_read_soon = candidates.iter().any(|(key, _)| held.readers.contains(key));
        let most_pressure = most_pressure(ask.priority, ask.target);
        let may_repeat = most_pressure.is_none() || !is_read_soon;
        let mut ranked = candidates;
        ranked.retain(|(_, state)| has_place(state.load(), state.record.slots, most_pressure.is_some()));
        ranked.sort_by_key(|(_, state)| mix(seed, state.hash));
        let option = |(rank, (key, state)): (usize, (RunnerKey, &RunnerState))| {
            let cached = self.caches.cached_tokens(&chains, key, now);
            let fetched = held.fetchable.saturating_sub(cached);
            let again = held.known.saturating_sub(cached + fetched);
            let reading = own + shared.saturating_sub(cached + fetched);
            let load = state.load();
            let is_on_side = (state.side <= interactive) == ask.is_interactive();
            let wait = f64::from(load.reading + reading) / READ_TOKENS_PER_MS;
            let cost = wait
                + f64::from(load.requests) * REQUEST_MS
                + f64::from(fetched) * FETCH_MS
                + f64::from(again) * AGAIN_MS
                + RANK_MS * rank.min(RANKED) as f64
                + if is_on_side { 0.0 } else { SIDE_MS };
            let fetch_from = source.filter(|_| fetched > 0).map(|source| source.record.address);
            let (record, pressure) = (state.record.clone(), state.pressure.drain_time(now));
            (cost, again, Placement { key, record, fetch_from, reading, load, pressure, is_granted: false })
        };
        let options = ranked.into_iter().enumerate().map(option);
        let options = options.filter(|(_, again, _)| may_repeat || *again < LARGE_PART);
        let (_, _, best) = options.min_by(|one, other| one.0.total_cmp(&other.0))?;
        // The next best runner would read more for the same request: under pressure that only spreads it.
        most_pressure.is_none_or(|most| best.pressure <= most).then_some(best)
    }

    /// The largest side hash of a runner that is kept for interactive requests.
    fn interactive_bound(&self, service: &ModelName) -> u64 {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let ready = keys.iter().map(|key| &self.runners[*key]).filter(|state| state.record.is_ready);
        let mut sides: Vec<u64> = ready.map(|state| state.side).collect();
        let Some(last) = sides.len().div_ceil(INTERACTIVE_SHARE).checked_sub(1) else {
            return 0;
        };
        *sides.select_nth_unstable(last).1
    }
}

/// Orders runners by `seed`, in another way for each.
pub(super) fn mix(seed: u64, hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&hash.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
