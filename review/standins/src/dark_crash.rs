//! Case: a request that comes again and again crashes each runner that begins to run it, and the runners go dark.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::{CannotRun, Cell, configuration, fetch_from, route};
use crate::runner::{Behavior, plain};

/// The body of the request that crashes runners.
const CRASHING_BODY: &str = "{\"slot\":\"crash\"}";

/// How long a runner that crashed is away.
const DOWN: Duration = Duration::from_millis(3_400);

/// The users' `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The most retries of the request that may reach runners later than `CONTACT` after its third crash.
const MAX_LATE: usize = 3;

/// How often the request comes, and the time between.
const REQUESTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(3_600);

fn behavior(is_troubled: bool) -> Behavior {
    // CLOSED=1 closes the connections of a runner that crashed, for comparison.
    let is_closed = std::env::var("CLOSED").is_ok_and(|value| value == "1");
    Arc::new(move |runner, request, stream| {
        if !is_troubled || request.body != CRASHING_BODY.as_bytes() {
            return plain(Duration::from_millis(60))(runner, request, stream);
        }
        runner.note_run(request);
        thread::sleep(Duration::from_millis(20));
        if is_closed {
            runner.crash(DOWN);
        } else {
            runner.go_dark(DOWN);
        }
        false
    })
}

/// Returns whether the rule held.
pub fn run(cell: &Cell, is_troubled: bool) -> Result<bool, CannotRun> {
    let routes =
        [route("/look/", "safe", 2, 3_000, "mostrador", ""), route("/book/", "unsafe", 1, 3_000, "mostrador", "")];
    cell.store.put("op/config", &configuration(7, &routes, &["mostrador"]));
    for number in 0..4 {
        cell.start_runner(number, "mostrador", behavior(is_troubled))?;
    }
    let daemons = [cell.start_daemon(1, 110)?, cell.start_daemon(2, 110)?];
    for daemon in &daemons {
        cell.wait_until_serving(daemon, "/look/warm")?;
    }
    thread::sleep(Duration::from_millis(3_500));
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let daemon = &daemons[number % daemons.len()];
        let (record, name, front) = (cell.record.clone(), daemon.name.clone(), daemon.front);
        callers.push(thread::spawn(move || {
            fetch_from(&record, (&name, front), "POST", "/book/slot", &format!("r-{number}"), CRASHING_BODY, 3_600);
        }));
        thread::sleep(PAUSE);
    }
    for caller in callers {
        caller.join().map_err(|_| CannotRun("a caller failed".to_owned()))?;
    }
    // Each run of the request is a crash.
    let runs: Vec<Duration> = cell.runs().iter().filter(|run| run.id.starts_with("r-")).map(|run| run.at).collect();
    let late = match runs.get(2) {
        Some(third) if is_troubled => runs.iter().filter(|at| **at > *third + CONTACT).count(),
        _ => 0,
    };
    cell.record.note(format!(
        "the request reached runners {} times, {late} of them later than contact_ms after the third crash; {MAX_LATE} may",
        runs.len()
    ));
    Ok(late <= MAX_LATE)
}
