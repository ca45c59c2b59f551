//! A request makes each runner that begins to run it go dark; the runner's next start has another id.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::client::{Request, send};
use crate::fleet::{CONTACT, Site, configure};
use crate::record::Record;
use crate::runner::{Behavior, Runner};
use crate::store::Store;

const DAEMONS: usize = 2;
const RUNNERS: usize = 12;

/// The time between two sends of the request, and between sound ones.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

const LENGTH: Duration = Duration::from_secs(20);

/// A request that has crashed three runners may come to runners again this often.
const MAX_LATER: usize = 3;

pub fn play(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), Duration::from_secs(1));
    configure(&store);
    let behavior = Arc::new(Behavior {
        crashing: if has_trouble { "barge 66".to_owned() } else { String::new() },
        down: Duration::from_millis(3_000),
        goes_dark: true,
        work: Duration::from_millis(120),
        ..Behavior::default()
    });
    let start = |number: usize| {
        Runner::start(&site.ip(100 + number), &format!("i-{number}.0"), "agenda", &behavior, &store, record)
    };
    let _runners: Vec<Runner> = (0..RUNNERS).map(start).collect();
    let daemons = site.start(DAEMONS, &store, record)?;
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    thread::sleep(CONTACT);

    let began = Instant::now();
    thread::scope(|scope| {
        for (kind, interval) in [("again", REPEAT_INTERVAL), ("sound", SOUND_INTERVAL)] {
            let fronts = &fronts;
            scope.spawn(move || {
                let mut number = 0;
                while began.elapsed() < LENGTH {
                    let (front, request) = (fronts[number % fronts.len()], request(kind, number));
                    scope.spawn(move || send(front, &request, record));
                    number += 1;
                    thread::sleep(interval);
                }
            });
        }
    });

    let crashes = behavior.crashes.lock().map_err(|_| "a thread panicked")?.clone();
    let lost = behavior.lost.load(Ordering::SeqCst);
    let sent = behavior.arrivals_of(|arrival| arrival.id.starts_with("again-")).len();
    let Some(third) = crashes.get(2) else {
        return Ok(Finding {
            is_broken: false,
            reason: format!("{} runners went dark; {sent} requests reached one", crashes.len()),
        });
    };
    let later = behavior.arrivals_of(|arrival| arrival.id.starts_with("again-") && arrival.at > *third + CONTACT).len();
    Ok(Finding {
        is_broken: later > MAX_LATER,
        reason: format!(
            "{later} repeats of the request reached runners later than {} ms after it had taken down the third, {MAX_LATER} may; \
             it took down {}, with {lost} sound requests",
            CONTACT.as_millis(),
            crashes.len()
        ),
    })
}

/// The request that comes again has the same path, caller and body each time; no two sound ones are alike.
fn request(kind: &str, number: usize) -> Request {
    let body =
        if kind == "again" { "{\"unload\":\"barge 66\"}".to_owned() } else { format!("{{\"unload\":{number}}}") };
    Request {
        method: "POST",
        path: "/book/slot".to_owned(),
        id: format!("{kind}-{number}"),
        body,
        deadline_ms: 1_500,
        ..Request::default()
    }
}
