//! Baselines for the dispatcher, under one interface.

use std::collections::{BTreeMap, VecDeque};

use teaselcroft_parts::{Millis, RunnerName};
use teaselcroft_policy::{
    Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, LoadReport, Outcome, RequestKey, RunnerInfo,
};

/// What a policy decides.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Run this request at that engine.
    Run(u64, usize),
    /// Refuse this request until then.
    Refuse(u64, Millis),
    /// Take this request off its engine.
    Preempt(u64),
}

/// A way to share engines among requests.
pub trait Policy {
    /// Takes in a request.
    fn arrive(&mut self, now: Millis, id: u64, request: Descriptor) -> Vec<Decision>;
    /// Takes in the end of a request's time at its engine.
    fn end(&mut self, now: Millis, id: u64, kind: EndKind) -> Vec<Decision>;
    /// Takes in an engine's report.
    fn report(&mut self, now: Millis, engine: usize, report: LoadReport) -> Vec<Decision>;
    /// Lets time pass.
    fn tick(&mut self, now: Millis) -> Vec<Decision>;
}

/// The dispatcher.
pub struct Ours {
    dispatcher: Dispatcher,
    names: Vec<RunnerName>,
    places: BTreeMap<u64, RequestKey>,
    ids: BTreeMap<RequestKey, u64>,
}

impl Ours {
    /// A dispatcher of `engines` engines with `places` places each.
    pub fn new(engines: &[RunnerName], places: u32, settings: DispatchSettings) -> Ours {
        let mut dispatcher = Dispatcher::new(settings, Millis(0));
        let info = |name: &RunnerName| RunnerInfo {
            name: name.clone(),
            zone: name.as_str().parse().unwrap_or_else(|_| unreachable!("a runner's name is a valid zone's")),
            address: String::new(),
            places,
            leaving: false,
        };
        dispatcher.set_runners(Millis(0), engines.iter().map(info).collect());
        Ours { dispatcher, names: engines.to_vec(), places: BTreeMap::new(), ids: BTreeMap::new() }
    }

    fn decide(&mut self, actions: Vec<DispatchAction>) -> Vec<Decision> {
        let decisions = actions.into_iter().filter_map(|action| match action {
            DispatchAction::Grant { place, runner, .. } => {
                let engine = self.names.iter().position(|name| *name == runner.name)?;
                Some(Decision::Run(*self.ids.get(&place)?, engine))
            }
            DispatchAction::Refuse { place, retry, .. } => {
                let id = self.ids.remove(&place)?;
                self.places.remove(&id);
                Some(Decision::Refuse(id, retry))
            }
            DispatchAction::Preempt { place } => Some(Decision::Preempt(*self.ids.get(&place)?)),
            DispatchAction::Condemn { .. } | DispatchAction::Eject { .. } => None,
        });
        decisions.collect()
    }
}

impl Policy for Ours {
    fn arrive(&mut self, now: Millis, id: u64, request: Descriptor) -> Vec<Decision> {
        let (place, actions) = self.dispatcher.enter(now, request);
        self.places.insert(id, place);
        self.ids.insert(place, id);
        self.decide(actions)
    }

    fn end(&mut self, now: Millis, id: u64, kind: EndKind) -> Vec<Decision> {
        let Some(place) = self.places.remove(&id) else {
            return Vec::new();
        };
        self.ids.remove(&place);
        let actions = self.dispatcher.leave(now, place, Outcome::bare(kind));
        self.decide(actions)
    }

    fn report(&mut self, now: Millis, engine: usize, report: LoadReport) -> Vec<Decision> {
        let actions = self.dispatcher.report(now, &self.names[engine], report);
        self.decide(actions)
    }

    fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let actions = self.dispatcher.tick(now);
        self.decide(actions)
    }
}

/// How a baseline chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Each engine in turn, at once.
    RoundRobin,
    /// The engine with the fewest requests, at once.
    LeastOutstanding,
    /// One queue, first in first out, to the engine with the fewest requests.
    FirstInFirstOut,
}

/// A baseline without tiers, refusals or preemption.
pub struct Simple {
    baseline: Baseline,
    places: u32,
    load: Vec<u32>,
    at: BTreeMap<u64, usize>,
    queue: VecDeque<u64>,
    next: usize,
}

impl Simple {
    /// A baseline over `engines` engines with `places` places each.
    pub fn new(baseline: Baseline, engines: usize, places: u32) -> Simple {
        Simple { baseline, places, load: vec![0; engines], at: BTreeMap::new(), queue: VecDeque::new(), next: 0 }
    }

    fn least(&self) -> usize {
        let least = self.load.iter().enumerate().min_by_key(|(_, load)| **load);
        least.map_or(0, |(engine, _)| engine)
    }

    fn run(&mut self, id: u64, engine: usize) -> Decision {
        self.load[engine] += 1;
        self.at.insert(id, engine);
        Decision::Run(id, engine)
    }

    fn pump(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        loop {
            let engine = self.least();
            if self.load[engine] >= self.places {
                return decisions;
            }
            let Some(id) = self.queue.pop_front() else {
                return decisions;
            };
            decisions.push(self.run(id, engine));
        }
    }
}

impl Policy for Simple {
    fn arrive(&mut self, _: Millis, id: u64, _: Descriptor) -> Vec<Decision> {
        match self.baseline {
            Baseline::RoundRobin => {
                self.next = (self.next + 1) % self.load.len();
                vec![self.run(id, self.next)]
            }
            Baseline::LeastOutstanding => {
                let engine = self.least();
                vec![self.run(id, engine)]
            }
            Baseline::FirstInFirstOut => {
                self.queue.push_back(id);
                self.pump()
            }
        }
    }

    fn end(&mut self, _: Millis, id: u64, _: EndKind) -> Vec<Decision> {
        match self.at.remove(&id) {
            Some(engine) => self.load[engine] -= 1,
            None => self.queue.retain(|waiting| *waiting != id),
        }
        if self.baseline == Baseline::FirstInFirstOut { self.pump() } else { Vec::new() }
    }

    fn report(&mut self, _: Millis, _: usize, _: LoadReport) -> Vec<Decision> {
        Vec::new()
    }

    fn tick(&mut self, _: Millis) -> Vec<Decision> {
        Vec::new()
    }
}
