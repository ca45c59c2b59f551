//! Compares the rules that choose runners from old load reports; prints medians over seeds.

use clap::Parser;
use comfy_table::{Table, presets};
use teaselcroft_parts::Millis;
use teaselcroft_policy::BalanceRule;
use teaselcroft_standins::bench_balance::{Alternative, BalanceCase, BalanceResult, run_balance};

/// Compares the rules that choose runners from old load reports; prints medians over seeds.
#[derive(Debug, Parser)]
struct Arguments {
    /// The seeds to run.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,

    /// Run only this case.
    #[arg(long)]
    case: Option<String>,

    /// Run only this rule, each daemon for itself.
    #[arg(long)]
    rule: Option<BalanceRule>,

    /// Print one JSON object per line instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(serde::Serialize)]
struct Row {
    case: &'static str,
    rule: &'static str,
    seeds: Vec<u64>,
    #[serde(flatten)]
    result: BalanceResult,
}

fn cases() -> Vec<BalanceCase> {
    let usual = BalanceCase::default();
    let plain = BalanceCase { runners: 6, slots: 6, hold: Millis(60), ..usual };
    let large = BalanceCase { daemons: 380, runners: 2_800, span: Millis(3_000), ..usual };
    let zones = BalanceCase { speeds: &[0.55, 1.2, 1.2, 1.2], ..usual };
    vec![
        BalanceCase { name: "88-daemons", ..usual },
        BalanceCase { name: "380-daemons", daemons: 380, ..usual },
        BalanceCase { name: "380-by-2800", ..large },
        BalanceCase { name: "6-by-4", daemons: 6, runners: 4, ..usual },
        BalanceCase { name: "plain-88-by-6", ..plain },
        BalanceCase { name: "plain-380-by-6", daemons: 380, ..plain },
        BalanceCase { name: "age-50", age: Millis(50), ..usual },
        BalanceCase { name: "age-500", age: Millis(500), ..usual },
        BalanceCase { name: "age-2000", age: Millis(2_000), ..usual },
        BalanceCase { name: "speeds-known", ..zones },
        BalanceCase { name: "speeds-unknown", knows_speeds: false, ..zones },
        BalanceCase { name: "bursts", load: 0.4, burst: 2.2, ..usual },
        BalanceCase { name: "hot-part", load: 0.65, has_hot: true, ..usual },
        BalanceCase { name: "churn", has_churn: true, ..usual },
        BalanceCase { name: "leader-dies", loses_leader: true, ..usual },
    ]
}

fn median(results: &[BalanceResult], pick: impl Fn(&BalanceResult) -> f64) -> f64 {
    let mut samples: Vec<f64> = results.iter().map(pick).collect();
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(0.0)
}

fn main() {
    let arguments = Arguments::parse();
    let own_rules = BalanceRule::ALL.map(|rule| Alternative { rule, is_placed: false });
    let alternatives = own_rules.into_iter().chain([Alternative { rule: BalanceRule::OwnSends, is_placed: true }]);
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(vec!["case", "rule", "busiest/mean", "queued while one idles", "p99 wait ms", "messages/s"]);
    let wanted = |case: &BalanceCase| arguments.case.as_deref().is_none_or(|only| only == case.name);
    for case in cases().into_iter().filter(wanted) {
        let wanted = |alternative: &Alternative| {
            arguments.rule.is_none_or(|only| only == alternative.rule && !alternative.is_placed)
        };
        for alternative in alternatives.clone().filter(wanted) {
            let results: Vec<BalanceResult> =
                arguments.seeds.iter().map(|seed| run_balance(&case, alternative, *seed)).collect();
            let result = BalanceResult {
                busiest: median(&results, |result| result.busiest),
                queued: median(&results, |result| result.queued),
                wait_ms: median(&results, |result| result.wait_ms),
                messages: median(&results, |result| result.messages),
            };
            let rule = if alternative.is_placed { "one-placer" } else { alternative.rule.name() };
            let row = Row { case: case.name, rule, seeds: arguments.seeds.clone(), result };
            if arguments.json {
                println!("{}", serde_json::to_string(&row).unwrap_or_default());
            }
            table.add_row(vec![
                row.case.to_owned(),
                rule.to_owned(),
                format!("{:.2}", result.busiest),
                format!("{:.1}%", 100.0 * result.queued),
                format!("{:.0}", result.wait_ms),
                format!("{:.0}", result.messages),
            ]);
        }
    }
    if !arguments.json {
        println!("{table}");
    }
}
