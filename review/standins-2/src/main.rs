//! Plays one case of the second review against the project's daemons, and writes its record.
//!
//! `review-2 CASE ROOT RECORD`: ROOT is the repository, RECORD the file to write. Exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod dark_starts;
mod error_answers;
mod fleet;
mod http;
mod json;
mod paused_stream;
mod quiet_leave;
mod record;
mod restart;
mod runner;
mod slow_reader;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case found: whether the rule was broken, and a line that says why.
pub struct Finding {
    pub is_broken: bool,
    pub reason: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, path] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (record, root) = (Record::new(), PathBuf::from(root));
    let finding = match case.as_str() {
        "error-answers" => error_answers::play(root, &record, has_trouble),
        "paused-stream" => paused_stream::play(root, &record, has_trouble),
        "slow-reader" => slow_reader::play(root, &record, has_trouble),
        "dark-starts" => dark_starts::play(root, &record, has_trouble),
        "restart" => restart::play(root, &record, has_trouble),
        "silent-watch" => quiet_leave::play_silence(root, &record, has_trouble),
        "cut-watch" => quiet_leave::play_cuts(root, &record, has_trouble),
        _ => Err("there is no such case".to_owned()),
    };
    let (code, verdict) = match finding {
        Ok(Finding { is_broken: true, reason }) => (1, format!("the rule is broken: {reason}")),
        Ok(Finding { is_broken: false, reason }) => (0, format!("the rule holds: {reason}")),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    println!("{verdict}");
    let text =
        format!("case {case}, disruption: {}\n{}{verdict}\n", if has_trouble { "on" } else { "off" }, record.text());
    if let Err(error) = std::fs::write(path, text) {
        eprintln!("the record cannot be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
