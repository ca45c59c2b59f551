//! The report of a run.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Site;
use crate::playback::Played;
use crate::promise_checks::{Promise, judge};
use crate::scored_call::{Line, Verdict, lines};

const LONGEST_MS: u64 = 3_600_000;

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half are faster.
    pub p50: u64,
    /// 95 in 100 are faster.
    pub p95: u64,
    /// 99 in 100 are faster.
    pub p99: u64,
}

/// What became of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Lines sent, without abandoned and poison ones.
    pub sent: u64,
    /// Whole own answers.
    pub whole: u64,
    /// Whole own answers within the target.
    pub in_target: u64,
    /// The share of `sent` that is in target.
    pub attainment: f64,
    /// Lines whose callers were told that they did not run.
    pub not_run: u64,
    /// Lines whose callers were told that they may have run.
    pub unknown: u64,
    /// Lines whose callers had no definite reply.
    pub lost: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Lines whose callers hung up.
    pub abandoned: u64,
    /// Lines that crash engines.
    pub poison: u64,
    /// Time to the first token.
    pub ttft_ms: Percentiles,
    /// Time to the whole answer.
    pub total_ms: Percentiles,
}

/// Answers in target by time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Goodput {
    /// Requests in target a second.
    pub requests_per_s: f64,
    /// Their tokens a second.
    pub tokens_per_s: f64,
}

/// Tokens that no caller received as part of a whole answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Waste {
    /// How many.
    pub tokens: u64,
    /// Their share of all generated.
    pub share: f64,
}

/// What one daemon's control took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlReport {
    /// Bytes of control messages a second, as the daemon counts them.
    pub bytes_per_s: f64,
    /// Share of a core that the control thread took.
    pub cpu_share: f64,
    /// Memory of the whole process in megabytes.
    pub rss_mb: f64,
}

/// Calls to the key-value service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Watches begun.
    pub watches: u64,
}

/// The report of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The site.
    pub site: Site,
    /// The seed.
    pub seed: u64,
    /// The revision that was built.
    pub build: String,
    /// Each class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Answers in target by time.
    pub goodput: Goodput,
    /// Waste.
    pub wasted_tokens: Waste,
    /// The promises.
    pub promises: Vec<Promise>,
    /// Control by daemon.
    pub control: BTreeMap<String, ControlReport>,
    /// Calls to the key-value service.
    pub kv: StoreReport,
    /// Each violation explained.
    pub reasons: Vec<String>,
}

impl Report {
    /// Reports what was played.
    pub fn of(played: &Played) -> Report {
        let lines = lines(&played.calls, &played.rules);
        let (promises, reasons) = judge(played, &lines);
        let mut classes: BTreeMap<String, ClassReport> = BTreeMap::new();
        for class in played.rules.keys() {
            classes.insert(class.clone(), class_report(played, &lines, class));
        }
        Report {
            site: played.trace.head.site,
            seed: played.trace.head.seed,
            build: env!("TEASELCROFT_REVISION").to_owned(),
            classes,
            goodput: goodput(played, &lines),
            wasted_tokens: waste(played, &lines),
            promises,
            control: control(played),
            kv: store(played),
            reasons,
        }
    }

    /// Whether no promise was broken.
    pub fn holds(&self) -> bool {
        self.promises.iter().all(|promise| promise.violations == 0)
    }
}

fn percentiles(samples: impl Iterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(LONGEST_MS, 3) else {
        return Percentiles::default();
    };
    for sample in samples {
        histogram.saturating_record(sample);
    }
    Percentiles {
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}

fn class_report(played: &Played, lines: &[Line<'_>], class: &str) -> ClassReport {
    let of_class: Vec<&Line<'_>> = lines.iter().filter(|line| line.class() == class).collect();
    let counted: Vec<&&Line<'_>> = of_class.iter().filter(|line| line.counts()).collect();
    let count = |verdict| counted.iter().filter(|line| line.verdict == verdict).count() as u64;
    let whole = || counted.iter().filter(|line| line.verdict == Verdict::Whole);
    let sent = counted.len() as u64;
    let in_target = counted.iter().filter(|line| line.in_target()).count() as u64;
    ClassReport {
        sent,
        whole: count(Verdict::Whole),
        in_target,
        attainment: if sent == 0 { 1.0 } else { in_target as f64 / sent as f64 },
        not_run: count(Verdict::NotRun),
        unknown: count(Verdict::Unknown),
        lost: count(Verdict::Lost),
        doubled: doubled(played, class),
        abandoned: of_class.iter().filter(|line| line.call.abandoned).count() as u64,
        poison: of_class.iter().filter(|line| line.call.request.poison).count() as u64,
        ttft_ms: percentiles(whole().filter_map(|line| line.first_ms)),
        total_ms: percentiles(whole().map(|line| line.total_ms)),
    }
}

/// Keys of a class that must not repeat and ran more than once.
fn doubled(played: &Played, class: &str) -> u64 {
    if !played.rules.get(class).is_some_and(|rule| rule.never_repeat) {
        return 0;
    }
    let mut seen = BTreeSet::new();
    let mut twice = BTreeSet::new();
    for start in played.records.starts.iter().filter(|start| start.class == class) {
        let key = start.key.as_deref().unwrap_or(&start.id);
        if !seen.insert(key) {
            twice.insert(key);
        }
    }
    twice.len() as u64
}

fn goodput(played: &Played, lines: &[Line<'_>]) -> Goodput {
    let seconds = played.span_ms.max(1) as f64 / 1_000.0;
    let good = || lines.iter().filter(|line| line.counts() && line.in_target());
    let tokens: u64 = good().map(|line| u64::from(line.call.request.output_tokens)).sum();
    Goodput { requests_per_s: good().count() as f64 / seconds, tokens_per_s: tokens as f64 / seconds }
}

fn waste(played: &Played, lines: &[Line<'_>]) -> Waste {
    let whole: BTreeMap<&str, u64> = lines
        .iter()
        .filter(|line| line.verdict == Verdict::Whole)
        .map(|line| (line.call.request.id.as_str(), u64::from(line.call.request.output_tokens.max(1))))
        .collect();
    let generated: u64 = played.records.tokens.values().sum();
    let wasted = played
        .records
        .tokens
        .iter()
        .map(|(id, tokens)| tokens.saturating_sub(whole.get(id.as_str()).copied().unwrap_or(0)));
    let tokens: u64 = wasted.sum();
    Waste { tokens, share: tokens as f64 / generated.max(1) as f64 }
}

fn control(played: &Played) -> BTreeMap<String, ControlReport> {
    let seconds = played.span_ms.max(1) as f64 / 1_000.0;
    let rows = played.usage.iter().map(|(name, usage)| {
        let bytes = played.control_bytes.get(name).copied().unwrap_or(0.0);
        let row = ControlReport { bytes_per_s: bytes / seconds, cpu_share: usage.control_share, rss_mb: usage.rss_mb };
        (name.clone(), row)
    });
    rows.collect()
}

fn store(played: &Played) -> StoreReport {
    let seconds = played.span_ms.max(1) as f64 / 1_000.0;
    let calls = played.records.store;
    StoreReport {
        writes_per_s: calls.writes as f64 / seconds,
        reads_per_s: calls.reads as f64 / seconds,
        watches: calls.watches,
    }
}
