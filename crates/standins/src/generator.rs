//! Generates traces of the busy start of a term: Poisson arrivals by class, with a burst of quick questions.

use serde_json::json;

use crate::Site;
use crate::trace::{EventKind, Trace, TraceEvent, TraceHead, TraceRequest};

/// Parameters of a generated trace.
#[derive(Debug, Clone)]
pub struct GeneratorSettings {
    /// The site, which determines classes and zones.
    pub site: Site,
    /// Number of daemons.
    pub daemons: usize,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Time in which requests are sent, in milliseconds.
    pub span_ms: u64,
    /// Request rate in percent of the usual.
    pub load_percent: u64,
    /// Request rate of quick questions in percent of the usual; `load_percent` if absent.
    pub quick_percent: Option<u64>,
    /// Rate of quick questions during the burst, in percent of their rate outside it.
    pub burst_percent: u64,
}

impl Default for GeneratorSettings {
    fn default() -> GeneratorSettings {
        GeneratorSettings {
            site: Site::Reservoir,
            daemons: 6,
            seed: 1,
            span_ms: 30_000,
            load_percent: 100,
            quick_percent: None,
            burst_percent: 500,
        }
    }
}

/// When the burst happens, in milliseconds from the start of the trace.
const BURST_MS: std::ops::Range<u64> = 5_000..8_000;
const CUSTOMERS: u64 = 10;
/// The first customers, which send half of all requests in addition to their even share of the rest.
const LARGE_CUSTOMERS: u64 = 3;
/// Number of different prompt prefixes of a class.
const PREFIXES: u64 = 12;

/// The usual traffic of one class.
struct ClassTraffic {
    class: &'static str,
    /// Mean time between requests.
    interval_ms: f64,
    prompt_tokens: u32,
    output_tokens: u32,
    prefix_tokens: u32,
    has_key: bool,
    has_burst: bool,
}

/// A class without idempotency keys and bursts.
const fn steady_class(class: &'static str, interval_ms: f64, prompt: u32, output: u32, prefix: u32) -> ClassTraffic {
    ClassTraffic {
        class,
        interval_ms,
        prompt_tokens: prompt,
        output_tokens: output,
        prefix_tokens: prefix,
        has_key: false,
        has_burst: false,
    }
}

fn class_traffic(site: Site) -> Vec<ClassTraffic> {
    let quick =
        |interval_ms| ClassTraffic { has_burst: true, ..steady_class("quick-question", interval_ms, 200, 80, 120) };
    let booking = |class, interval_ms| ClassTraffic { has_key: true, ..steady_class(class, interval_ms, 50, 0, 0) };
    match site {
        Site::Reservoir => vec![
            quick(50.0),
            steady_class("maintenance-summary", 200.0, 1_500, 250, 1_000),
            steady_class("shift-plan", 400.0, 6_000, 600, 3_000),
            booking("booking", 100.0),
            steady_class("booking-read", 100.0, 20, 0, 0),
        ],
        Site::Library => vec![
            quick(100.0),
            steady_class("repair-summary", 400.0, 1_500, 250, 1_000),
            steady_class("loan-draft", 800.0, 6_000, 600, 3_000),
            booking("loan-booking", 120.0),
            booking("loan-cancellation", 400.0),
            steady_class("catalogue-lookup", 80.0, 20, 0, 0),
        ],
    }
}

/// Generates the requests of a trace, without events.
pub fn generate(settings: &GeneratorSettings) -> Trace {
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let mut requests = Vec::new();
    for traffic in class_traffic(settings.site) {
        add_class(settings, &traffic, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.at_ms);
    let head = TraceHead { site: settings.site, daemons: settings.daemons, seed: settings.seed };
    Trace { head, requests, events: Vec::new() }
}

fn add_class(
    settings: &GeneratorSettings,
    traffic: &ClassTraffic,
    rng: &mut fastrand::Rng,
    requests: &mut Vec<TraceRequest>,
) {
    let mut at = 0.0;
    let mut number = 0;
    loop {
        let bursting = traffic.has_burst && BURST_MS.contains(&(at as u64));
        let burst = if bursting { settings.burst_percent as f64 / 100.0 } else { 1.0 };
        let quick = settings.quick_percent.filter(|_| traffic.has_burst);
        let percent = quick.unwrap_or(settings.load_percent).max(1);
        let mean_ms = traffic.interval_ms * 100.0 / percent as f64 / burst;
        at += -mean_ms * (1.0 - rng.f64()).ln();
        if at >= settings.span_ms as f64 {
            return;
        }
        number += 1;
        requests.push(request(settings, traffic, rng, at as u64, number));
    }
}

fn request(
    settings: &GeneratorSettings,
    traffic: &ClassTraffic,
    rng: &mut fastrand::Rng,
    at_ms: u64,
    number: u64,
) -> TraceRequest {
    let from_large = rng.u64(..2) == 0;
    let customer = if from_large { rng.u64(..LARGE_CUSTOMERS) } else { rng.u64(..CUSTOMERS) };
    let zones = settings.site.zones();
    let id = format!("{}-{number}", traffic.class);
    let spread = |rng: &mut fastrand::Rng, mean: u32| if mean == 0 { 0 } else { mean / 2 + rng.u32(..=mean) };
    let prefix = (traffic.prefix_tokens > 0).then(|| format!("{}-{}", traffic.class, rng.u64(..PREFIXES)));
    TraceRequest {
        at_ms,
        customer: format!("c{}", customer + 1),
        class: traffic.class.to_owned(),
        zone: zones[rng.usize(..zones.len())].to_owned(),
        prompt_tokens: traffic.prefix_tokens + spread(rng, traffic.prompt_tokens - traffic.prefix_tokens),
        output_tokens: spread(rng, traffic.output_tokens),
        prefix,
        prefix_tokens: traffic.prefix_tokens,
        key: traffic.has_key.then(|| format!("key-{id}")),
        poison: false,
        abandon_ms: None,
        id,
    }
}

/// Sends about one in `one_in` of the requests with an idempotency key again, `after_ms` later and with the same key.
pub fn add_resends(trace: &mut Trace, one_in: u64, after_ms: u64) {
    let mut rng = fastrand::Rng::with_seed(trace.head.seed);
    let with_key = trace.requests.iter().filter(|request| request.key.is_some());
    let resends: Vec<TraceRequest> = with_key
        .filter(|_| rng.u64(..one_in) == 0)
        .map(|request| TraceRequest {
            at_ms: request.at_ms + after_ms,
            id: format!("{}-again", request.id),
            ..request.clone()
        })
        .collect();
    trace.requests.extend(resends);
    trace.requests.sort_by_key(|request| request.at_ms);
}

/// Adds an event and keeps the events ordered by time.
pub fn add_event(trace: &mut Trace, at_ms: u64, kind: EventKind) {
    trace.events.push(TraceEvent { at_ms, kind });
    trace.events.sort_by_key(|event| event.at_ms);
}

/// The demo trace: the start of a term with concurrent revisions, a runner crash, a key-value outage, a runner that
/// leaves and a planned stop of a daemon.
pub fn demo_trace(site: Site) -> Trace {
    let mut trace = generate(&GeneratorSettings { site, ..GeneratorSettings::default() });
    add_resends(&mut trace, 10, 1_500);
    let engine_prefix = site.runner_groups()[0].prefix;
    let (team, class) = match site {
        Site::Reservoir => ("harvest", "shift-plan"),
        Site::Library => ("lending", "loan-draft"),
    };
    let set = json!({ class: { "target_ms": 120_000 } });
    let set = set.as_object().cloned().unwrap_or_default();
    add_event(&mut trace, 4_000, EventKind::QuestionnaireRevised { team: team.to_owned(), set, racers: 3 });
    add_event(&mut trace, 7_000, EventKind::RunnerCrash { target: format!("{engine_prefix}-03") });
    add_event(&mut trace, 12_000, EventKind::KvDown { for_ms: 10_000 });
    add_event(&mut trace, 15_000, EventKind::RunnerLeaving { target: format!("{engine_prefix}-05") });
    add_event(&mut trace, 24_000, EventKind::DaemonStop { target: "entry-6".to_owned() });
    trace
}
