//! Case: an entry of a runner that has left is written over with a service that no configuration names, and then removed.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller::KeptConnection;
use crate::cell::{CannotRun, Cell, configuration, route};
use crate::runner::{Behavior, plain};

const TIMEOUT_MS: u32 = 3_000;

/// How long a caller waits for an answer: past its route's timeout.
const WAIT: Duration = Duration::from_millis(3_600);

/// How long runners work on the judged requests, at most as on the sheet and longer than the route's target latency, and on
/// those before.
const LONG_WORK: Duration = Duration::from_millis(450);
const SHORT_WORK: Duration = Duration::from_millis(60);

/// Requests that each daemon gets at once, and the rounds and the time between them.
const REQUESTS: usize = 4;
const ROUNDS: usize = 16;
const PAUSE: Duration = Duration::from_millis(100);

/// The most requests that may be passed on and lost with their connection.
const MAX_LOST: usize = 3;

/// Returns whether the rule held.
pub fn run(cell: &Cell, is_troubled: bool) -> Result<bool, CannotRun> {
    let routes = [route("/look/", "safe", 2, TIMEOUT_MS, "mostrador", "")];
    cell.store.put("op/config", &configuration(7, &routes, &["mostrador"]));
    let behavior: Behavior = Arc::new(|runner, request, stream| {
        let work = if request.path().ends_with("slots") { LONG_WORK } else { SHORT_WORK };
        plain(work)(runner, request, stream)
    });
    let runners =
        (0..4).map(|number| cell.start_runner(number, "mostrador", behavior.clone())).collect::<Result<Vec<_>, _>>()?;
    let daemons = [cell.start_daemon(1, 110)?, cell.start_daemon(2, 110)?];
    for daemon in &daemons {
        cell.wait_until_serving(daemon, "/look/warm")?;
    }

    let mut kept = Vec::new();
    for number in 0..ROUNDS * REQUESTS {
        for daemon in &daemons {
            let mut connection = KeptConnection::open(cell, daemon)?;
            connection.warm_up = Some(thread::spawn({
                let stream = connection.stream.try_clone()?;
                let record = cell.record.clone();
                move || crate::caller::exchange(&record, stream, "GET", "/look/first", &format!("first-{number}"), WAIT)
            }));
            kept.push(connection);
        }
        thread::sleep(Duration::from_millis(40));
    }
    for connection in &mut kept {
        connection.finish_warm_up();
    }

    // A planned leave: the runner reports it, serves on for the drain time and more, and exits; its entry is removed.
    let leaving = &runners[3];
    leaving.drain();
    thread::sleep(Duration::from_millis(3_000));
    leaving.exit();
    thread::sleep(Duration::from_millis(600));
    if is_troubled {
        cell.store.put(&leaving.key(), &leaving.entry("kiosco-9"));
        cell.record.note("another writer: the entry of i-3 names the service kiosco-9, which no configuration names");
    }
    thread::sleep(Duration::from_millis(1_500));
    cell.store.remove(&leaving.key());
    cell.record.note("the entry of i-3 is removed");
    thread::sleep(Duration::from_millis(900));

    let mut callers = Vec::new();
    for (round, connections) in kept.chunks(REQUESTS * daemons.len()).enumerate() {
        for (number, connection) in connections.iter().enumerate() {
            let (record, stream): (_, TcpStream) = (cell.record.clone(), connection.stream.try_clone()?);
            let id = format!("r-{round}-{number}-{}", connection.daemon);
            callers.push(thread::spawn(move || {
                let answer = crate::caller::exchange(&record, stream, "GET", "/look/slots", &id, WAIT);
                (id, answer.status)
            }));
        }
        thread::sleep(PAUSE);
    }
    let mut unanswered = Vec::new();
    for caller in callers {
        let (id, status) = caller.join().map_err(|_| CannotRun("a caller failed".to_owned()))?;
        if status == 0 {
            unanswered.push(id);
        }
    }
    let runs = cell.runs();
    let lost = unanswered.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    let later = daemons
        .iter()
        .map(|daemon| cell.fetch(daemon, "GET", "/look/later", &format!("later-{}", daemon.name), "", 3_600).0);
    let later = later.filter(|answer| answer.status == 0).count();
    for daemon in &daemons {
        let log = cell.log_of(daemon);
        let panics = log.lines().filter(|line| line.contains("panicked at"));
        let count = panics.clone().count();
        panics.take(1).for_each(|line| cell.record.note(format!("{} wrote {count} such lines: {line}", daemon.name)));
        cell.record.note(format!("{} says that it is ready: {}", daemon.name, daemon.is_ready()));
    }
    cell.record.note(format!(
        "{} of {} requests on kept connections ended without an answer; {lost} of them had been passed on to a sound runner, \
         {MAX_LOST} may; {later} of {} later ones had no answer either",
        unanswered.len(),
        kept.len(),
        daemons.len()
    ));
    Ok(lost <= MAX_LOST)
}
