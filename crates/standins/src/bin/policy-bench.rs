//! Compares the dispatcher with baseline policies in simulated time; prints medians of five seeds.

use std::collections::BTreeMap;

use clap::Parser;
use teaselcroft_policy::{ClassRule, DispatchSettings, TeamConfig};
use teaselcroft_standins::bench::{Bench, BenchResult, Straggler, engine_names};
use teaselcroft_standins::bench_policy::{Baseline, BaselinePolicy, DispatcherPolicy};
use teaselcroft_standins::{GeneratorSettings, Site, generate};

const SEEDS: u64 = 5;

/// Load of the lower-tier classes, in percent of the usual, at which the engines are saturated.
const CAPACITY_PERCENT: u64 = 260;

/// Load of quick questions, in percent of the usual: a quarter of the token capacity of the engines.
const QUICK_PERCENT: u64 = 200;

/// Compares the dispatcher with baseline policies in simulated time; prints medians of five seeds.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of engines.
    #[arg(long, default_value_t = 20)]
    engines: usize,

    /// Time in which requests are sent, in seconds.
    #[arg(long, default_value_t = 180)]
    seconds: u64,

    /// Run only this policy.
    #[arg(long)]
    policy: Option<String>,

    /// Run only this load.
    #[arg(long)]
    load: Option<String>,
}

fn rules() -> BTreeMap<String, ClassRule> {
    let questionnaires = Site::Reservoir.questionnaires().unwrap_or_default();
    let configs = questionnaires.into_iter().filter_map(|answers| TeamConfig::generate(answers, 1, String::new()).ok());
    configs.flat_map(|config| config.classes).map(|(class, rule)| (class.to_string(), rule)).collect()
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(0.0)
}

struct Case {
    name: &'static str,
    load_percent: u64,
    burst_percent: u64,
    straggler: Option<Straggler>,
}

/// Load of the lower-tier classes, in percent of the usual, that brings the total to `tenths` of capacity.
const fn lower_tier_percent(tenths: u64) -> u64 {
    CAPACITY_PERCENT * (tenths * 4 - 10) / 30
}

fn cases() -> Vec<Case> {
    let load = |name, tenths: u64| Case {
        name,
        load_percent: lower_tier_percent(tenths),
        burst_percent: 100,
        straggler: None,
    };
    vec![
        load("0.7", 7),
        load("1.0", 10),
        load("1.5", 15),
        load("3.0", 30),
        Case { name: "burst", load_percent: lower_tier_percent(7), burst_percent: 400, straggler: None },
        Case { name: "straggler", straggler: Some(Straggler { engine: 3, factor: 6 }), ..load("straggler", 7) },
    ]
}

fn run(
    policy: &str,
    case: &Case,
    arguments: &Arguments,
    seed: u64,
    rules: &BTreeMap<String, ClassRule>,
) -> BenchResult {
    let settings = GeneratorSettings {
        seed,
        span_ms: arguments.seconds * 1_000,
        load_percent: case.load_percent * arguments.engines as u64 / 20,
        quick_percent: Some(QUICK_PERCENT * arguments.engines as u64 / 20),
        burst_percent: case.burst_percent,
        ..GeneratorSettings::default()
    };
    let requests = generate(&settings).requests;
    let engines = arguments.engines;
    let places = Bench::<DispatcherPolicy>::PLACES;
    let baseline = match policy {
        "round robin" => Baseline::RoundRobin,
        "least outstanding" => Baseline::LeastOutstanding,
        "first in first out" => Baseline::FirstInFirstOut,
        _ => {
            let dispatcher = DispatcherPolicy::new(&engine_names(engines), places, DispatchSettings::default());
            return Bench::new(dispatcher, engines, case.straggler).run(&requests, rules);
        }
    };
    Bench::new(BaselinePolicy::new(baseline, engines, places), engines, case.straggler).run(&requests, rules)
}

fn main() {
    let arguments = Arguments::parse();
    let rules = rules();
    println!(
        "| load | policy | quick question | summary | shift plan | plans whole | tokens/s in target | wasted | admitted, not whole |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let wanted = |name: &str, only: &Option<String>| only.as_deref().is_none_or(|only| only == name);
    for case in cases().into_iter().filter(|case| wanted(case.name, &arguments.load)) {
        let policies = ["round robin", "least outstanding", "first in first out", "ours"];
        for policy in policies.into_iter().filter(|policy| wanted(policy, &arguments.policy)) {
            let results: Vec<BenchResult> = std::thread::scope(|scope| {
                let (case, arguments, rules) = (&case, &arguments, &rules);
                let runs: Vec<_> =
                    (1..=SEEDS).map(|seed| scope.spawn(move || run(policy, case, arguments, seed, rules))).collect();
                runs.into_iter().filter_map(|run| run.join().ok()).collect()
            });
            let median_of = |pick: &dyn Fn(&BenchResult) -> f64| median(results.iter().map(pick).collect());
            let attainment = |class: &str| {
                median_of(&|result| {
                    let class = result.classes.get(class).copied().unwrap_or_default();
                    100.0 * class.in_target as f64 / class.sent.max(1) as f64
                })
            };
            let whole = median_of(&|result| {
                let class = result.classes.get("shift-plan").copied().unwrap_or_default();
                100.0 * class.whole as f64 / class.sent.max(1) as f64
            });
            println!(
                "| {} | {policy} | {:.1}% | {:.1}% | {:.1}% | {whole:.1}% | {:.0} | {:.2}% | {:.0} |",
                case.name,
                attainment("quick-question"),
                attainment("maintenance-summary"),
                attainment("shift-plan"),
                median_of(&|result| result.good_tokens_per_s),
                100.0 * median_of(&|result| result.wasted_share),
                median_of(&|result| result.admitted_lost as f64),
            );
        }
    }
}
