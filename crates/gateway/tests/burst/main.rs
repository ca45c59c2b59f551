//! Plays a burst of long prompts on cold caches against the placement leader's decisions and checks what callers get.

#![allow(clippy::unwrap_used)]

mod engine;

use std::collections::HashMap;
use std::net::SocketAddr;

use engine::{Engine, Progress, Run};
use teaselcroft_gateway::fleet::{Choice, Fleet, Placement, PlacementRequest, RunnerKey};
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{Priority, Prompt, PromptPart, RunnerRecord};
use teaselcroft_parts::{Millis, ModelName};

const RUNNERS: u8 = 20;

/// How long the burst lasts, and how long the requests of its end may take.
const BURST: Millis = Millis(6_000);
const END: Millis = Millis(20_000);

/// A kind of requests.
#[derive(Debug)]
struct Class {
    per_second: u64,
    shared_tokens: u32,
    own_tokens: u32,
    /// The lengths of the answers, in turn.
    output_tokens: &'static [u32],
    /// Prompts of the class begin with one of so many shared parts.
    subjects: u64,
    priority: Priority,
    target: Millis,
    deadline: Millis,
    pause: Millis,
}

/// Long prompts of customers with a high priority, five times as many as the runners can prefill.
const PLANS: Class = Class {
    per_second: 200,
    shared_tokens: 13_300,
    own_tokens: 3_720,
    output_tokens: &[40, 80, 120, 160, 200],
    subjects: 400,
    priority: Priority(1),
    target: Millis(2_000),
    deadline: Millis(12_000),
    pause: Millis(1_000),
};

/// Requests whose caller waits for an immediate answer.
const SUMMARIES: Class = Class {
    per_second: 10,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output_tokens: &[12, 24, 36, 60, 90, 150],
    subjects: 100,
    priority: Priority(1),
    target: Millis(800),
    deadline: Millis(6_000),
    pause: Millis(500),
};

/// What the callers of one class got.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    asked: usize,
    refused: usize,
    /// Began to be answered within the target.
    punctual: usize,
    whole: usize,
}

struct Request {
    class: usize,
    arrived: Millis,
    placement: Placement,
    has_begun: bool,
}

/// A burst on a service whose placement leader decides with exact counts.
struct Burst {
    service: ModelName,
    fleet: Fleet,
    engines: HashMap<RunnerKey, Engine>,
    requests: Vec<Option<Request>>,
    tallies: [Tally; 2],
}

fn start() -> Burst {
    let service: ModelName = "engines".parse().unwrap();
    let mut fleet = Fleet::new("fayon".parse().unwrap());
    for number in 0..RUNNERS {
        let record = RunnerRecord {
            name: format!("i-{number}").parse().unwrap(),
            started_at: 1,
            service: service.clone(),
            address: SocketAddr::from(([10, 0, 0, number], 8_000)),
            zone: "fayon".parse().unwrap(),
            slots: 64,
            is_ready: true,
            is_preemptible: false,
        };
        fleet.upsert(record, Revision(1));
    }
    Burst { service, fleet, engines: HashMap::new(), requests: Vec::new(), tallies: [Tally::default(); 2] }
}

impl Burst {
    fn arrive(&mut self, index: usize, class: &Class, number: u64, now: Millis) {
        let subject = ((index as u64) << 32) | (spread(number) % class.subjects);
        let parts = vec![
            PromptPart { id: subject, tokens: class.shared_tokens },
            PromptPart { id: u64::MAX - self.requests.len() as u64, tokens: class.own_tokens },
        ];
        let input_tokens = class.shared_tokens + class.own_tokens;
        let output_tokens = class.output_tokens[number as usize % class.output_tokens.len()];
        let prompt = Prompt { model: "m".into(), input_tokens, output_tokens, parts };
        self.tallies[index].asked += 1;
        let choice = self.fleet.choose(
            &PlacementRequest {
                service: &self.service,
                prompt: Some(&prompt),
                longest_pause: Some(class.pause),
                priority: class.priority,
                target: class.target,
                tried: &[],
                uses_limited: true,
                is_placed: false,
            },
            now,
        );
        let Choice::Placed(placement) = choice else {
            self.tallies[index].refused += 1;
            return;
        };
        self.fleet.begin(placement.key, placement.prefill_tokens, now);
        self.fleet.note_cached(placement.key, &prompt, now);
        let run = Run {
            request: self.requests.len(),
            prefill_left: placement.prefill_tokens.max(1),
            output_left: output_tokens,
        };
        self.engines.entry(placement.key).or_default().add(run, now);
        self.requests.push(Some(Request { class: index, arrived: now, placement, has_begun: false }));
    }

    fn advance(&mut self, classes: &[&Class], now: Millis) {
        let progress: Vec<(usize, Progress)> =
            self.engines.values_mut().flat_map(|engine| engine.advance(now)).collect();
        for (number, progress) in progress {
            let request = self.requests[number].as_mut().unwrap();
            let tally = &mut self.tallies[request.class];
            match progress {
                Progress::Began => {
                    request.has_begun = true;
                    self.fleet.end_prefill(request.placement.key, request.placement.prefill_tokens, now);
                    tally.punctual += usize::from(now.since(request.arrived) <= classes[request.class].target);
                }
                Progress::Ended => {
                    tally.whole += 1;
                    self.fleet.end(request.placement.key);
                    self.requests[number] = None;
                }
            }
        }
        self.cancel_overdue(classes, now);
    }

    /// Callers leave when their deadline passes.
    fn cancel_overdue(&mut self, classes: &[&Class], now: Millis) {
        for (number, slot) in self.requests.iter_mut().enumerate() {
            let Some(request) = slot.take_if(|request| now.since(request.arrived) > classes[request.class].deadline)
            else {
                continue;
            };
            self.engines.get_mut(&request.placement.key).unwrap().cancel(number);
            if !request.has_begun {
                self.fleet.end_prefill(request.placement.key, request.placement.prefill_tokens, now);
            }
            self.fleet.end(request.placement.key);
        }
    }
}

/// Spreads consecutive numbers evenly over subjects, alike in each run.
fn spread(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

fn play(classes: [&Class; 2]) -> [Tally; 2] {
    let mut burst = start();
    let mut sent = [0; 2];
    for now in (0..END.0).map(Millis) {
        burst.advance(&classes, now);
        for (index, class) in classes.iter().enumerate() {
            while now < BURST && sent[index] * 1_000 < now.0 * class.per_second {
                burst.arrive(index, class, sent[index], now);
                sent[index] += 1;
            }
        }
    }
    burst.tallies
}

/// A burst of long prompts on cold caches must not make runners prefill without pause: their streams would take ten times
/// as long, and requests with a shorter target would miss their deadline while the burst's requests begin.
#[test]
fn a_burst_of_long_prompts_leaves_streams_with_a_shorter_target_their_time() {
    let [plans, summaries] = play([&PLANS, &SUMMARIES]);

    assert_eq!(summaries.refused, 0);
    // At most a twelfth may get nothing while less urgent requests begin.
    assert!((summaries.asked - summaries.whole) * 12 < summaries.asked, "{summaries:?}, {plans:?}");
    // Requests with a shorter target are on time as often as the burst's, but for five in a hundred.
    let admitted = plans.asked - plans.refused;
    let difference = plans.punctual as f64 / admitted as f64 - summaries.punctual as f64 / summaries.asked as f64;
    assert!(difference < 0.05, "{summaries:?}, {plans:?}");
    assert_eq!(plans.whole, admitted, "{plans:?}");
    // The runners are not left idle either.
    let (prefilled, capacity) = (admitted as u64 * 17_020, u64::from(RUNNERS) * 54_600 * 6);
    assert!(prefilled * 5 > capacity * 2, "{plans:?}");
}
