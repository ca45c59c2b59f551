//! Simulates engines under a scheduling policy with a virtual clock, using the batch model of the stand-in engines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use async_channel::{Receiver, unbounded};
use teaselcroft_parts::{Fingerprint, Millis, RunnerName};
use teaselcroft_policy::{ClassRule, Descriptor, EndKind, LoadReport, UpstreamKind};

use crate::batch::Batch;
use crate::bench_policy::{Decision, Policy};
use crate::trace::TraceRequest;

/// Requests that an engine runs at once.
const PLACES: u32 = 16;
/// Period of load reports; engines report at staggered times.
const REPORT_EVERY_MS: u64 = 500;
/// A step updates the load to report only at multiples of this time, so that reports are out of date.
const REPORT_LAG_MS: u64 = 300;
/// Period of policy ticks and of patience checks.
const TICK_MS: u64 = 100;
/// How long the simulation goes on at most after the last request is sent.
const DRAIN_MS: u64 = 300_000;

/// Results of one request class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassResult {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of complete answers within the target of the class.
    pub in_target: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BenchResult {
    /// Results by request class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Goodput: tokens per second of answers in target that ended before the last request was sent.
    pub good_tokens_per_s: f64,
    /// Generated tokens that did not end up in a complete answer, as a share of all.
    pub wasted_share: f64,
    /// Number of requests that were admitted but not completed.
    pub admitted_lost: u64,
}

/// An engine that is slower than the others.
#[derive(Debug, Clone, Copy)]
pub struct Straggler {
    /// The index of the engine.
    pub engine: usize,
    /// How many times longer its steps take.
    pub factor: u64,
}

/// A request and its progress.
#[derive(Debug)]
struct Job {
    request: Arc<TraceRequest>,
    rule: ClassRule,
    first_sent: Millis,
    received: u32,
    admitted: bool,
    token_receiver: Option<Receiver<u32>>,
    engine: Option<usize>,
    /// When the answer was complete.
    done: Option<Millis>,
}

struct Engine {
    batch: Batch,
    /// When the step in progress ends, in microseconds; `None` while the engine is idle.
    step_end_us: Option<u64>,
    factor: u64,
    reported: LoadReport,
    running: BTreeSet<u64>,
}

/// A simulation in progress.
pub struct Bench<P> {
    policy: P,
    engines: Vec<Engine>,
    jobs: HashMap<u64, Job>,
    /// Refused requests that come back: time in milliseconds and request.
    retries: BTreeSet<(u64, u64)>,
    generated: u64,
}

/// The names of `count` engines.
pub fn engine_names(count: usize) -> Vec<RunnerName> {
    let name = |number| format!("engine-{number}").parse();
    (0..count).filter_map(|number| name(number).ok()).collect()
}

impl<P: Policy> Bench<P> {
    /// A simulation of `policy` over `engines` engines.
    pub fn new(policy: P, engines: usize, straggler: Option<Straggler>) -> Bench<P> {
        let engine = |index| Engine {
            batch: Batch::new(PLACES as usize),
            step_end_us: None,
            factor: straggler.filter(|slow| slow.engine == index).map_or(1, |slow| slow.factor),
            reported: LoadReport { running: 0, step_us: 0 },
            running: BTreeSet::new(),
        };
        Bench {
            policy,
            engines: (0..engines).map(engine).collect(),
            jobs: HashMap::new(),
            retries: BTreeSet::new(),
            generated: 0,
        }
    }

    /// Requests that an engine runs at once.
    pub const PLACES: u32 = PLACES;

    /// Sends those of `requests` that are for models, and simulates until all are answered or out of patience.
    pub fn run(mut self, requests: &[TraceRequest], rules: &BTreeMap<String, ClassRule>) -> BenchResult {
        let is_for_model =
            |request: &&TraceRequest| rules.get(&request.class).is_some_and(|rule| rule.kind == UpstreamKind::Model);
        let requests: Vec<&TraceRequest> = requests.iter().filter(is_for_model).collect();
        let span_ms = requests.last().map_or(0, |request| request.at_ms);
        let mut next = 0;
        let mut now_ms = 0;
        while now_ms < span_ms + DRAIN_MS {
            while let Some(request) = requests.get(next).filter(|request| request.at_ms <= now_ms) {
                let rule = &rules[&request.class];
                self.send_first(Millis(now_ms), next as u64, request, rule);
                next += 1;
            }
            self.advance_to(now_ms);
            if next == requests.len() && self.jobs.values().all(|job| job.done.is_some() || job.engine.is_none()) {
                let waiting = self.jobs.values().any(|job| job.done.is_none() && !patience_over(job, Millis(now_ms)));
                if !waiting {
                    break;
                }
            }
            now_ms += 1;
        }
        self.result(span_ms)
    }

    fn send_first(&mut self, now: Millis, id: u64, request: &TraceRequest, rule: &ClassRule) {
        let job = Job {
            request: Arc::new(request.clone()),
            rule: rule.clone(),
            first_sent: now,
            received: 0,
            admitted: false,
            token_receiver: None,
            engine: None,
            done: None,
        };
        self.jobs.insert(id, job);
        self.arrive(now, id, now);
    }

    fn arrive(&mut self, now: Millis, id: u64, arrival: Millis) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(descriptor) = descriptor(job, arrival) else {
            return;
        };
        let decisions = self.policy.arrive(now, id, descriptor);
        self.apply_decisions(now, decisions);
    }

    fn apply_decisions(&mut self, now: Millis, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(id, engine) => self.start_job(now, id, engine),
                Decision::Refuse(_, Millis(0)) => {}
                Decision::Refuse(id, retry) => {
                    self.retries.insert((now.0 + retry.0, id));
                }
                Decision::Preempt(id) => self.preempt(now, id),
            }
        }
    }

    fn start_job(&mut self, now: Millis, id: u64, index: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (sender, tokens) = unbounded();
        job.token_receiver = Some(tokens);
        job.engine = Some(index);
        job.admitted = true;
        let engine = &mut self.engines[index];
        engine.batch.add(job.request.clone(), job.rule.tier, job.received, sender);
        engine.running.insert(id);
        engine.step_end_us.get_or_insert(now.0 * 1_000);
    }

    fn preempt(&mut self, now: Millis, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(index) = job.engine.take() {
            self.engines[index].batch.cancel(&job.request.id);
            self.engines[index].running.remove(&id);
        }
        let arrival = job.first_sent;
        let decisions = self.policy.end(now, id, EndKind::Cancelled);
        self.apply_decisions(now, decisions);
        self.arrive(now, id, arrival);
    }

    /// Advances engines, reports, ticks and retries to `now_ms`.
    fn advance_to(&mut self, now_ms: u64) {
        let now = Millis(now_ms);
        for index in 0..self.engines.len() {
            while self.engines[index].step_end_us.is_some_and(|ends| ends <= now_ms * 1_000) {
                self.step(now, index);
            }
            if (now_ms + index as u64).is_multiple_of(REPORT_EVERY_MS) {
                let report = self.engines[index].reported;
                let decisions = self.policy.report(now, index, report);
                self.apply_decisions(now, decisions);
            }
        }
        if now_ms.is_multiple_of(TICK_MS) {
            let decisions = self.policy.tick(now);
            self.apply_decisions(now, decisions);
            self.cancel_expired(now);
        }
        while let Some((at, id)) = self.retries.first().copied().filter(|(at, _)| *at <= now_ms) {
            self.retries.remove(&(at, id));
            if self.jobs.get(&id).is_some_and(|job| !patience_over(job, now)) {
                self.arrive(now, id, now);
            }
        }
    }

    fn step(&mut self, now: Millis, index: usize) {
        let engine = &mut self.engines[index];
        let result = engine.batch.step();
        self.generated += result.generated.len() as u64;
        let step_us = result.duration_us * engine.factor;
        let running = u32::try_from(engine.batch.len()).unwrap_or(u32::MAX);
        if now.0.is_multiple_of(REPORT_LAG_MS) || engine.reported.step_us == 0 {
            engine.reported = LoadReport { running, step_us };
        }
        let ended = engine.step_end_us.map(|ends| ends + step_us);
        engine.step_end_us = if running == 0 && result.generated.is_empty() { None } else { ended };
        let ids: Vec<u64> = engine.running.iter().copied().collect();
        for id in ids {
            self.collect(now, id);
        }
    }

    /// Counts the new tokens of a request and ends it after the last.
    fn collect(&mut self, now: Millis, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(token_receiver) = &job.token_receiver else {
            return;
        };
        while token_receiver.try_recv().is_ok() {
            job.received += 1;
        }
        if job.received < job.request.output_tokens.max(1) {
            return;
        }
        job.done = Some(now);
        job.token_receiver = None;
        if let Some(index) = job.engine.take() {
            self.engines[index].running.remove(&id);
        }
        let decisions = self.policy.end(now, id, EndKind::Done);
        self.apply_decisions(now, decisions);
    }

    /// Cancels admitted requests whose callers have run out of patience.
    fn cancel_expired(&mut self, now: Millis) {
        let expired = self
            .jobs
            .iter()
            .filter(|(_, job)| job.done.is_none() && patience_over(job, now) && job.token_receiver.is_some());
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.token_receiver = None;
            if let Some(index) = job.engine.take() {
                self.engines[index].batch.cancel(&job.request.id);
                self.engines[index].running.remove(&id);
            }
            let decisions = self.policy.end(now, id, EndKind::Cancelled);
            self.apply_decisions(now, decisions);
        }
    }

    fn result(self, span_ms: u64) -> BenchResult {
        let mut result = BenchResult::default();
        let (mut good_tokens, mut whole_tokens) = (0, 0);
        for job in self.jobs.values() {
            let class = result.classes.entry(job.request.class.clone()).or_default();
            let tokens = u64::from(job.request.output_tokens.max(1));
            class.sent += 1;
            let Some(done) = job.done else {
                result.admitted_lost += u64::from(job.admitted);
                continue;
            };
            class.whole += 1;
            whole_tokens += tokens;
            if done.since(job.first_sent) <= job.rule.target {
                class.in_target += 1;
                good_tokens += if done.0 <= span_ms { tokens } else { 0 };
            }
        }
        result.good_tokens_per_s = good_tokens as f64 * 1_000.0 / span_ms.max(1) as f64;
        result.wasted_share = self.generated.saturating_sub(whole_tokens) as f64 / self.generated.max(1) as f64;
        result
    }
}

fn patience_over(job: &Job, now: Millis) -> bool {
    now.since(job.first_sent) >= job.rule.patience
}

fn descriptor(job: &Job, arrival: Millis) -> Option<Descriptor> {
    let request = &job.request;
    let prefix = request.prefix.as_deref().unwrap_or(&request.id);
    Some(Descriptor {
        request: request.id.parse().ok()?,
        customer: request.customer.parse().ok()?,
        class: request.class.parse().ok()?,
        rule: job.rule.clone(),
        fingerprint: Fingerprint::of(&[request.id.as_bytes()]),
        prefix: Fingerprint::of(&[prefix.as_bytes()]),
        prompt_tokens: request.prompt_tokens,
        arrival,
        holding: None,
        admitted: job.admitted,
        avoid: None,
        zone: request.zone.parse().ok()?,
    })
}
