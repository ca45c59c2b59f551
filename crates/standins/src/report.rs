//! The report of a run: attainment, latency, goodput, waste, promises and control load.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Site;
use crate::promise_checks::{Promise, check_promises};
use crate::replay::RunResult;
use crate::scored_request::{RequestOutcome, ScoredRequest, score_requests};

/// Upper bound of the latency histograms; longer times are recorded as this.
const LONGEST_MS: u64 = 3_600_000;

/// Latency percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// Results of one request class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests sent, without abandoned and poison ones; all counts up to `lost` leave these out.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub whole: u64,
    /// Requests with such an answer within the target of the class.
    pub in_target: u64,
    /// `in_target` as a share of `sent`; 1.0 if nothing was sent.
    pub attainment: f64,
    /// Requests whose every attempt was refused as not run.
    pub not_run: u64,
    /// Requests that may have run as far as their callers know.
    pub unknown: u64,
    /// Requests without any definite reply.
    pub lost: u64,
    /// Idempotency keys executed more than once; zero for classes that may repeat.
    pub doubled: u64,
    /// Requests whose callers hung up.
    pub abandoned: u64,
    /// Requests that crash engines.
    pub poison: u64,
    /// Time to first token of complete answers.
    pub ttft_ms: Percentiles,
    /// Time to the complete answer.
    pub total_ms: Percentiles,
}

/// Throughput of answers within their targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Goodput {
    /// Requests in target per second.
    pub requests_per_s: f64,
    /// Output tokens of these requests per second.
    pub tokens_per_s: f64,
}

/// Generated tokens that did not end up in a complete answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Waste {
    /// Number of wasted tokens.
    pub tokens: u64,
    /// Their share of all generated tokens.
    pub share: f64,
}

/// Load of one daemon's control plane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlReport {
    /// Bytes of control messages per second, from the metrics of the daemon.
    pub bytes_per_s: f64,
    /// Share of one core that the control thread used.
    pub cpu_share: f64,
    /// Resident memory of the whole process in megabytes.
    pub rss_mb: f64,
}

/// Load on the key-value service, from all daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Writes per second.
    pub writes_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
    /// Number of watch requests (long polls).
    pub watches: u64,
}

/// The report of a run, written as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The site that was simulated.
    pub site: Site,
    /// The seed of the trace.
    pub seed: u64,
    /// The git revision that was built; empty if unknown.
    pub build: String,
    /// Results by request class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Throughput of answers within their targets.
    pub goodput: Goodput,
    /// Generated tokens that did not end up in a complete answer.
    pub wasted_tokens: Waste,
    /// The service promises with their violations.
    pub promises: Vec<Promise>,
    /// Control plane load by daemon; only daemons that ran in one process of their own throughout.
    pub control: BTreeMap<String, ControlReport>,
    /// Load on the key-value service.
    pub kv: StoreReport,
    /// A line for each violation.
    pub reasons: Vec<String>,
}

impl Report {
    /// Computes the report of a run.
    pub fn of(run: &RunResult) -> Report {
        let requests = score_requests(&run.caller_records, &run.rules);
        let (promises, reasons) = check_promises(run, &requests);
        let mut classes: BTreeMap<String, ClassReport> = BTreeMap::new();
        for class in run.rules.keys() {
            classes.insert(class.clone(), class_report(run, &requests, class));
        }
        Report {
            site: run.trace.head.site,
            seed: run.trace.head.seed,
            build: env!("TEASELCROFT_REVISION").to_owned(),
            classes,
            goodput: goodput(run, &requests),
            wasted_tokens: waste(run, &requests),
            promises,
            control: control(run),
            kv: store(run),
            reasons,
        }
    }

    /// Whether no promise was broken; decides the exit code of the programs.
    pub fn all_promises_kept(&self) -> bool {
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

fn class_report(run: &RunResult, requests: &[ScoredRequest<'_>], class: &str) -> ClassReport {
    let of_class: Vec<&ScoredRequest<'_>> = requests.iter().filter(|scored| scored.class() == class).collect();
    let counted: Vec<&&ScoredRequest<'_>> = of_class.iter().filter(|scored| scored.is_counted()).collect();
    let count = |outcome| counted.iter().filter(|scored| scored.outcome == outcome).count() as u64;
    let whole = || counted.iter().filter(|scored| scored.outcome == RequestOutcome::Whole);
    let sent = counted.len() as u64;
    let in_target = counted.iter().filter(|scored| scored.in_target()).count() as u64;
    ClassReport {
        sent,
        whole: count(RequestOutcome::Whole),
        in_target,
        attainment: if sent == 0 { 1.0 } else { in_target as f64 / sent as f64 },
        not_run: count(RequestOutcome::NotRun),
        unknown: count(RequestOutcome::Unknown),
        lost: count(RequestOutcome::Lost),
        doubled: doubled(run, class),
        abandoned: of_class.iter().filter(|scored| scored.record.abandoned).count() as u64,
        poison: of_class.iter().filter(|scored| scored.record.request.poison).count() as u64,
        ttft_ms: percentiles(whole().filter_map(|scored| scored.first_ms)),
        total_ms: percentiles(whole().map(|scored| scored.total_ms)),
    }
}

/// Number of keys executed more than once, in a class that must not repeat.
fn doubled(run: &RunResult, class: &str) -> u64 {
    if !run.rules.get(class).is_some_and(|rule| rule.never_repeat) {
        return 0;
    }
    let mut seen = BTreeSet::new();
    let mut twice = BTreeSet::new();
    for start in run.records.starts.iter().filter(|start| start.class == class) {
        let key = start.key.as_deref().unwrap_or(&start.id);
        if !seen.insert(key) {
            twice.insert(key);
        }
    }
    twice.len() as u64
}

fn goodput(run: &RunResult, requests: &[ScoredRequest<'_>]) -> Goodput {
    let seconds = run.span_ms.max(1) as f64 / 1_000.0;
    let good = || requests.iter().filter(|scored| scored.is_counted() && scored.in_target());
    let tokens: u64 = good().map(|scored| u64::from(scored.record.request.output_tokens)).sum();
    Goodput { requests_per_s: good().count() as f64 / seconds, tokens_per_s: tokens as f64 / seconds }
}

fn waste(run: &RunResult, requests: &[ScoredRequest<'_>]) -> Waste {
    let whole: BTreeMap<&str, u64> = requests
        .iter()
        .filter(|scored| scored.outcome == RequestOutcome::Whole)
        .map(|scored| (scored.record.request.id.as_str(), u64::from(scored.record.request.output_tokens.max(1))))
        .collect();
    let generated: u64 = run.records.tokens.values().sum();
    let wasted = run
        .records
        .tokens
        .iter()
        .map(|(id, tokens)| tokens.saturating_sub(whole.get(id.as_str()).copied().unwrap_or(0)));
    let tokens: u64 = wasted.sum();
    Waste { tokens, share: tokens as f64 / generated.max(1) as f64 }
}

fn control(run: &RunResult) -> BTreeMap<String, ControlReport> {
    let seconds = run.span_ms.max(1) as f64 / 1_000.0;
    let rows = run.usage.iter().map(|(name, usage)| {
        let bytes = run.control_bytes.get(name).copied().unwrap_or(0.0);
        let row = ControlReport { bytes_per_s: bytes / seconds, cpu_share: usage.control_share, rss_mb: usage.rss_mb };
        (name.clone(), row)
    });
    rows.collect()
}

fn store(run: &RunResult) -> StoreReport {
    let seconds = run.span_ms.max(1) as f64 / 1_000.0;
    let store_requests = run.records.store;
    StoreReport {
        writes_per_s: store_requests.writes as f64 / seconds,
        reads_per_s: store_requests.reads as f64 / seconds,
        watches: store_requests.watches,
    }
}
