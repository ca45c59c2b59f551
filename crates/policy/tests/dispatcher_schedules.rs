//! Property test of the dispatcher: invariants that hold after any random schedule.
//!
//! A grant goes to a request that is not running, at a runner that is not leaving and has a free
//! place; only running requests are preempted, and the counts add up.

#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use teaselcroft_parts::{Fingerprint, Millis};
use teaselcroft_policy::{
    ClassRule, Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, LoadReport, Outcome, RequestKey,
    RunnerInfo, Tier, UpstreamKind,
};

const RUNNERS: u8 = 5;
const PLACES: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    Add { tier: u8, customer: u8, content: u8 },
    Remove { index: u8, kind: u8 },
    Report { runner: u8, running: u8, step_ms: u8 },
    RunnerLeaving { runner: u8 },
    Wait { ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 10 {
            0..=3 => {
                Step::Add { tier: u8::arbitrary(g) % 5, customer: u8::arbitrary(g) % 4, content: u8::arbitrary(g) }
            }
            4..=6 => Step::Remove { index: u8::arbitrary(g), kind: u8::arbitrary(g) % 5 },
            7 => Step::Report {
                runner: u8::arbitrary(g) % RUNNERS,
                running: u8::arbitrary(g) % 5,
                step_ms: u8::arbitrary(g),
            },
            8 => Step::RunnerLeaving { runner: u8::arbitrary(g) % RUNNERS },
            _ => Step::Wait { ms: u16::arbitrary(g) },
        }
    }
}

fn runner(number: u8, leaving: bool) -> RunnerInfo {
    RunnerInfo {
        name: format!("runner-{number}").parse().expect("a name"),
        zone: "caspe".parse().expect("a name"),
        address: String::new(),
        places: PLACES,
        leaving,
    }
}

fn request(tier: u8, customer: u8, content: u8, now: Millis) -> Descriptor {
    Descriptor {
        request: "r".parse().expect("a name"),
        customer: format!("c{customer}").parse().expect("a name"),
        class: format!("class-{tier}").parse().expect("a name"),
        rule: ClassRule {
            tier: Tier(tier),
            kind: UpstreamKind::Model,
            upstream: "assistant".parse().expect("a name"),
            target: Millis(4_000),
            patience: Millis(60_000),
            never_repeat: false,
            prompt_tokens: 10,
            output_tokens: 10,
            queue_limit: 100,
        },
        fingerprint: Fingerprint(content.into()),
        prefix: Fingerprint((content % 4).into()),
        prompt_tokens: 10,
        arrival: now,
        holding: None,
        admitted: false,
        avoid: None,
        zone: "caspe".parse().expect("a name"),
    }
}

/// What the dispatcher's actions say about its requests and runners.
#[derive(Default)]
struct Model {
    open: Vec<RequestKey>,
    running: BTreeMap<RequestKey, String>,
    leaving: BTreeSet<u8>,
}

impl Model {
    /// Applies the actions; false if one violates an invariant.
    fn apply(&mut self, actions: Vec<DispatchAction>) -> bool {
        actions.into_iter().all(|action| match action {
            DispatchAction::Grant { request_key, runner, .. } => self.granted(request_key, runner.name.as_str()),
            DispatchAction::Refuse { request_key, .. } => {
                self.open.retain(|open| *open != request_key);
                !self.running.contains_key(&request_key)
            }
            DispatchAction::Preempt { request_key } => self.running.contains_key(&request_key),
            DispatchAction::Condemn { .. } | DispatchAction::Eject { .. } => true,
        })
    }

    fn granted(&mut self, request_key: RequestKey, runner: &str) -> bool {
        let leaving = self.leaving.iter().any(|number| runner == format!("runner-{number}"));
        let first_grant = self.running.insert(request_key, runner.to_owned()).is_none();
        let running_there = self.running.values().filter(|name| *name == runner).count();
        first_grant && !leaving && running_there <= PLACES as usize
    }
}

const fn end_kind(number: u8) -> EndKind {
    match number {
        0 => EndKind::Done,
        1 => EndKind::Cancelled,
        2 => EndKind::Broken,
        3 => EndKind::Refused,
        _ => EndKind::Silent,
    }
}

fn list(model: &Model) -> Vec<RunnerInfo> {
    (0..RUNNERS).map(|number| runner(number, model.leaving.contains(&number))).collect()
}

/// Runs a schedule; false if an action or the final counts violate an invariant.
fn keeps_invariants(steps: Vec<Step>) -> bool {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), Millis(0));
    let mut model = Model::default();
    let mut now = Millis(10_000);
    dispatcher.set_runners(now, list(&model));
    dispatcher.tick(now);
    for step in steps {
        let actions = match step {
            Step::Add { tier, customer, content } => {
                let (request_key, actions) = dispatcher.add(now, request(tier, customer, content, now));
                model.open.push(request_key);
                actions
            }
            Step::Remove { index, kind } => {
                if model.open.is_empty() {
                    continue;
                }
                let request_key = model.open.swap_remove(usize::from(index) % model.open.len());
                model.running.remove(&request_key);
                dispatcher.remove(now, request_key, Outcome::bare(end_kind(kind)))
            }
            Step::Report { runner: number, running, step_ms } => {
                let report = LoadReport { running: running.into(), step_us: u64::from(step_ms) * 1_000 };
                dispatcher.apply_report(now, &runner(number, false).name, report)
            }
            Step::RunnerLeaving { runner } => {
                model.leaving.insert(runner);
                dispatcher.set_runners(now, list(&model))
            }
            Step::Wait { ms } => {
                now = now + Millis(ms.into());
                dispatcher.tick(now)
            }
        };
        if !model.apply(actions) {
            return false;
        }
    }
    let waiting: u32 = dispatcher.stats().waiting.iter().sum();
    waiting as usize + model.running.len() == model.open.len()
}

#[test]
fn every_schedule_keeps_runner_limits_and_counts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(10_000)
        .quickcheck(keeps_invariants as fn(Vec<Step>) -> bool);
}
