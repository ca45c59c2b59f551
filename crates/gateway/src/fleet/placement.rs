//! Chooses the runner of one request.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselcroft_parts::Millis;

use super::runner_state::RunnerState;
use super::{Ask, Fleet, Load, RunnerKey};
use crate::RunnerRecord;

/// Prompt tokens that an engine reads in a millisecond, for estimates before anything was observed.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// What one more request in a batch adds to the wait of the others, in milliseconds.
const REQUEST_MS: f64 = 2.0;

/// How much longer a request may wait at the runner that has its prompt cached, in milliseconds, before
/// another runner fetches the cached part.
const HOME_BONUS_MS: f64 = 250.0;

/// The same for runners further down the order, so that copies gather on few runners.
const RANK_MS: f64 = 15.0;

/// Runners that are ordered by rank; those behind them count alike.
const RANKED: usize = 4;

/// One runner in so many is kept for interactive requests.
const INTERACTIVE_SHARE: usize = 5;

/// What a request costs on the wrong side of the division into interactive and other runners, in milliseconds.
const SIDE_MS: f64 = 400.0;

/// What a plain service's runner in another availability zone costs, in requests.
const ZONE_REQUESTS: f64 = 0.5;

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
}

impl Fleet {
    /// The runner for a request, or `None` if none takes it.
    pub fn choose(&self, ask: &Ask<'_>, now: Millis) -> Option<Placement> {
        let keys = self.services.get(ask.service)?;
        let usable = |avoided: bool| {
            keys.iter()
                .map(|key| (*key, &self.runners[*key]))
                .filter(|(_, state)| state.record.is_ready && !ask.tried.contains(&state.record.name))
                .filter(|(_, state)| (state.avoided_until > now) == avoided)
                .collect::<Vec<_>>()
        };
        let sound = usable(false);
        let candidates = if sound.is_empty() { usable(true) } else { sound };
        match ask.prompt {
            Some(_) => self.choose_engine(ask, candidates),
            None => self.choose_plain(candidates),
        }
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
        Some(Placement { key, record: state.record.clone(), fetch_from: None, reading: 0, load: state.load() })
    }

    fn choose_engine(&self, ask: &Ask<'_>, mut candidates: Vec<(RunnerKey, &RunnerState)>) -> Option<Placement> {
        let prompt = ask.prompt?;
        let seed = ask.home_seed();
        let interactive = self.interactive_bound(&candidates);
        let on_side = |state: &RunnerState| (side_hash(state) <= interactive) == ask.is_interactive();
        candidates.sort_by_key(|(_, state)| {
            let rank = seed.map_or(0, |seed| std::cmp::Reverse(mix(seed, state.hash)).0);
            (!on_side(state), std::cmp::Reverse(rank))
        });
        let bonus = f64::from(prompt.shared_tokens()).min(HOME_BONUS_MS * READ_TOKENS_PER_MS) / READ_TOKENS_PER_MS;
        let cost = |index: usize, state: &RunnerState| {
            let load = state.load();
            let wait = f64::from(load.reading) / READ_TOKENS_PER_MS + f64::from(load.requests) * REQUEST_MS;
            let side = if on_side(state) { 0.0 } else { SIDE_MS };
            let home = match index {
                0 => 0.0,
                _ if seed.is_some() => bonus + RANK_MS * index.min(RANKED) as f64,
                _ => 0.0,
            };
            wait + side + home
        };
        let home = candidates.first().map(|(_, state)| state.record.clone())?;
        let (key, state) = candidates
            .iter()
            .enumerate()
            .map(|(index, (key, state))| (cost(index, state), *key, *state))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, key, state)| (key, state))?;
        let is_home = state.record.name == home.name;
        let shared = prompt.shared_tokens();
        let fetch_from = (!is_home && shared > 0).then_some(home.address);
        let reading = prompt.input_tokens.saturating_sub(shared);
        Some(Placement { key, record: state.record.clone(), fetch_from, reading, load: state.load() })
    }

    /// The largest side hash of a runner that is kept for interactive requests.
    fn interactive_bound(&self, candidates: &[(RunnerKey, &RunnerState)]) -> u64 {
        let mut hashes: Vec<u64> = candidates.iter().map(|(_, state)| side_hash(state)).collect();
        hashes.sort_unstable();
        let count = hashes.len().div_ceil(INTERACTIVE_SHARE);
        hashes.get(count.saturating_sub(1)).copied().unwrap_or(0)
    }
}

fn side_hash(state: &RunnerState) -> u64 {
    mix(0x9e37_79b9_7f4a_7c15, state.hash)
}

fn mix(seed: u64, hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&hash.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
