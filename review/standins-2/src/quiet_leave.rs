//! A runner leaves in a quiet minute: no request shows the daemons that it does, so that they have to hear it from the store.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::client::{Request, send};
use crate::fleet::{CONTACT, DRAIN, Daemon, Site, configure};
use crate::record::Record;
use crate::runner::{Behavior, Runner};
use crate::store::Store;

const DAEMONS: usize = 2;
const RUNNERS: usize = 3;

/// The store cuts a watch that has waited for so long.
const WATCH_CUT: Duration = Duration::from_millis(1_000);

/// When the runner exits, and when the requests come, both counted from the end of the drain time.
struct Times {
    exit: Duration,
    requests: Duration,
}

/// With a report: "a little longer (at times many seconds)".
const AFTER_REPORT: Times = Times { exit: Duration::from_millis(1_500), requests: Duration::from_millis(1_450) };

/// Without one: "the same time".
const AFTER_REMOVAL: Times = Times { exit: Duration::from_millis(150), requests: Duration::from_millis(100) };

/// The requests that come then, through all daemons together.
const REQUESTS: usize = 12;

struct Case {
    /// The runners' names are free again, and the daemons end, when the case does.
    daemons: Vec<Daemon>,
    runners: Vec<Runner>,
    behavior: Arc<Behavior>,
    store: Store,
    _site: Site,
}

fn prepare(root: PathBuf, record: &Record) -> Result<Case, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), Duration::from_secs(1));
    configure(&store);
    let behavior = Arc::new(Behavior { work: Duration::from_millis(60), ..Behavior::default() });
    let start = |number: usize| {
        Runner::start(&site.ip(100 + number), &format!("i-{number}"), "agenda", &behavior, &store, record)
    };
    let runners: Vec<Runner> = (0..RUNNERS).map(start).collect();
    let daemons = site.start(DAEMONS, &store, record)?;
    thread::sleep(CONTACT);
    Ok(Case { daemons, runners, behavior, store, _site: site })
}

impl Case {
    /// Sends some requests through all daemons at once; the runner that leaves exits soon after. Returns the lost ones.
    fn send_before_exit(&self, leaver: &Runner, acknowledged: Instant, times: &Times, record: &Record) -> usize {
        let wait_until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
        wait_until(acknowledged + DRAIN + times.requests);
        thread::scope(|scope| {
            let answers: Vec<_> = (0..REQUESTS)
                .map(|number| {
                    let front = self.daemons[number % DAEMONS].front;
                    let request = Request {
                        method: "POST",
                        path: "/book/slot".to_owned(),
                        id: format!("book-{number}"),
                        body: format!("{{\"unload\":{number}}}"),
                        deadline_ms: 1_500,
                        ..Request::default()
                    };
                    scope.spawn(move || send(front, &request, record))
                })
                .collect();
            wait_until(acknowledged + DRAIN + times.exit);
            leaver.end();
            let statuses = answers.into_iter().map(|answer| answer.join().expect("no caller panics"));
            statuses.filter(|status| *status != 200).count()
        })
    }

    fn finding(&self, leaver: &Runner, acknowledged: Instant, lost: usize) -> Finding {
        let late = self.behavior.arrivals_of(|arrival| {
            arrival.runner == leaver.name() && arrival.id.starts_with("book-") && arrival.at > acknowledged + DRAIN
        });
        let times: Vec<String> =
            late.iter().map(|arrival| (arrival.at - acknowledged).as_millis().to_string()).collect();
        Finding {
            is_broken: !late.is_empty(),
            reason: format!(
                "{} requests reached {} later than {} ms after the store had acknowledged that it leaves (after {} ms); \
                 {lost} bookings were lost",
                late.len(),
                leaver.name(),
                DRAIN.as_millis(),
                if times.is_empty() { "-".to_owned() } else { times.join(", ") }
            ),
        }
    }
}

/// All connections to the store that are open go silent; later the runner reports that it drains.
pub fn play_silence(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let case = prepare(root, record)?;
    if has_trouble {
        record.note("the connections to the store that are open go silent; new ones work");
        case.store.silence();
    }
    // The silence counts as a reset of all machines' connections: they are in touch again after the contact time.
    thread::sleep(CONTACT + Duration::from_millis(1_000));
    let leaver = &case.runners[0];
    let acknowledged = leaver.drain();
    let lost = case.send_before_exit(leaver, acknowledged, &AFTER_REPORT, record);
    Ok(case.finding(leaver, acknowledged, lost))
}

/// The store cuts watches that wait; the entry of a runner that does not report that it drains is removed.
pub fn play_cuts(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let case = prepare(root, record)?;
    if has_trouble {
        record.note(format!("the store cuts watches that have waited for {} ms", WATCH_CUT.as_millis()));
        case.store.cut_watches(WATCH_CUT);
    }
    thread::sleep(CONTACT + Duration::from_millis(1_000));
    let leaver = &case.runners[0];
    let acknowledged = leaver.withdraw();
    let lost = case.send_before_exit(leaver, acknowledged, &AFTER_REMOVAL, record);
    Ok(case.finding(leaver, acknowledged, lost))
}
