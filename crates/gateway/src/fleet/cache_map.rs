//! An estimate of which prompt prefixes are in which runner's KV cache, from the requests that were sent there.

use std::collections::HashMap;

use teaselcroft_parts::Millis;

use super::RunnerKey;
use crate::{CachedPart, Prompt};

/// A prefix that was not used for this long has likely been evicted from the runner's cache.
const EVICTED_AFTER: Millis = Millis(25_000);

/// From this number of prefixes on, expired ones are removed before a new one is added.
const SWEEP_THRESHOLD: usize = 20_000;

/// A prompt prefix: the first parts of a prompt, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// A hash of the model and the parts, which chains the hash of the prefix that is one part shorter.
    pub hash: u64,
    /// The tokens of all its parts.
    pub tokens: u32,
}

/// A runner that was sent a prefix.
#[derive(Debug, Clone, Copy)]
struct Holder {
    runner: RunnerKey,
    used_at: Millis,
    /// When the runner has likely prefilled it, so that other runners can fetch it.
    ready_at: Millis,
}

/// Which prefixes of one prompt runners have in their caches.
#[derive(Debug, Default)]
pub struct PrefixHolders {
    /// Tokens of the longest prefix that some runner has prefilled or is about to.
    pub known_tokens: u32,
    /// The runners that have prefilled that prefix or are about to.
    pub known_holders: Vec<RunnerKey>,
    /// Tokens of the longest prefix that some runner has prefilled, so that it can be fetched.
    pub fetchable_tokens: u32,
    /// The runners that have prefilled that prefix.
    pub sources: Vec<RunnerKey>,
}

/// A runner that listed a prompt part as cached.
#[derive(Debug, Clone, Copy)]
struct ListedPart {
    runner: RunnerKey,
    tokens: u32,
    listed_at: Millis,
}

/// Maps prompt prefixes to the runners that likely have them in their KV cache.
#[derive(Debug, Default)]
pub struct CacheMap {
    holders: HashMap<u64, Vec<Holder>>,
    /// What runners listed, by a hash of model and part; a list does not say which parts precede a part.
    listed: HashMap<u64, Vec<ListedPart>>,
}

/// A hash of a model and a prompt part.
fn part_hash(model: &str, id: u64) -> u64 {
    rapidhash::v3::rapidhash_v3(model.as_bytes()).rotate_left(17) ^ id
}

/// The prefixes of a prompt that other prompts may share, shortest first.
pub fn shared_prefixes(prompt: &Prompt) -> Vec<Prefix> {
    let mut prefix = Prefix { hash: rapidhash::v3::rapidhash_v3(prompt.model.as_bytes()), tokens: 0 };
    let extend = |part: &crate::PromptPart| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&prefix.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        prefix = Prefix { hash: rapidhash::v3::rapidhash_v3(&bytes), tokens: prefix.tokens + part.tokens };
        prefix
    };
    prompt.shared().iter().map(extend).collect()
}

impl CacheMap {
    /// Records that a request with the prefix `prefix` was sent to a runner, which has prefilled it at `ready_at`. A
    /// runner that is known to have the prefix keeps its earlier `ready_at`.
    pub fn note(&mut self, prefix: u64, runner: RunnerKey, now: Millis, ready_at: Millis) {
        if self.holders.len() >= SWEEP_THRESHOLD && !self.holders.contains_key(&prefix) {
            self.sweep(now);
        }
        let holders = self.holders.entry(prefix).or_default();
        match holders.iter_mut().find(|holder| holder.runner == runner) {
            Some(holder) => holder.used_at = now,
            None => holders.push(Holder { runner, used_at: now, ready_at }),
        }
    }

    /// Records the parts that a runner lists as cached.
    pub fn note_listed(&mut self, runner: RunnerKey, parts: &[CachedPart], now: Millis) {
        for part in parts {
            let listed = ListedPart { runner, tokens: part.tokens, listed_at: now };
            self.listed.entry(part_hash(&part.model, part.id)).or_default().push(listed);
        }
    }

    /// Records those prefixes of a prompt that runners have by what they listed: a runner has a prefix if it has all its
    /// parts whole. What is known from requests stays as it is.
    pub fn adopt_listed(&mut self, prompt: &Prompt, now: Millis) {
        if self.listed.is_empty() {
            return;
        }
        let mut having: Option<Vec<ListedPart>> = None;
        for (part, prefix) in prompt.shared().iter().zip(shared_prefixes(prompt)) {
            let listed = self.listed.get(&part_hash(&prompt.model, part.id)).map_or(&[][..], Vec::as_slice);
            let is_whole =
                |holder: &&ListedPart| holder.tokens >= part.tokens && now.since(holder.listed_at) < EVICTED_AFTER;
            let has_rest = |runner| having.as_ref().is_none_or(|all| all.iter().any(|other| other.runner == runner));
            let whole: Vec<ListedPart> =
                listed.iter().filter(is_whole).filter(|holder| has_rest(holder.runner)).copied().collect();
            if whole.is_empty() {
                return;
            }
            let holders = self.holders.entry(prefix.hash).or_default();
            for ListedPart { runner, listed_at, .. } in &whole {
                if holders.iter().all(|holder| holder.runner != *runner) {
                    holders.push(Holder { runner: *runner, used_at: *listed_at, ready_at: *listed_at });
                }
            }
            having = Some(whole);
        }
    }

    /// The tokens of the longest of `prefixes` that one runner has or is about to have; `prefixes` are shortest first.
    pub fn cached_tokens(&self, prefixes: &[Prefix], runner: RunnerKey, now: Millis) -> u32 {
        let has = |prefix: &&Prefix| self.live_holders(prefix.hash, now).any(|holder| holder.runner == runner);
        prefixes.iter().rev().find(has).map_or(0, |prefix| prefix.tokens)
    }

    /// The longest of `prefixes` that any runner has or is about to have, and the longest that can be fetched, each
    /// with its runners.
    pub fn longest_held(&self, prefixes: &[Prefix], now: Millis) -> PrefixHolders {
        let mut held = PrefixHolders::default();
        for prefix in prefixes.iter().rev() {
            let holders: Vec<&Holder> = self.live_holders(prefix.hash, now).collect();
            if !holders.is_empty() && held.known_holders.is_empty() {
                held.known_tokens = prefix.tokens;
                held.known_holders = holders.iter().map(|holder| holder.runner).collect();
            }
            held.sources = holders.iter().filter(|holder| holder.ready_at <= now).map(|holder| holder.runner).collect();
            if !held.sources.is_empty() {
                held.fetchable_tokens = prefix.tokens;
                break;
            }
        }
        held
    }

    fn live_holders(&self, prefix: u64, now: Millis) -> impl Iterator<Item = &Holder> + '_ {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders.iter().filter(move |holder| now.since(holder.used_at) < EVICTED_AFTER)
    }

    /// Removes a runner from all prefixes.
    pub fn forget(&mut self, runner: RunnerKey) {
        self.keep(|holder| holder.runner != runner);
        self.keep_listed(|part| part.runner != runner);
    }

    /// Removes what runners have likely evicted.
    pub fn sweep(&mut self, now: Millis) {
        self.keep(|holder| now.since(holder.used_at) < EVICTED_AFTER);
        self.keep_listed(|part| now.since(part.listed_at) < EVICTED_AFTER);
    }

    fn keep_listed(&mut self, is_kept: impl Fn(&ListedPart) -> bool) {
        self.listed.retain(|_, parts| {
            parts.retain(&is_kept);
            !parts.is_empty()
        });
    }

    fn keep(&mut self, is_kept: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(&is_kept);
            !holders.is_empty()
        });
    }
}
