//! Generates traces of a term that opens.

use serde_json::json;

use crate::Site;
use crate::trace::{EventKind, Trace, TraceEvent, TraceHead, TraceRequest};

/// What a generated trace holds.
#[derive(Debug, Clone)]
pub struct GeneratorSettings {
    /// The site.
    pub site: Site,
    /// How many daemons run.
    pub daemons: usize,
    /// The seed of everything random.
    pub seed: u64,
    /// How long requests are sent, in milliseconds.
    pub span_ms: u64,
    /// Load in hundredths of the usual.
    pub load_percent: u64,
    /// Load of quick questions, if it differs.
    pub quick_percent: Option<u64>,
    /// Quick questions in the burst, in hundredths of the usual rate.
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

const BURST_MS: std::ops::Range<u64> = 5_000..8_000;
const CUSTOMERS: u64 = 10;
const LARGE_CUSTOMERS: u64 = 3;
const PREFIXES: u64 = 12;

/// The usual traffic of one class.
struct Mix {
    class: &'static str,
    every_ms: f64,
    prompt_tokens: u32,
    output_tokens: u32,
    prefix_tokens: u32,
    keyed: bool,
    bursts: bool,
}

const fn model(class: &'static str, every_ms: f64, prompt: u32, output: u32, prefix: u32) -> Mix {
    Mix {
        class,
        every_ms,
        prompt_tokens: prompt,
        output_tokens: output,
        prefix_tokens: prefix,
        keyed: false,
        bursts: false,
    }
}

fn mixes(site: Site) -> Vec<Mix> {
    let quick = |every_ms| Mix { bursts: true, ..model("quick-question", every_ms, 200, 80, 120) };
    let booking = |class, every_ms| Mix { keyed: true, ..model(class, every_ms, 50, 0, 0) };
    match site {
        Site::Reservoir => vec![
            quick(50.0),
            model("maintenance-summary", 200.0, 1_500, 250, 1_000),
            model("shift-plan", 400.0, 6_000, 600, 3_000),
            booking("booking", 100.0),
            model("booking-read", 100.0, 20, 0, 0),
        ],
        Site::Library => vec![
            quick(100.0),
            model("repair-summary", 400.0, 1_500, 250, 1_000),
            model("loan-draft", 800.0, 6_000, 600, 3_000),
            booking("loan-booking", 120.0),
            booking("loan-cancellation", 400.0),
            model("catalogue-lookup", 80.0, 20, 0, 0),
        ],
    }
}

/// Generates the requests of a term that opens, without events.
pub fn generate(settings: &GeneratorSettings) -> Trace {
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let mut requests = Vec::new();
    for mix in mixes(settings.site) {
        add_class(settings, &mix, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.at_ms);
    let head = TraceHead { site: settings.site, daemons: settings.daemons, seed: settings.seed };
    Trace { head, requests, events: Vec::new() }
}

fn add_class(settings: &GeneratorSettings, mix: &Mix, rng: &mut fastrand::Rng, requests: &mut Vec<TraceRequest>) {
    let mut at = 0.0;
    let mut number = 0;
    loop {
        let bursting = mix.bursts && BURST_MS.contains(&(at as u64));
        let burst = if bursting { settings.burst_percent as f64 / 100.0 } else { 1.0 };
        let quick = settings.quick_percent.filter(|_| mix.bursts);
        let percent = quick.unwrap_or(settings.load_percent).max(1);
        let every = mix.every_ms * 100.0 / percent as f64 / burst;
        at += -every * (1.0 - rng.f64()).ln();
        if at >= settings.span_ms as f64 {
            return;
        }
        number += 1;
        requests.push(request(settings, mix, rng, at as u64, number));
    }
}

fn request(settings: &GeneratorSettings, mix: &Mix, rng: &mut fastrand::Rng, at_ms: u64, number: u64) -> TraceRequest {
    let large = rng.u64(..2) == 0;
    let customer = if large { rng.u64(..LARGE_CUSTOMERS) } else { rng.u64(..CUSTOMERS) };
    let zones = settings.site.zones();
    let id = format!("{}-{number}", mix.class);
    let spread = |rng: &mut fastrand::Rng, mean: u32| if mean == 0 { 0 } else { mean / 2 + rng.u32(..=mean) };
    let prefix = (mix.prefix_tokens > 0).then(|| format!("{}-{}", mix.class, rng.u64(..PREFIXES)));
    TraceRequest {
        at_ms,
        customer: format!("c{}", customer + 1),
        class: mix.class.to_owned(),
        zone: zones[rng.usize(..zones.len())].to_owned(),
        prompt_tokens: mix.prefix_tokens + spread(rng, mix.prompt_tokens - mix.prefix_tokens),
        output_tokens: spread(rng, mix.output_tokens),
        prefix,
        prefix_tokens: mix.prefix_tokens,
        key: mix.keyed.then(|| format!("key-{id}")),
        poison: false,
        abandon_ms: None,
        id,
    }
}

/// Adds a second sending of some calls that must not repeat, a while after the first.
pub fn add_resends(trace: &mut Trace, one_in: u64, after_ms: u64) {
    let mut rng = fastrand::Rng::with_seed(trace.head.seed);
    let keyed = trace.requests.iter().filter(|request| request.key.is_some());
    let again: Vec<TraceRequest> = keyed
        .filter(|_| rng.u64(..one_in) == 0)
        .map(|request| TraceRequest {
            at_ms: request.at_ms + after_ms,
            id: format!("{}-again", request.id),
            ..request.clone()
        })
        .collect();
    trace.requests.extend(again);
    trace.requests.sort_by_key(|request| request.at_ms);
}

/// Adds an event.
pub fn add_event(trace: &mut Trace, at_ms: u64, kind: EventKind) {
    trace.events.push(TraceEvent { at_ms, kind });
    trace.events.sort_by_key(|event| event.at_ms);
}

/// The demo: a term that opens, with a runner crash and a key-value outage in it.
pub fn demo_trace(site: Site) -> Trace {
    let mut trace = generate(&GeneratorSettings { site, ..GeneratorSettings::default() });
    add_resends(&mut trace, 10, 1_500);
    let model = site.groups()[0].prefix;
    let (team, class) = match site {
        Site::Reservoir => ("harvest", "shift-plan"),
        Site::Library => ("lending", "loan-draft"),
    };
    let set = json!({ class: { "target_ms": 120_000 } });
    let set = set.as_object().cloned().unwrap_or_default();
    add_event(&mut trace, 4_000, EventKind::QuestionnaireRevised { team: team.to_owned(), set, racers: 3 });
    add_event(&mut trace, 7_000, EventKind::RunnerCrash { target: format!("{model}-03") });
    add_event(&mut trace, 12_000, EventKind::KvDown { for_ms: 10_000 });
    add_event(&mut trace, 15_000, EventKind::RunnerLeaving { target: format!("{model}-05") });
    add_event(&mut trace, 24_000, EventKind::DaemonStop { target: "entry-6".to_owned() });
    trace
}
