//! Plays long prompts whose shared prefixes no runner has cached, on a fleet with room: one runner under pressure must not
//! have them refused.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use teaselcroft_gateway::fleet::{Choice, Fleet, Placement, PlacementRequest};
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{Priority, Prompt, PromptPart, RunnerRecord};
use teaselcroft_parts::{Millis, ModelName};

const RUNNERS: u8 = 20;
const SHARED_TOKENS: u32 = 13_300;
const OWN_TOKENS: u32 = 3_720;

fn service() -> ModelName {
    "engines".parse().unwrap()
}

fn fleet(slots: u32) -> Fleet {
    let mut fleet = Fleet::new("fayon".parse().unwrap()).with_learned_speeds(true);
    for number in 0..RUNNERS {
        let record = RunnerRecord {
            name: format!("i-{number}").parse().unwrap(),
            started_at: 1,
            service: service(),
            address: SocketAddr::from(([10, 0, 0, number], 8_000)),
            zone: "fayon".parse().unwrap(),
            slots,
            is_ready: true,
            is_preemptible: false,
        };
        fleet.upsert(record, Revision(1));
    }
    fleet
}

fn prompt(subject: u64, own: u64) -> Prompt {
    let parts =
        vec![PromptPart { id: subject, tokens: SHARED_TOKENS }, PromptPart { id: 1_000 + own, tokens: OWN_TOKENS }];
    Prompt { model: "m".into(), input_tokens: SHARED_TOKENS + OWN_TOKENS, output_tokens: 100, parts }
}

/// Places a request that may be refused, and counts it as sent.
fn send(fleet: &mut Fleet, prompt: &Prompt, now: Millis) -> Option<Placement> {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt: Some(prompt),
        longest_pause: Some(Millis(1_000)),
        priority: Priority(2),
        target: Millis(1_500),
        tried: &[],
        uses_limited: true,
        is_placed: false,
    };
    let Choice::Placed(placement) = fleet.choose(&request, now) else {
        return None;
    };
    fleet.begin(placement.key, placement.prefill_tokens, now);
    fleet.note_cached(placement.key, prompt, now);
    Some(placement)
}

/// Sends one prompt after another, each of which is prefilled before the next one comes; returns how many were refused.
fn refused_of(count: u64, subject_of: impl Fn(u64) -> u64, slots: u32) -> u64 {
    let mut fleet = fleet(slots);
    let mut refused = 0;
    for number in 0..count {
        let now = Millis(1_000 + number * 40);
        match send(&mut fleet, &prompt(subject_of(number), number), now) {
            Some(placement) => {
                fleet.end_prefill(placement.key, placement.prefill_tokens, now);
                fleet.end(placement.key);
            }
            None => refused += 1,
        }
    }
    refused
}

/// Fails if the runner that the order of a prefix prefers is refused for its pressure although others are free: 25 prompts
/// of 17,020 tokens a second are two thirds of what the 16 runners for long prompts admit.
#[test]
fn uncached_prompts_are_not_refused_while_runners_are_free() {
    let refused = refused_of(200, |number| number, 24);

    assert_eq!(refused, 0);
}

/// Fails if the feature takes effect for engines with large batches, which are placed as before.
#[test]
fn engines_with_large_batches_are_placed_as_before() {
    let refused = refused_of(200, |number| number, 64);

    assert!(refused > 0, "nothing was refused");
}

/// Fails if long prompts take the runners that are reserved for interactive requests when all others are under pressure.
#[test]
fn a_burst_leaves_the_interactive_runners_free() {
    let mut fleet = fleet(24);
    let service = service();
    let interactive = Prompt { model: "m".into(), input_tokens: 1_000, output_tokens: 100, parts: Vec::new() };

    let now = Millis(1_000);
    let placed: Vec<Placement> = (0..100).filter_map(|number| send(&mut fleet, &prompt(number, number), now)).collect();
    let request = PlacementRequest {
        service: &service,
        prompt: Some(&interactive),
        longest_pause: Some(Millis(250)),
        priority: Priority(0),
        target: Millis(300),
        tried: &[],
        uses_limited: true,
        is_placed: false,
    };
    let Choice::Placed(urgent) = fleet.choose(&request, now) else {
        panic!("the urgent request was not placed");
    };

    assert!(placed.len() >= 12, "{} long prompts were placed", placed.len());
    assert!(placed.iter().all(|placement| placement.key != urgent.key));
    assert_eq!(urgent.load.prefill_tokens, 0);
}
