//! Generates the traces under `traces/`: the demo of each site and traces for each kind of failure or load.

use serde_json::json;

use crate::Site;
use crate::generator::{GeneratorSettings, add_event, add_resends, demo_trace, generate};
use crate::trace::{EventKind, Trace, TraceRequest};

/// A trace and the name of its file.
pub struct Scenario {
    /// The file name without its extension.
    pub name: &'static str,
    /// The generated trace.
    pub trace: Trace,
}

fn base_trace(site: Site, seed: u64, load_percent: u64, burst_percent: u64) -> Trace {
    let settings = GeneratorSettings { site, seed, load_percent, burst_percent, span_ms: 25_000, ..Default::default() };
    let mut trace = generate(&settings);
    add_resends(&mut trace, 8, 2_000);
    trace
}

fn with_events(mut trace: Trace, events: Vec<(u64, EventKind)>) -> Trace {
    for (at_ms, kind) in events {
        add_event(&mut trace, at_ms, kind);
    }
    trace
}

fn owned(name: &str) -> String {
    name.to_owned()
}

fn runner_leaves() -> Trace {
    let leaving = |number| EventKind::RunnerLeaving { target: format!("assistant-{number:02}") };
    let service = EventKind::RunnerLeaving { target: owned("compost-02") };
    with_events(
        base_trace(Site::Reservoir, 11, 50, 200),
        vec![(4_000, leaving(2)), (5_000, leaving(9)), (6_000, service)],
    )
}

fn store_down() -> Trace {
    let set = json!({ "quick-question": { "target_ms": 4_500 } });
    let set = set.as_object().cloned().unwrap_or_default();
    let revised = EventKind::QuestionnaireRevised { team: owned("harvest"), set, racers: 4 };
    with_events(
        base_trace(Site::Reservoir, 12, 50, 200),
        vec![(2_000, revised), (5_000, EventKind::KvDown { for_ms: 60_000 })],
    )
}

/// Bookings, which must not run twice, while daemons, runners and the key-value service fail around them.
fn bookings_under_fire() -> Trace {
    let events = vec![
        (3_000, EventKind::KvLoseReplies { for_ms: 4_000 }),
        (6_000, EventKind::DaemonPause { target: owned("entry-2"), for_ms: 8_000 }),
        (9_000, EventKind::KvSlow { delay_ms: 700, for_ms: 3_000 }),
        (11_000, EventKind::DaemonKill { target: owned("entry-3") }),
        (13_000, EventKind::RunnerSilent { target: owned("desk-02") }),
        (15_000, EventKind::KvDown { for_ms: 10_000 }),
        (18_000, EventKind::DaemonStart { target: owned("entry-3") }),
        (20_000, EventKind::RunnerCrash { target: owned("desk-01") }),
    ];
    with_events(base_trace(Site::Library, 13, 100, 100), events)
}

/// Concurrent revisions of a questionnaire with a paused daemon and lost replies.
fn orders_raced() -> Trace {
    let set = |target: u64| {
        let set = json!({ "loan-draft": { "target_ms": target } });
        set.as_object().cloned().unwrap_or_default()
    };
    let revised = |target, racers| EventKind::QuestionnaireRevised { team: owned("lending"), set: set(target), racers };
    let events = vec![
        (2_000, revised(95_000, 5)),
        (4_000, revised(100_000, 1)),
        (4_500, EventKind::DaemonPause { target: owned("entry-1"), for_ms: 6_000 }),
        (5_000, revised(105_000, 3)),
        (7_000, EventKind::KvLoseReplies { for_ms: 2_000 }),
        (7_500, revised(110_000, 2)),
    ];
    with_events(base_trace(Site::Library, 14, 50, 100), events)
}

fn burst() -> Trace {
    base_trace(Site::Reservoir, 15, 120, 900)
}

fn straggler() -> Trace {
    let events = vec![
        (2_000, EventKind::RunnerSlow { target: owned("drafting-04"), factor: 6.0 }),
        (3_000, EventKind::ReportsLag { delay_ms: 3_000, for_ms: 12_000 }),
        (16_000, EventKind::RunnerSlow { target: owned("drafting-04"), factor: 1.0 }),
    ];
    with_events(base_trace(Site::Library, 16, 100, 200), events)
}

fn overload() -> Trace {
    base_trace(Site::Reservoir, 17, 300, 100)
}

/// The same request, sent three times, crashes every engine that executes it.
fn poison() -> Trace {
    let mut trace = base_trace(Site::Reservoir, 18, 60, 100);
    let poison = |number: u64, at_ms: u64| TraceRequest {
        at_ms,
        id: format!("poison-{number}"),
        customer: owned("c4"),
        class: owned("maintenance-summary"),
        zone: owned("fayon"),
        prompt_tokens: 800,
        output_tokens: 200,
        prefix: None,
        prefix_tokens: 0,
        key: Some(owned("poison-key")),
        poison: true,
        abandon_ms: None,
    };
    trace.requests.extend([poison(1, 3_000), poison(2, 14_000), poison(3, 18_000)]);
    trace.requests.sort_by_key(|request| request.at_ms);
    trace
}

fn silent_connections() -> Trace {
    let silent = |number: u64| EventKind::RunnerSilent { target: format!("assistant-{number:02}") };
    let service = EventKind::RunnerSilent { target: owned("compost-01") };
    with_events(
        base_trace(Site::Reservoir, 19, 60, 100),
        vec![(6_000, silent(1)), (7_000, silent(7)), (9_000, service)],
    )
}

fn stops_and_deaths() -> Trace {
    let events = vec![
        (4_000, EventKind::DaemonStop { target: owned("entry-1") }),
        (8_000, EventKind::DaemonKill { target: owned("entry-2") }),
        (11_000, EventKind::DaemonStart { target: owned("entry-1") }),
        (13_000, EventKind::DaemonPause { target: owned("entry-4"), for_ms: 5_000 }),
        (16_000, EventKind::DaemonStart { target: owned("entry-2") }),
        (20_000, EventKind::DaemonStop { target: owned("entry-5") }),
    ];
    with_events(base_trace(Site::Reservoir, 20, 60, 100), events)
}

/// The failure of the first zone: its daemons are killed and its runners crash.
fn zone_gone() -> Trace {
    let mut events = Vec::new();
    for daemon in ["entry-1", "entry-4"] {
        events.push((6_000, EventKind::DaemonKill { target: owned(daemon) }));
    }
    for number in [1, 4, 7, 10, 13, 16, 19] {
        events.push((6_000, EventKind::RunnerCrash { target: format!("assistant-{number:02}") }));
    }
    events.push((6_000, EventKind::RunnerCrash { target: owned("compost-01") }));
    with_events(base_trace(Site::Reservoir, 21, 60, 100), events)
}

/// One caller in five hangs up after 700 ms.
fn callers_leave() -> Trace {
    let mut trace = base_trace(Site::Library, 22, 100, 200);
    for request in trace.requests.iter_mut().step_by(5) {
        request.abandon_ms = Some(700);
    }
    trace
}

/// Every trace under `traces/`.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario { name: "reservoir-term", trace: demo_trace(Site::Reservoir) },
        Scenario { name: "library-term", trace: demo_trace(Site::Library) },
        Scenario { name: "01-runners-leave", trace: runner_leaves() },
        Scenario { name: "02-store-down", trace: store_down() },
        Scenario { name: "03-bookings-under-fire", trace: bookings_under_fire() },
        Scenario { name: "04-orders-raced", trace: orders_raced() },
        Scenario { name: "05-burst", trace: burst() },
        Scenario { name: "06-straggler", trace: straggler() },
        Scenario { name: "07-overload", trace: overload() },
        Scenario { name: "07-callers-leave", trace: callers_leave() },
        Scenario { name: "08-poison", trace: poison() },
        Scenario { name: "09-silent-connections", trace: silent_connections() },
        Scenario { name: "10-stops-and-deaths", trace: stops_and_deaths() },
        Scenario { name: "10-zone-gone", trace: zone_gone() },
    ]
}
