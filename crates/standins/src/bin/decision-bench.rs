//! Measures the cost of one routing decision against the number of runners and of waiting requests.

use std::time::Instant;

use teaselcroft_parts::{Fingerprint, Millis, RunnerName};
use teaselcroft_policy::{
    ClassRule, Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, Outcome, RequestKey, RunnerInfo,
    Tier, UpstreamKind,
};
use teaselcroft_standins::bench::engine_names;

const ROUNDS: usize = 5;
const DECISIONS: u64 = 20_000;
const PLACES: u32 = 16;

fn rule(tier: u8) -> Option<ClassRule> {
    Some(ClassRule {
        tier: Tier(tier),
        kind: UpstreamKind::Model,
        upstream: "assistant".parse().ok()?,
        target: Millis(3_600_000),
        patience: Millis(3_600_000),
        never_repeat: false,
        prompt_tokens: 200,
        output_tokens: 80,
        queue_limit: 1_000_000,
    })
}

fn request(id: u64, tier: u8) -> Option<Descriptor> {
    Some(Descriptor {
        request: "r".parse().ok()?,
        customer: format!("c{}", id % 420).parse().ok()?,
        class: "class".parse().ok()?,
        rule: rule(tier)?,
        fingerprint: Fingerprint(id),
        prefix: Fingerprint(id % 1_000),
        prompt_tokens: 200,
        arrival: Millis(10_000),
        holding: None,
        admitted: false,
        avoid: None,
        zone: "fayon".parse().ok()?,
    })
}

fn info(name: &RunnerName) -> Option<RunnerInfo> {
    let zone = "fayon".parse().ok()?;
    Some(RunnerInfo { name: name.clone(), zone, address: String::new(), places: PLACES, leaving: false })
}

fn granted(actions: &[DispatchAction]) -> Option<RequestKey> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Grant { request_key, .. } => Some(*request_key),
        _ => None,
    })
}

/// Mean time of one arrival and one end at a dispatcher with this many runners and waiting requests, in microseconds.
fn decision_us(runners: usize, waiting: u64) -> f64 {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), Millis(0));
    dispatcher.set_runners(Millis(0), engine_names(runners).iter().filter_map(info).collect());
    dispatcher.tick(Millis(10_000));
    let running_count = if waiting > 0 { runners as u64 * u64::from(PLACES) } else { runners as u64 * 4 };
    let mut running: std::collections::VecDeque<RequestKey> = std::collections::VecDeque::new();
    for id in 0..running_count + waiting {
        let Some(request) = request(id, (id % 2) as u8) else {
            continue;
        };
        running.extend(granted(&dispatcher.add(Millis(10_000), request).1));
    }
    let requests: Vec<Descriptor> =
        (0..DECISIONS).filter_map(|id| request(running_count + waiting + id, (id % 2) as u8)).collect();
    let now = Millis(10_001);
    let began = Instant::now();
    for request in requests {
        running.extend(granted(&dispatcher.add(now, request).1));
        if let Some(request_key) = running.pop_front() {
            running.extend(granted(&dispatcher.remove(now, request_key, Outcome::bare(EndKind::Done))));
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn median_us(runners: usize, waiting: u64) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| decision_us(runners, waiting)).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn main() {
    println!("| runners | waiting | entry and end | over the first row |\n|---|---|---|---|");
    // A warm-up, whose result is not used.
    median_us(8, 0);
    let base = median_us(8, 0);
    for (runners, waiting) in
        [(8, 0), (80, 0), (800, 0), (2_800, 0), (20, 100), (20, 1_000), (20, 10_000), (20, 100_000)]
    {
        let cost = median_us(runners, waiting);
        println!("| {runners} | {waiting} | {cost:.2} us | {:.2} |", cost / base);
    }
}
