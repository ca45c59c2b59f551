//! A daemon is stopped in a planned way while a runner has preempted some streams and the other runner is full.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Finding;
use crate::client::{Request, exchange};
use crate::fleet::{CONTACT, Site, configure};
use crate::record::Record;
use crate::runner::{Behavior, Runner};
use crate::store::Store;

const DAEMONS: usize = 2;
const RUNNERS: usize = 2;

/// The requests that each runner serves at once, and those of either kind, which together take all places.
const SLOTS: u32 = 24;
const LONG_STREAMS: usize = 40;
const SUMMARIES: usize = 8;

/// The prompts' tokens: with these a runner's memory for 635,897 tokens runs out while it serves 24 requests.
const LONG_TOKENS: u32 = 26_000;
const SUMMARY_TOKENS: u32 = 30_000;

/// The time between long prompts: each runner reads one in twice that time.
const LONG_INTERVAL: Duration = Duration::from_millis(245);

/// How many summaries are preempted, and for how long: callers leave only after a gap of 3,200 ms.
const PREEMPTED: usize = 4;
const PAUSE: Duration = Duration::from_millis(2_400);

/// By then the runners have read the summaries' prompts.
const READ_TIME: Duration = Duration::from_millis(900);

/// The time from the signal until the streams are preempted.
const PREEMPT_DELAY: Duration = Duration::from_millis(300);

pub fn play(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), Duration::from_secs(1));
    configure(&store);
    let behavior = Arc::new(Behavior { slots: Some(SLOTS), work: Duration::from_millis(20), ..Behavior::default() });
    let start = |number: usize, name: String, service| {
        Runner::start(&site.ip(number), &name, service, &behavior, &store, record)
    };
    let _readers: Vec<Runner> = (0..2).map(|number| start(240 + number, format!("i-a{number}"), "agenda")).collect();
    let runners: Vec<Runner> =
        (0..RUNNERS).map(|number| start(100 + number, format!("i-m{number}"), "asistente")).collect();
    let daemons = site.start(DAEMONS, &store, record)?;
    thread::sleep(CONTACT);

    let mut cut = Vec::new();
    let mut has_signalled = Ok(());
    let mut preempted = 0;
    thread::scope(|scope| {
        for number in 0..LONG_STREAMS {
            let (front, request) = (daemons[number % DAEMONS].front, request("ask/52/270", "long", number));
            scope.spawn(move || exchange(front, &request, record));
            thread::sleep(LONG_INTERVAL);
        }
        thread::sleep(2 * LONG_INTERVAL);
        let summaries: Vec<_> = (0..SUMMARIES)
            .map(|number| {
                thread::sleep(Duration::from_millis(30));
                let (front, request) = (daemons[0].front, request("sum/16/130", "sum", number));
                scope.spawn(move || (request.id.clone(), exchange(front, &request, record)))
            })
            .collect();
        thread::sleep(READ_TIME);
        let counts: Vec<String> =
            runners.iter().map(|one| format!("{} runs {}", one.name(), one.count_of(""))).collect();
        record.note(counts.join(", "));
        if has_trouble {
            record.note("the first daemon gets SIGTERM");
            has_signalled = daemons[0].terminate();
        }
        thread::sleep(PREEMPT_DELAY);
        // One runner's memory runs out.
        let fullest = runners.iter().max_by_key(|runner| runner.count_of("sum-")).expect("there are runners");
        preempted = fullest.preempt("sum-", PREEMPTED, PAUSE);
        for summary in summaries {
            let (id, answer) = summary.join().expect("no caller panics");
            if answer.status() == 0 || answer.status() == 200 && !answer.is_complete {
                cut.push(id);
            }
        }
    });
    has_signalled?;
    if preempted == 0 {
        return Err("no summary was running".to_owned());
    }
    let seen = format!(
        "{preempted} streams were preempted for {} ms, {} were cut: {}",
        PAUSE.as_millis(),
        cut.len(),
        cut.join(", ")
    );
    let reason = if has_trouble { seen } else { format!("{seen} (the rule counts those around planned work alone)") };
    Ok(Finding { is_broken: has_trouble && !cut.is_empty(), reason })
}

fn request(path: &str, kind: &str, number: usize) -> Request {
    let tokens = if kind == "sum" { SUMMARY_TOKENS } else { LONG_TOKENS };
    let parts = format!("a{:x}:350,{:x}:{}", number % 5, 0xb000_0000_u32 + number as u32, tokens - 350);
    Request {
        method: "POST",
        path: format!("/{path}/{kind}-{number}"),
        id: format!("{kind}-{number}"),
        fields: format!("X-Model: m\r\nX-Token-Usage: {tokens},160\r\nX-Prompt-Prefix: {parts}\r\n"),
        body: format!("{{\"{kind}\":{number}}}"),
        deadline_ms: if kind == "sum" { 6_000 } else { 15_000 },
    }
}
