//! Plays one case against the entry daemon: `review-case NAME FOLDER PROGRAM`. Exits with 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod caller;
mod cell;
mod crashing_part;
mod dark_crash;
mod http;
mod missing_field;
mod odd_service;
mod record;
mod runner;
mod silent_connections;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cell::{CannotRun, Cell};
use record::Record;

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn play(arguments: &[String]) -> Result<bool, CannotRun> {
    let [_, name, folder, program] = arguments else {
        return Err(CannotRun("usage: review-case NAME FOLDER PROGRAM".to_owned()));
    };
    cell::watch_time(TIME_LIMIT);
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"))?;
    record.note(format!("case {name}, with the disruption: {is_troubled}"));
    let cell = Cell::create(record, Path::new(program))?;
    let held = match name.as_str() {
        "crashing-part" => crashing_part::run(&cell, is_troubled)?,
        "silent-connections" => silent_connections::run(&cell, is_troubled)?,
        "dark-crash" => dark_crash::run(&cell, is_troubled)?,
        "odd-service" => odd_service::run(&cell, is_troubled)?,
        "missing-field" => missing_field::run(&cell, is_troubled)?,
        _ => return Err(CannotRun(format!("unknown case {name}"))),
    };
    cell.record.note(if held { "the rule held" } else { "the rule was broken" });
    Ok(held)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    match play(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(CannotRun(reason)) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
