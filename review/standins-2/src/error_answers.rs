//! A prompt part crashes each runner that begins an answer on it, while runners also fail some requests with errors.

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
const RUNNERS: usize = 18;

/// The part that crashes runners.
const PART: &str = "dead5eed";

/// How long all runners fail this share of their requests, in hundredths: the dose of the sites' standard days.
const ERROR_TIME: Duration = Duration::from_millis(4_000);
const ERROR_SHARE: u32 = 45;

/// The time between requests with the part, and between sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(330);
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

const LENGTH: Duration = Duration::from_secs(16);

/// More requests than this may not reach runners later than the contact time after the fifth crash.
const MAX_LATER: usize = 3;

pub fn play(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), Duration::from_secs(1));
    configure(&store);
    let behavior = Arc::new(Behavior {
        crashing: format!("{PART}:"),
        down: Duration::from_secs(3),
        work: Duration::from_millis(20),
        ..Behavior::default()
    });
    let start = |number: usize, name: String, service| {
        Runner::start(&site.ip(number), &name, service, &behavior, &store, record)
    };
    let _readers: Vec<Runner> = (0..2).map(|number| start(240 + number, format!("i-a{number}"), "agenda")).collect();
    let _runners: Vec<Runner> =
        (0..RUNNERS).map(|number| start(100 + number, format!("i-m{number}"), "asistente")).collect();
    let daemons = site.start(DAEMONS, &store, record)?;
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    // The machines are in touch, and the daemons hear each other.
    thread::sleep(CONTACT);

    if has_trouble {
        record.note(format!("{ERROR_SHARE} in 100 requests fail at all runners of the model"));
        behavior.error_share.store(ERROR_SHARE, Ordering::SeqCst);
    }
    let began = Instant::now();
    thread::scope(|scope| {
        for (kind, interval) in [("bad", CRASHING_INTERVAL), ("sound", SOUND_INTERVAL)] {
            let fronts = &fronts;
            scope.spawn(move || {
                let mut number = 0;
                while began.elapsed() < LENGTH {
                    let front = fronts[number % fronts.len()];
                    let request = request(kind, number);
                    scope.spawn(move || send(front, &request, record));
                    number += 1;
                    thread::sleep(interval);
                }
            });
        }
        thread::sleep(ERROR_TIME);
        behavior.error_share.store(0, Ordering::SeqCst);
        record.note("no request fails any more but by a crash");
    });

    let crashes = behavior.crashes.lock().map_err(|_| "a thread panicked")?.clone();
    let lost = behavior.lost.load(Ordering::SeqCst);
    let Some(fifth) = crashes.get(4) else {
        return Ok(Finding { is_broken: false, reason: format!("{} runners crashed", crashes.len()) });
    };
    let later = behavior.arrivals_of(|arrival| arrival.id.starts_with("bad-") && arrival.at > *fifth + CONTACT).len();
    Ok(Finding {
        is_broken: later > MAX_LATER,
        reason: format!(
            "{later} requests with the part reached runners later than {} ms after the fifth crash, {MAX_LATER} may; {} crashes, \
             {lost} sound requests lost by them",
            CONTACT.as_millis(),
            crashes.len()
        ),
    })
}

/// No two requests are alike; those that crash runners share their first part and their caller with sound ones.
fn request(kind: &str, number: usize) -> Request {
    let part = if kind == "bad" { format!("{PART}:900,") } else { String::new() };
    let parts = format!(
        "a{:x}:350,{part}{:x}:400",
        number % 5,
        0xb000_0000_u32 + number as u32 + if kind == "bad" { 0x10_0000 } else { 0 }
    );
    Request {
        method: "POST",
        path: format!("/ask/10/30/{kind}-{number}"),
        id: format!("{kind}-{number}"),
        fields: format!("X-Model: m\r\nX-Token-Usage: 1650,30\r\nX-Prompt-Prefix: {parts}\r\n"),
        body: format!("{{\"{kind}\":{number}}}"),
        deadline_ms: 15_000,
    }
}
