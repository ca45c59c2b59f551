//! The scheduling policies that the benchmark compares: the dispatcher and simple baselines, under one interface.

use std::collections::{BTreeMap, VecDeque};

use teaselcroft_parts::{Millis, RunnerName};
use teaselcroft_policy::{
    Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, LoadReport, Outcome, RequestKey, RunnerInfo,
};

/// A decision of a policy on one request; requests and engines are identified by number.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Run this request on the engine with this index.
    Run(u64, usize),
    /// Refuse this request; it may come back after the delay, or never if the delay is zero.
    Refuse(u64, Millis),
    /// Cancel this request on its engine; it comes back at once and resumes with the next token.
    Preempt(u64),
}

/// Assigns requests to engines.
pub trait Policy {
    /// Handles the arrival of a request.
    fn arrive(&mut self, now: Millis, id: u64, request: Descriptor) -> Vec<Decision>;
    /// Handles the end of a request, running or waiting.
    fn end(&mut self, now: Millis, id: u64, kind: EndKind) -> Vec<Decision>;
    /// Handles the load report of an engine.
    fn report(&mut self, now: Millis, engine: usize, report: LoadReport) -> Vec<Decision>;
    /// Runs periodic work.
    fn tick(&mut self, now: Millis) -> Vec<Decision>;
}

/// The dispatcher of the router, as a policy.
pub struct DispatcherPolicy {
    dispatcher: Dispatcher,
    names: Vec<RunnerName>,
    request_keys: BTreeMap<u64, RequestKey>,
    ids: BTreeMap<RequestKey, u64>,
}

impl DispatcherPolicy {
    /// A dispatcher over `engines`, each of which runs `places` requests at once.
    pub fn new(engines: &[RunnerName], places: u32, settings: DispatchSettings) -> DispatcherPolicy {
        let mut dispatcher = Dispatcher::new(settings, Millis(0));
        let info = |name: &RunnerName| RunnerInfo {
            name: name.clone(),
            zone: name.as_str().parse().unwrap_or_else(|_| unreachable!("a runner name is also a valid zone name")),
            address: String::new(),
            places,
            leaving: false,
        };
        dispatcher.set_runners(Millis(0), engines.iter().map(info).collect());
        DispatcherPolicy { dispatcher, names: engines.to_vec(), request_keys: BTreeMap::new(), ids: BTreeMap::new() }
    }

    fn decide(&mut self, actions: Vec<DispatchAction>) -> Vec<Decision> {
        let decisions = actions.into_iter().filter_map(|action| match action {
            DispatchAction::Grant { request_key, runner, .. } => {
                let engine = self.names.iter().position(|name| *name == runner.name)?;
                Some(Decision::Run(*self.ids.get(&request_key)?, engine))
            }
            DispatchAction::Refuse { request_key, retry, .. } => {
                let id = self.ids.remove(&request_key)?;
                self.request_keys.remove(&id);
                Some(Decision::Refuse(id, retry))
            }
            DispatchAction::Preempt { request_key } => Some(Decision::Preempt(*self.ids.get(&request_key)?)),
            DispatchAction::Condemn { .. } | DispatchAction::Eject { .. } => None,
        });
        decisions.collect()
    }
}

impl Policy for DispatcherPolicy {
    fn arrive(&mut self, now: Millis, id: u64, request: Descriptor) -> Vec<Decision> {
        let (request_key, actions) = self.dispatcher.add(now, request);
        self.request_keys.insert(id, request_key);
        self.ids.insert(request_key, id);
        self.decide(actions)
    }

    fn end(&mut self, now: Millis, id: u64, kind: EndKind) -> Vec<Decision> {
        let Some(request_key) = self.request_keys.remove(&id) else {
            return Vec::new();
        };
        self.ids.remove(&request_key);
        let actions = self.dispatcher.remove(now, request_key, Outcome::bare(kind));
        self.decide(actions)
    }

    fn report(&mut self, now: Millis, engine: usize, report: LoadReport) -> Vec<Decision> {
        let actions = self.dispatcher.apply_report(now, &self.names[engine], report);
        self.decide(actions)
    }

    fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let actions = self.dispatcher.tick(now);
        self.decide(actions)
    }
}

/// How a baseline assigns requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Each engine in turn; requests queue at the engines.
    RoundRobin,
    /// The engine with the fewest requests; requests queue at the engines.
    LeastOutstanding,
    /// One central FIFO queue; the head goes to the engine with the fewest requests once that has a free place.
    FirstInFirstOut,
}

/// A baseline without tiers, refusals or preemption.
pub struct BaselinePolicy {
    baseline: Baseline,
    places: u32,
    outstanding: Vec<u32>,
    engine_of: BTreeMap<u64, usize>,
    queue: VecDeque<u64>,
    next: usize,
}

impl BaselinePolicy {
    /// A baseline over `engines` engines, each of which runs `places` requests at once.
    pub fn new(baseline: Baseline, engines: usize, places: u32) -> BaselinePolicy {
        BaselinePolicy {
            baseline,
            places,
            outstanding: vec![0; engines],
            engine_of: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
        }
    }

    fn least_loaded(&self) -> usize {
        let least_loaded = self.outstanding.iter().enumerate().min_by_key(|(_, outstanding)| **outstanding);
        least_loaded.map_or(0, |(engine, _)| engine)
    }

    fn start(&mut self, id: u64, engine: usize) -> Decision {
        self.outstanding[engine] += 1;
        self.engine_of.insert(id, engine);
        Decision::Run(id, engine)
    }

    fn assign_queued(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        loop {
            let engine = self.least_loaded();
            if self.outstanding[engine] >= self.places {
                return decisions;
            }
            let Some(id) = self.queue.pop_front() else {
                return decisions;
            };
            decisions.push(self.start(id, engine));
        }
    }
}

impl Policy for BaselinePolicy {
    fn arrive(&mut self, _: Millis, id: u64, _: Descriptor) -> Vec<Decision> {
        match self.baseline {
            Baseline::RoundRobin => {
                self.next = (self.next + 1) % self.outstanding.len();
                vec![self.start(id, self.next)]
            }
            Baseline::LeastOutstanding => {
                let engine = self.least_loaded();
                vec![self.start(id, engine)]
            }
            Baseline::FirstInFirstOut => {
                self.queue.push_back(id);
                self.assign_queued()
            }
        }
    }

    fn end(&mut self, _: Millis, id: u64, _: EndKind) -> Vec<Decision> {
        match self.engine_of.remove(&id) {
            Some(engine) => self.outstanding[engine] -= 1,
            None => self.queue.retain(|waiting| *waiting != id),
        }
        if self.baseline == Baseline::FirstInFirstOut { self.assign_queued() } else { Vec::new() }
    }

    fn report(&mut self, _: Millis, _: usize, _: LoadReport) -> Vec<Decision> {
        Vec::new()
    }

    fn tick(&mut self, _: Millis) -> Vec<Decision> {
        Vec::new()
    }
}
