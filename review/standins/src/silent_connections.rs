//! Case: open connections to the store go silent, without a reset, and the configuration changes afterwards.

use std::thread;
use std::time::Duration;

use crate::cell::{CannotRun, Cell, configuration, route};
use crate::runner::plain;

/// The users' `contact_ms` and `config_apply_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Requests to each daemon on the dropped route, and the time between them.
const REQUESTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(500);

/// Returns whether the rule held.
pub fn run(cell: &Cell, is_troubled: bool) -> Result<bool, CannotRun> {
    let kept = route("/look/", "safe", 2, 3_000, "mostrador", "");
    let dropped = route("/book/", "unsafe", 1, 3_000, "mostrador", "");
    cell.store.put("op/config", &configuration(7, &[kept.clone(), dropped], &["mostrador"]));
    for number in 0..4 {
        cell.start_runner(number, "mostrador", plain(Duration::from_millis(60)))?;
    }
    let daemons = [cell.start_daemon(1, 110)?, cell.start_daemon(2, 110)?];
    for daemon in &daemons {
        cell.wait_until_serving(daemon, "/look/warm")?;
    }
    thread::sleep(Duration::from_millis(5_000));

    if is_troubled {
        cell.store.silence_connections();
        cell.record.note("all open connections to the store go silent, without a reset; new ones work");
    }
    // Machines are in touch again by then.
    thread::sleep(CONTACT + Duration::from_millis(1_000));
    cell.store.put("op/config", &configuration(12, &[kept], &["mostrador"]));
    cell.record.note("the store acknowledges version 12, which drops the route /book/");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
    let mut stale = 0;
    for number in 0..REQUESTS {
        for daemon in &daemons {
            let id = format!("r-{}-{number}", daemon.name);
            let (answer, _) = cell.fetch(daemon, "POST", "/book/slot", &id, "{}", 3_600);
            let has_run = cell.runs().iter().any(|run| run.id == id);
            stale += usize::from(has_run);
            cell.record.note(format!("{id} was answered {} and has run: {has_run}", answer.status));
        }
        thread::sleep(PAUSE);
    }
    cell.record.note(format!(
        "{stale} of {} requests ran on a route that was dropped more than config_apply_ms before they were sent",
        REQUESTS * daemons.len()
    ));
    Ok(stale == 0)
}
