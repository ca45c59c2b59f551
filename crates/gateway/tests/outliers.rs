//! Plays runners that answer every request with an error at once: they seem idle and must not draw the work of others.

#![allow(clippy::unwrap_used)]

use std::collections::BinaryHeap;
use std::net::SocketAddr;

use teaselcroft_gateway::fleet::{Choice, Fleet, PlacementRequest, RunnerKey};
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{Priority, Prompt, PromptPart, RunnerRecord};
use teaselcroft_parts::{Millis, ModelName};

const RUNNERS: u8 = 140;

/// The share of the runners that fail: one in fourteen.
const FAILING: u8 = 10;

const REQUESTS_PER_S: u64 = 700;
const DURATION: Millis = Millis(6_000);

/// How long a sound runner takes for an answer, and a failing one for its error.
const ANSWER_TIME: Millis = Millis(300);
const ERROR_TIME: Millis = Millis(5);

fn service() -> ModelName {
    "engines".parse().unwrap()
}

fn fleet(detects_outliers: bool) -> Fleet {
    let mut fleet = Fleet::new("fayon".parse().unwrap()).with_outlier_detection(detects_outliers);
    for number in 0..RUNNERS {
        let record = RunnerRecord {
            name: format!("i-{number}").parse().unwrap(),
            started_at: 1,
            service: service(),
            address: SocketAddr::from(([10, 0, 0, number], 8_000)),
            zone: "fayon".parse().unwrap(),
            slots: 24,
            is_ready: true,
            is_preemptible: false,
        };
        fleet.upsert(record, Revision(1));
    }
    fleet
}

fn prompt(number: u64) -> Prompt {
    let parts = vec![PromptPart { id: number % 100, tokens: 350 }, PromptPart { id: 1_000 + number, tokens: 1_110 }];
    Prompt { model: "m".into(), input_tokens: 1_460, output_tokens: 100, parts }
}

/// Plays the load; `fails` says whether a runner fails its request with this number. Returns the requests that failed and
/// the most that one runner got.
fn play(mut fleet: Fleet, fails: impl Fn(&str, u64) -> bool) -> (usize, usize) {
    let service = service();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, u64, RunnerKey, bool)>> = BinaryHeap::new();
    let mut failed = 0;
    let mut counts = std::collections::HashMap::new();
    for number in 0..REQUESTS_PER_S * DURATION.0 / 1_000 {
        let now = Millis(1_000 + number * 1_000 / REQUESTS_PER_S);
        while let Some(std::cmp::Reverse((at, _, key, is_failure))) =
            ends.peek().copied().filter(|end| end.0.0 <= now.0)
        {
            ends.pop();
            fleet.end(key);
            fleet.note_outcome(key, is_failure, Millis(at));
        }
        let prompt = prompt(number);
        let request = PlacementRequest {
            service: &service,
            prompt: Some(&prompt),
            longest_pause: Some(Millis(150)),
            priority: Priority(0),
            target: Millis(250),
            tried: &[],
            uses_limited: true,
            is_placed: false,
        };
        let Choice::Placed(placement) = fleet.choose(&request, now) else {
            panic!("request {number} was not placed");
        };
        fleet.note_chosen(placement.key, now);
        fleet.begin(placement.key, placement.prefill_tokens, now);
        fleet.end_prefill(placement.key, placement.prefill_tokens, now);
        let is_failure = fails(placement.record.name.as_str(), number);
        let span = if is_failure { ERROR_TIME } else { ANSWER_TIME };
        failed += usize::from(is_failure);
        *counts.entry(placement.key).or_insert(0) += 1;
        ends.push(std::cmp::Reverse((now.0 + span.0, number, placement.key, is_failure)));
    }
    (failed, counts.into_values().max().unwrap_or(0))
}

/// Whether a runner fails the request with this number: the first runners do, after a second in which all answer.
fn is_failing(name: &str, number: u64) -> bool {
    number > REQUESTS_PER_S && name.trim_start_matches("i-").parse::<u8>().unwrap() < FAILING
}

#[test]
fn runners_that_fail_at_once_cost_a_few_requests_each() {
    let (without, _) = play(fleet(false), is_failing);
    let (with, _) = play(fleet(true), is_failing);

    // Three failures, then one trial after each of at most four ejections.
    assert!(with <= 7 * usize::from(FAILING), "{with} requests failed");
    assert!(without > 4 * with, "{without} requests failed without outlier detection");
}

#[test]
fn runners_that_all_fail_a_part_of_their_requests_stay_in_use() {
    let fails = |_: &str, number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 57 < 58;

    let (failed, most) = play(fleet(true), fails);
    let (_, most_without) = play(fleet(false), fails);

    assert!(failed > 1_500, "the runners fail less than intended: {failed}");
    assert!(most <= most_without * 3 / 2, "one runner got {most} requests, without detection {most_without}");
}
