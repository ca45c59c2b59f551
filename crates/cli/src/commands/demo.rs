//! Runs a load trace, by default the start of a term, with daemons and a simulated platform in this
//! process.

use std::path::Path;

use teaselcroft_standins::{Report, Runtime, Site, ThreadFleet, Trace, demo_trace, render, replay};

use crate::command_error::CommandError;
use crate::output::print_json;
use teaselcroft_parts::ExitCode;

/// The maximum number of violations that are printed.
const MAX_SHOWN_VIOLATIONS: usize = 20;

fn input_error(reason: impl ToString) -> CommandError {
    CommandError::Input(reason.to_string())
}

/// Runs the trace in `path`, or the demo trace of `site`, and prints a report.
///
/// With `write_path` the trace is only written there. Exits with failure if the report shows
/// violations.
///
/// # Errors
///
/// The trace cannot be read, written or run, or the report cannot be written.
pub fn run(
    site: Site,
    path: Option<&Path>,
    report_path: Option<&Path>,
    write_path: Option<&Path>,
    json: bool,
) -> Result<ExitCode, CommandError> {
    let trace = match path {
        Some(path) => read_trace(path)?,
        None => demo_trace(site),
    };
    if let Some(write_path) = write_path {
        let text = trace.to_text().map_err(input_error)?;
        std::fs::write(write_path, text).map_err(input_error)?;
        return Ok(ExitCode::Success);
    }
    let runtime = Runtime::start().map_err(input_error)?;
    let fleet = ThreadFleet::new(runtime.executor());
    let progress = |text: &str| {
        if !json {
            println!("{text}");
        }
    };
    let played = smol::block_on(replay(runtime.executor(), trace, fleet, progress)).map_err(input_error)?;
    let report = Report::of(&played);
    if json {
        print_json(&report);
    } else {
        println!("{}", render(&report, |class| played.rules.get(class).map_or(0, |rule| rule.target.0)));
        for reason in report.reasons.iter().take(MAX_SHOWN_VIOLATIONS) {
            println!("violated: {reason}");
        }
    }
    if let Some(report_path) = report_path {
        let text = serde_json::to_string_pretty(&report).map_err(input_error)?;
        std::fs::write(report_path, text).map_err(input_error)?;
    }
    Ok(if report.all_promises_kept() { ExitCode::Success } else { ExitCode::Failure })
}

fn read_trace(path: &Path) -> Result<Trace, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| input_error(format!("{}: {error}", path.display())))?;
    Trace::parse(&text).map_err(|error| input_error(format!("{}: {error}", path.display())))
}
