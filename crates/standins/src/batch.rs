//! A model of continuous batching in an LLM engine: scheduling, chunked prefill and prefix cache, without I/O.

use std::collections::VecDeque;
use std::sync::Arc;

use async_channel::Sender;
use teaselcroft_policy::Tier;

use crate::trace::TraceRequest;

/// Fixed part of the duration of a step.
const STEP_BASE_US: u64 = 20_000;
/// Additional duration of a step for each running request.
const STEP_EACH_US: u64 = 400;
/// Additional duration of a step for each prompt token that it processes.
const PREFILL_TOKEN_US: u64 = 100;
/// Prompt tokens that one step processes at most, over all requests.
const PREFILL_STEP_TOKENS: u32 = 250;
/// Capacity of the prefix cache.
const CACHE_TOKENS: u32 = 60_000;
/// The decode step in which a poison request crashes the engine.
const POISON_STEPS: u32 = 3;

/// One request that waits or runs.
#[derive(Debug)]
pub struct Sequence {
    /// The request line.
    pub request: Arc<TraceRequest>,
    /// The priority tier; lower is more urgent.
    pub priority: Tier,
    /// The index of the next token to generate.
    pub next: u32,
    /// Receives the index of each generated token; closed when the client is gone.
    pub out: Sender<u32>,
    /// Whether its connection is silent: it runs on, but nothing is sent and a closed connection goes unnoticed.
    pub silenced: bool,
    /// Tokens to process before the next token can be generated.
    prefill_left: u32,
    /// Decode steps since the request was added.
    decode_steps: u32,
}

/// The result of one engine step.
#[derive(Debug, Default)]
pub struct StepResult {
    /// The simulated duration, in microseconds.
    pub duration_us: u64,
    /// The ids of the requests for which a token was generated.
    pub generated: Vec<String>,
    /// Whether a poison request crashed the engine.
    pub crashed: bool,
}

/// The running and waiting requests of an engine and its prefix cache.
#[derive(Debug)]
pub struct Batch {
    max_running: usize,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Prompt prefixes with their lengths in tokens, least recently used first.
    cache: VecDeque<(String, u32)>,
}

impl Batch {
    /// An empty batch that runs at most `max_running` requests at once.
    pub const fn new(max_running: usize) -> Batch {
        Batch { max_running, running: Vec::new(), waiting: VecDeque::new(), cache: VecDeque::new() }
    }

    /// Number of requests that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request by priority, to be resumed at token `from`; it replaces one with the same id.
    ///
    /// Its prefill covers the prompt, less a cached prefix, and the tokens generated before.
    pub fn add(&mut self, request: Arc<TraceRequest>, priority: Tier, from: u32, out: Sender<u32>) {
        self.cancel(&request.id);
        let cached_tokens = self.cached_tokens(&request);
        let prefill_left = request.prompt_tokens.saturating_sub(cached_tokens) + from;
        let sequence = Sequence { request, priority, next: from, out, silenced: false, prefill_left, decode_steps: 0 };
        let position = self.waiting.partition_point(|other| other.priority <= priority);
        self.waiting.insert(position, sequence);
    }

    /// Removes the request called `id`, if present.
    pub fn cancel(&mut self, id: &str) {
        self.running.retain(|sequence| sequence.request.id != id);
        self.waiting.retain(|sequence| sequence.request.id != id);
    }

    /// Removes all requests and empties the prefix cache.
    pub fn clear(&mut self) {
        *self = Batch::new(self.max_running);
    }

    /// Makes the connections of all present requests silent.
    pub fn silence(&mut self) {
        let sequences = self.running.iter_mut().chain(&mut self.waiting);
        sequences.for_each(|sequence| sequence.silenced = true);
    }

    /// The number of prompt tokens found in the prefix cache; a prefix that is missing is added.
    fn cached_tokens(&mut self, request: &TraceRequest) -> u32 {
        let Some(prefix) = &request.prefix else {
            return 0;
        };
        let hit = self.cache.iter().position(|(held, _)| held == prefix);
        if let Some(index) = hit
            && let Some(entry) = self.cache.remove(index)
        {
            self.cache.push_back(entry);
            return request.prefix_tokens;
        }
        self.cache.push_back((prefix.clone(), request.prefix_tokens));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE_TOKENS {
            self.cache.pop_front();
        }
        0
    }

    /// Runs one step: generates a token for each request whose prefill is complete, and continues the prefill of others
    /// in the order of their priorities.
    pub fn step(&mut self) -> StepResult {
        self.running.retain(|sequence| sequence.silenced || !sequence.out.is_closed());
        self.waiting.retain(|sequence| sequence.silenced || !sequence.out.is_closed());
        while self.running.len() < self.max_running
            && let Some(sequence) = self.waiting.pop_front()
        {
            self.running.push(sequence);
        }
        let mut budget = PREFILL_STEP_TOKENS;
        let mut result = StepResult::default();
        self.running.sort_by_key(|sequence| sequence.priority);
        for sequence in &mut self.running {
            sequence.advance(&mut budget, &mut result);
        }
        self.running.retain(|sequence| sequence.next < sequence.request.output_tokens.max(1));
        let prefilled = u64::from(PREFILL_STEP_TOKENS - budget) * PREFILL_TOKEN_US;
        result.duration_us = STEP_BASE_US + STEP_EACH_US * self.running.len() as u64 + prefilled;
        result
    }
}

impl Sequence {
    /// Spends prefill tokens from `budget` or, once prefill is complete, generates one token.
    fn advance(&mut self, budget: &mut u32, result: &mut StepResult) {
        let prefilled = self.prefill_left.min(*budget);
        self.prefill_left -= prefilled;
        *budget -= prefilled;
        if self.prefill_left > 0 {
            return;
        }
        self.decode_steps += 1;
        if self.request.poison && self.decode_steps >= POISON_STEPS {
            result.crashed = true;
            return;
        }
        result.generated.push(self.request.id.clone());
        if !self.silenced {
            // Fails only if the receiver is gone; the next step then removes the request.
            let _ = self.out.try_send(self.next);
        }
        self.next += 1;
    }
}
