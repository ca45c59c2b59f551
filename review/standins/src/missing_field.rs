//! Case: while a runner leaves, another writer leaves an entry for it that lacks a field.

use std::thread;
use std::time::Duration;

use crate::cell::{CannotRun, Cell, configuration, fetch_from, route};
use crate::runner::plain;

const TIMEOUT_MS: u32 = 3_000;

/// The users' `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long the runner has served on when the disruption comes.
const SERVED_ON: Duration = Duration::from_millis(3_000);

/// How long it serves after that.
const LAST: Duration = Duration::from_millis(450);

/// The time between requests to each daemon.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns whether the rule held.
pub fn run(cell: &Cell, is_troubled: bool) -> Result<bool, CannotRun> {
    let routes = [
        route("/look/", "safe", 2, TIMEOUT_MS, "mostrador", ""),
        route("/book/", "unsafe", 1, TIMEOUT_MS, "mostrador", ""),
    ];
    cell.store.put("op/config", &configuration(7, &routes, &["mostrador"]));
    let work = Duration::from_millis(300);
    let runners =
        (0..4).map(|number| cell.start_runner(number, "mostrador", plain(work))).collect::<Result<Vec<_>, _>>()?;
    let daemons = [cell.start_daemon(1, 110)?, cell.start_daemon(2, 110)?];
    for daemon in &daemons {
        cell.wait_until_serving(daemon, "/look/warm")?;
    }
    thread::sleep(Duration::from_millis(3_500));

    let leaving = &runners[3];
    leaving.drain();
    let acknowledged = cell.record.now();
    let elapsed = || cell.record.now() - acknowledged;
    let (mut callers, mut number, mut written_at) = (Vec::new(), 0, None);
    // The runner exits within a heartbeat of the disruption.
    while written_at.is_none_or(|at| elapsed() < at + LAST) {
        // Just after the runner's own write, so that its next one is a heartbeat away.
        let is_due = elapsed() >= SERVED_ON && leaving.since_write() < Duration::from_millis(100);
        if is_due && written_at.is_none() {
            written_at = Some(elapsed());
            let entry = leaving.entry("mostrador").replace("draining", "ready");
            let (start, _) = entry.split_once(",\"born\"").unwrap_or((&entry, ""));
            if is_troubled {
                cell.store.put(&leaving.key(), &format!("{start}}}"));
                cell.record.note("another writer: an entry of i-3 without the field `born`");
            }
        }
        for daemon in &daemons {
            let (record, name, front, sent) =
                (cell.record.clone(), daemon.name.clone(), daemon.front, cell.record.now());
            let id = format!("r-{name}-{number}");
            callers.push(thread::spawn(move || {
                let (answer, _) = fetch_from(&record, (&name, front), "POST", "/book/slot", &id, "{}", 3_600);
                (id, sent, answer.status)
            }));
        }
        number += 1;
        thread::sleep(PAUSE);
    }
    leaving.exit();
    // Requests in flight end.
    thread::sleep(Duration::from_millis(1_500));
    let (mut late, mut lost) = (0, 0);
    let runs = cell.runs();
    for caller in callers {
        let (id, sent, status) = caller.join().map_err(|_| CannotRun("a caller failed".to_owned()))?;
        let is_late = |at: Duration| at > acknowledged + DRAIN;
        if is_late(sent) && runs.iter().any(|run| run.id == id && run.runner == leaving.name && is_late(run.at)) {
            late += 1;
            lost += usize::from(status != 200);
            cell.record.note(format!(
                "{id} reached i-3 later than drain_ms after it had reported draining; answered {status}"
            ));
        }
    }
    cell.record.note(format!(
        "{late} of {} requests reached i-3 too late; {lost} of these were lost as it exited",
        number * daemons.len()
    ));
    Ok(late == 0)
}
