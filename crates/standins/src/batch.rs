//! The continuous batch of a stand-in engine, without I/O.

use std::collections::VecDeque;
use std::sync::Arc;

use async_channel::Sender;
use teaselcroft_policy::Tier;

use crate::trace::TraceRequest;

const STEP_BASE_US: u64 = 20_000;
const STEP_EACH_US: u64 = 400;
const PREFILL_TOKEN_US: u64 = 100;
const PREFILL_STEP_TOKENS: u32 = 250;
const CACHE_TOKENS: u32 = 60_000;
const POISON_STEPS: u32 = 3;

/// One request in the batch.
#[derive(Debug)]
pub struct Sequence {
    /// The request.
    pub request: Arc<TraceRequest>,
    /// Its priority.
    pub priority: Tier,
    /// The next token to generate.
    pub next: u32,
    /// Where its tokens go.
    pub out: Sender<u32>,
    /// Whether its connection has gone silent.
    pub muted: bool,
    prefill: u32,
    steps: u32,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub struct StepResult {
    /// How long it took, in microseconds.
    pub micros: u64,
    /// Tokens generated, by request id.
    pub generated: Vec<String>,
    /// Whether a request crashed the engine.
    pub crashed: bool,
}

/// Running and waiting requests and the cache of prompt prefixes.
#[derive(Debug)]
pub struct Batch {
    places: usize,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: VecDeque<(String, u32)>,
}

impl Batch {
    /// An empty batch of at most `places` requests.
    pub const fn new(places: usize) -> Batch {
        Batch { places, running: Vec::new(), waiting: VecDeque::new(), cache: VecDeque::new() }
    }

    /// Requests that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request that resumes at token `from`; it replaces one with the same id.
    pub fn add(&mut self, request: Arc<TraceRequest>, priority: Tier, from: u32, out: Sender<u32>) {
        self.cancel(&request.id);
        let cached = self.cached(&request);
        let prefill = request.prompt_tokens.saturating_sub(cached) + from;
        let sequence = Sequence { request, priority, next: from, out, muted: false, prefill, steps: 0 };
        let place = self.waiting.partition_point(|other| other.priority <= priority);
        self.waiting.insert(place, sequence);
    }

    /// Drops the request called `id`.
    pub fn cancel(&mut self, id: &str) {
        self.running.retain(|sequence| sequence.request.id != id);
        self.waiting.retain(|sequence| sequence.request.id != id);
    }

    /// Drops everything, the cache included.
    pub fn clear(&mut self) {
        *self = Batch::new(self.places);
    }

    /// Makes every open connection silent.
    pub fn mute(&mut self) {
        let all = self.running.iter_mut().chain(&mut self.waiting);
        all.for_each(|sequence| sequence.muted = true);
    }

    fn cached(&mut self, request: &TraceRequest) -> u32 {
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

    /// Generates one token for each request whose prompt is read, and reads on in others.
    pub fn step(&mut self) -> StepResult {
        self.running.retain(|sequence| sequence.muted || !sequence.out.is_closed());
        self.waiting.retain(|sequence| sequence.muted || !sequence.out.is_closed());
        while self.running.len() < self.places
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
        let read = u64::from(PREFILL_STEP_TOKENS - budget) * PREFILL_TOKEN_US;
        result.micros = STEP_BASE_US + STEP_EACH_US * self.running.len() as u64 + read;
        result
    }
}

impl Sequence {
    fn advance(&mut self, budget: &mut u32, result: &mut StepResult) {
        let read = self.prefill.min(*budget);
        self.prefill -= read;
        *budget -= read;
        if self.prefill > 0 {
            return;
        }
        self.steps += 1;
        if self.request.poison && self.steps >= POISON_STEPS {
            result.crashed = true;
            return;
        }
        result.generated.push(self.request.id.clone());
        if !self.muted {
            // A reader that is gone is noticed in the next step.
            let _ = self.out.try_send(self.next);
        }
        self.next += 1;
    }
}
