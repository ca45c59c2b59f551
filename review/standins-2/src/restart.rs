//! A request crashes each runner that begins to run it; all daemons are killed just after that was found out.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::client::{Request, send};
use crate::fleet::{CONTACT, Site, configure, wait_until_serving};
use crate::record::Record;
use crate::runner::{Behavior, Runner};
use crate::store::Store;

const DAEMONS: usize = 2;
const RUNNERS: usize = 14;

/// How old reads of the store with `serializable` are.
const STALE_BY: Duration = Duration::from_millis(3_000);

/// The time from the third crash until all daemons are killed, and until the platform starts them anew.
const KILL_DELAY: Duration = Duration::from_millis(1_000);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A request that has crashed three runners may come to runners again this often.
const MAX_LATER: usize = 3;

pub fn play(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), STALE_BY);
    configure(&store);
    let behavior = Arc::new(Behavior {
        crashing: "barge 66".to_owned(),
        down: Duration::from_secs(3),
        work: Duration::from_millis(20),
        ..Behavior::default()
    });
    let start = |number: usize| {
        Runner::start(&site.ip(100 + number), &format!("i-{number}"), "agenda", &behavior, &store, record)
    };
    let _runners: Vec<Runner> = (0..RUNNERS).map(start).collect();
    let mut daemons = site.start(DAEMONS, &store, record)?;
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    thread::sleep(CONTACT + STALE_BY);

    let mut number = 0;
    let mut send_round = |count: usize| {
        thread::scope(|scope| {
            for _ in 0..count {
                let (front, request) = (fronts[number % fronts.len()], request(number));
                scope.spawn(move || send(front, &request, record));
                number += 1;
            }
        });
        thread::sleep(Duration::from_millis(150));
    };
    // One caller repeats it until it is refused.
    (0..6).for_each(|_| send_round(1));
    let Some(third) = behavior.crashes.lock().map_err(|_| "a thread panicked")?.get(2).copied() else {
        return Err("the request did not crash three runners".to_owned());
    };
    thread::sleep((third + KILL_DELAY).saturating_duration_since(Instant::now()));
    record.note(format!("the store has {}", store.keys("teaselcroft/").join(", ")));
    if has_trouble {
        record.note("all daemons are killed");
        daemons.iter_mut().for_each(|daemon| daemon.kill());
        thread::sleep(RESTART_DELAY);
        for daemon in &mut daemons {
            daemon.restart()?;
        }
        record.note("all daemons are started anew");
    }
    let began = Instant::now();
    wait_until_serving(&daemons, record)?;
    // By now the machines are in touch again.
    thread::sleep((began + CONTACT + Duration::from_millis(200)).saturating_duration_since(Instant::now()));
    record.note("the machines are in touch");
    let in_touch = Instant::now();
    for count in [2, 4, 4] {
        send_round(count);
    }
    if daemons.iter_mut().any(|daemon| !daemon.is_running()) {
        record.note("a daemon has ended by itself");
    }
    let later = behavior.arrivals_of(|arrival| arrival.id.starts_with("again-") && arrival.at > in_touch).len();
    Ok(Finding {
        is_broken: later > MAX_LATER && in_touch > third + CONTACT,
        reason: format!(
            "{later} repeats of the request reached runners from machines in touch, later than {} ms after it had crashed the \
             third; {MAX_LATER} may",
            CONTACT.as_millis()
        ),
    })
}

/// The same path, caller and body each time; only the id differs.
fn request(number: usize) -> Request {
    Request {
        method: "POST",
        path: "/book/slot".to_owned(),
        id: format!("again-{number}"),
        body: "{\"unload\":\"barge 66\"}".to_owned(),
        deadline_ms: 3_000,
        ..Request::default()
    }
}
