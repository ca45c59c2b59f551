//! Which runners have which prompt beginnings in their cache, as far as requests were sent there.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use super::RunnerKey;
use crate::Prompt;

/// A beginning that was not used for so long has likely been evicted.
const FORGOTTEN: Millis = Millis(25_000);

/// Beginnings remembered at most.
const MOST_CHAINS: usize = 20_000;

/// A beginning of prompts: some first parts, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chain {
    /// A hash of the model and the parts.
    pub hash: u64,
    /// Tokens of all its parts.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    runner: RunnerKey,
    used: Millis,
    /// When the runner has likely read it, so that others can fetch it.
    read: Millis,
}

/// What runners have of a prompt.
#[derive(Debug, Default)]
pub struct Held {
    /// Tokens of the longest beginning that some runner has read or will read.
    pub known: u32,
    /// The runners that have read or will read it.
    pub readers: Vec<RunnerKey>,
    /// Tokens of the longest beginning that can be fetched.
    pub fetchable: u32,
    /// The runners that have it.
    pub sources: Vec<RunnerKey>,
}

/// Which runners have which prompt beginnings in their cache.
#[derive(Debug, Default)]
pub struct CacheMap {
    holders: HashMap<u64, Vec<Holder>>,
}

/// The beginnings of a prompt that other prompts may share, shortest first.
pub fn shared_chains(prompt: &Prompt) -> Vec<Chain> {
    let mut chain = Chain { hash: rapidhash::v3::rapidhash_v3(prompt.model.as_bytes()), tokens: 0 };
    let extend = |part: &crate::PromptPart| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&chain.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        chain = Chain { hash: rapidhash::v3::rapidhash_v3(&bytes), tokens: chain.tokens + part.tokens };
        chain
    };
    prompt.shared().iter().map(extend).collect()
}

impl CacheMap {
    /// Notes that a request with this beginning was sent to a runner, which will have read it at `read`.
    pub fn note(&mut self, chain: u64, runner: RunnerKey, now: Millis, read: Millis) {
        if self.holders.len() >= MOST_CHAINS && !self.holders.contains_key(&chain) {
            self.sweep(now);
        }
        let holders = self.holders.entry(chain).or_default();
        match holders.iter_mut().find(|holder| holder.runner == runner) {
            Some(holder) => holder.used = now,
            None => holders.push(Holder { runner, used: now, read }),
        }
    }

    /// The tokens of the longest of `chains` that a runner has.
    pub fn cached_tokens(&self, chains: &[Chain], runner: RunnerKey, now: Millis) -> u32 {
        let has = |chain: &&Chain| self.live_holders(chain.hash, now).any(|holder| holder.runner == runner);
        chains.iter().rev().find(has).map_or(0, |chain| chain.tokens)
    }

    /// The tokens of the longest known of `chains`, and those of the longest that can be fetched with the runners
    /// that have it.
    pub fn longest_held(&self, chains: &[Chain], now: Millis) -> Held {
        let mut held = Held::default();
        for chain in chains.iter().rev() {
            let holders: Vec<&Holder> = self.live_holders(chain.hash, now).collect();
            if !holders.is_empty() && held.readers.is_empty() {
                held.known = chain.tokens;
                held.readers = holders.iter().map(|holder| holder.runner).collect();
            }
            held.sources = holders.iter().filter(|holder| holder.read <= now).map(|holder| holder.runner).collect();
            if !held.sources.is_empty() {
                held.fetchable = chain.tokens;
                break;
            }
        }
        held
    }

    fn live_holders(&self, chain: u64, now: Millis) -> impl Iterator<Item = &Holder> + '_ {
        let holders = self.holders.get(&chain).map_or(&[][..], Vec::as_slice);
        holders.iter().filter(move |holder| now.since(holder.used) < FORGOTTEN)
    }

    /// Forgets a runner.
    pub fn forget(&mut self, runner: RunnerKey) {
        self.keep(|holder| holder.runner != runner);
    }

    /// Forgets what has likely been evicted.
    pub fn sweep(&mut self, now: Millis) {
        self.keep(|holder| now.since(holder.used) < FORGOTTEN);
    }

    fn keep(&mut self, is_kept: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(&is_kept);
            !holders.is_empty()
        });
    }
}
