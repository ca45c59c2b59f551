//! Measures a policy over the stand-in engines' batches under a virtual clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use async_channel::{Receiver, unbounded};
use teaselcroft_parts::{Fingerprint, Millis, RunnerName};
use teaselcroft_policy::{ClassRule, Descriptor, EndKind, LoadReport, UpstreamKind};

use crate::batch::Batch;
use crate::bench_policy::{Decision, Policy};
use crate::trace::TraceRequest;

const PLACES: u32 = 16;
const REPORT_EVERY_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 300;
const TICK_MS: u64 = 100;
const DRAIN_MS: u64 = 300_000;

/// What became of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassResult {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers in target.
    pub in_target: u64,
}

/// What became of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BenchResult {
    /// Each class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Tokens of answers in target that ended while requests were still sent, a second.
    pub good_tokens_per_s: f64,
    /// Tokens generated for no whole answer, of all.
    pub wasted_share: f64,
    /// Admitted requests that never became whole.
    pub admitted_lost: u64,
}

/// What slows one engine.
#[derive(Debug, Clone, Copy)]
pub struct Straggler {
    /// The engine.
    pub engine: usize,
    /// How many times slower it is.
    pub factor: u64,
}

#[derive(Debug)]
struct Job {
    request: Arc<TraceRequest>,
    rule: ClassRule,
    first_sent: Millis,
    received: u32,
    admitted: bool,
    out: Option<Receiver<u32>>,
    engine: Option<usize>,
    done: Option<Millis>,
}

struct Engine {
    batch: Batch,
    step_ends: Option<u64>,
    factor: u64,
    reported: LoadReport,
    running: BTreeSet<u64>,
}

/// A run under way; times inside are in microseconds.
pub struct Bench<P> {
    policy: P,
    engines: Vec<Engine>,
    jobs: HashMap<u64, Job>,
    retries: BTreeSet<(u64, u64)>,
    generated: u64,
}

/// The names of `count` engines.
pub fn engine_names(count: usize) -> Vec<RunnerName> {
    let name = |number| format!("engine-{number}").parse();
    (0..count).filter_map(|number| name(number).ok()).collect()
}

impl<P: Policy> Bench<P> {
    /// A run of `policy` over `engines` engines.
    pub fn new(policy: P, engines: usize, straggler: Option<Straggler>) -> Bench<P> {
        let engine = |index| Engine {
            batch: Batch::new(PLACES as usize),
            step_ends: None,
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

    /// Places at each engine.
    pub const PLACES: u32 = PLACES;

    /// Sends `requests` of the model classes and runs until all have ended or given up.
    pub fn run(mut self, requests: &[TraceRequest], rules: &BTreeMap<String, ClassRule>) -> BenchResult {
        let model =
            |request: &&TraceRequest| rules.get(&request.class).is_some_and(|rule| rule.kind == UpstreamKind::Model);
        let requests: Vec<&TraceRequest> = requests.iter().filter(model).collect();
        let span_ms = requests.last().map_or(0, |request| request.at_ms);
        let mut next = 0;
        let mut now_ms = 0;
        while now_ms < span_ms + DRAIN_MS {
            while let Some(request) = requests.get(next).filter(|request| request.at_ms <= now_ms) {
                let rule = &rules[&request.class];
                self.send_first(Millis(now_ms), next as u64, request, rule);
                next += 1;
            }
            self.step_to(now_ms);
            if next == requests.len() && self.jobs.values().all(|job| job.done.is_some() || job.engine.is_none()) {
                let waiting = self.jobs.values().any(|job| job.done.is_none() && !gave_up(job, Millis(now_ms)));
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
            out: None,
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
        self.carry_out(now, decisions);
    }

    fn carry_out(&mut self, now: Millis, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(id, engine) => self.begin(now, id, engine),
                Decision::Refuse(_, Millis(0)) => {}
                Decision::Refuse(id, retry) => {
                    self.retries.insert((now.0 + retry.0, id));
                }
                Decision::Preempt(id) => self.preempt(now, id),
            }
        }
    }

    fn begin(&mut self, now: Millis, id: u64, index: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (out, tokens) = unbounded();
        job.out = Some(tokens);
        job.engine = Some(index);
        job.admitted = true;
        let engine = &mut self.engines[index];
        engine.batch.add(job.request.clone(), job.rule.tier, job.received, out);
        engine.running.insert(id);
        engine.step_ends.get_or_insert(now.0 * 1_000);
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
        self.carry_out(now, decisions);
        self.arrive(now, id, arrival);
    }

    fn step_to(&mut self, now_ms: u64) {
        let now = Millis(now_ms);
        for index in 0..self.engines.len() {
            while self.engines[index].step_ends.is_some_and(|ends| ends <= now_ms * 1_000) {
                self.step(now, index);
            }
            if (now_ms + index as u64).is_multiple_of(REPORT_EVERY_MS) {
                let report = self.engines[index].reported;
                let decisions = self.policy.report(now, index, report);
                self.carry_out(now, decisions);
            }
        }
        if now_ms.is_multiple_of(TICK_MS) {
            let decisions = self.policy.tick(now);
            self.carry_out(now, decisions);
            self.give_up(now);
        }
        while let Some((at, id)) = self.retries.first().copied().filter(|(at, _)| *at <= now_ms) {
            self.retries.remove(&(at, id));
            if self.jobs.get(&id).is_some_and(|job| !gave_up(job, now)) {
                self.arrive(now, id, now);
            }
        }
    }

    fn step(&mut self, now: Millis, index: usize) {
        let engine = &mut self.engines[index];
        let result = engine.batch.step();
        self.generated += result.generated.len() as u64;
        let step_us = result.micros * engine.factor;
        let running = u32::try_from(engine.batch.len()).unwrap_or(u32::MAX);
        if now.0.is_multiple_of(REPORT_LAG_MS) || engine.reported.step_us == 0 {
            engine.reported = LoadReport { running, step_us };
        }
        let ended = engine.step_ends.map(|ends| ends + step_us);
        engine.step_ends = if running == 0 && result.generated.is_empty() { None } else { ended };
        let ids: Vec<u64> = engine.running.iter().copied().collect();
        for id in ids {
            self.collect(now, id);
        }
    }

    /// Takes in the tokens of a request and ends it after the last.
    fn collect(&mut self, now: Millis, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(out) = &job.out else {
            return;
        };
        while out.try_recv().is_ok() {
            job.received += 1;
        }
        if job.received < job.request.output_tokens.max(1) {
            return;
        }
        job.done = Some(now);
        job.out = None;
        if let Some(index) = job.engine.take() {
            self.engines[index].running.remove(&id);
        }
        let decisions = self.policy.end(now, id, EndKind::Done);
        self.carry_out(now, decisions);
    }

    /// Lets callers hang up whose patience has run out.
    fn give_up(&mut self, now: Millis) {
        let late = self.jobs.iter().filter(|(_, job)| job.done.is_none() && gave_up(job, now) && job.out.is_some());
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        for id in late {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.out = None;
            if let Some(index) = job.engine.take() {
                self.engines[index].batch.cancel(&job.request.id);
                self.engines[index].running.remove(&id);
            }
            let decisions = self.policy.end(now, id, EndKind::Cancelled);
            self.carry_out(now, decisions);
        }
    }

    fn result(self, span_ms: u64) -> BenchResult {
        let mut result = BenchResult::default();
        let (mut good, mut kept) = (0, 0);
        for job in self.jobs.values() {
            let class = result.classes.entry(job.request.class.clone()).or_default();
            let tokens = u64::from(job.request.output_tokens.max(1));
            class.sent += 1;
            let Some(done) = job.done else {
                result.admitted_lost += u64::from(job.admitted);
                continue;
            };
            class.whole += 1;
            kept += tokens;
            if done.since(job.first_sent) <= job.rule.target {
                class.in_target += 1;
                good += if done.0 <= span_ms { tokens } else { 0 };
            }
        }
        result.good_tokens_per_s = good as f64 * 1_000.0 / span_ms.max(1) as f64;
        result.wasted_share = self.generated.saturating_sub(kept) as f64 / self.generated.max(1) as f64;
        result
    }
}

fn gave_up(job: &Job, now: Millis) -> bool {
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
