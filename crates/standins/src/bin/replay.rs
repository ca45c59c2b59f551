//! Replays a trace against real daemon processes and reports the results.

use std::path::{Path, PathBuf};

use clap::Parser;
use teaselcroft_parts::ExitCode;
use teaselcroft_standins::{DaemonCommand, ProcessFleet, Report, Runtime, Trace, render, replay};

/// Replays a trace against real daemon processes and reports the results.
#[derive(Debug, Parser)]
#[command(name = "replay", version, args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<DaemonCommand>,

    /// The trace, in JSON Lines.
    #[arg(required = true)]
    trace: Option<PathBuf>,

    /// Where to write the report.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,

    /// Folder for the settings and logs of the daemons; a temporary one if absent.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

fn main() -> std::process::ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command {
        Some(daemon) => daemon.run(),
        None => replay_file(&arguments.trace.unwrap_or_default(), arguments.report.as_deref(), arguments.keep),
    };
    result.unwrap_or_else(|reason| fail(&reason)).into()
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("replay: {reason}");
    ExitCode::BadInput
}

fn replay_file(path: &Path, report_path: Option<&Path>, keep: Option<PathBuf>) -> Result<ExitCode, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let trace = Trace::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let temporary = tempfile::tempdir().map_err(|error| error.to_string())?;
    let folder = keep.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let runtime = Runtime::start().map_err(|error| error.to_string())?;
    let fleet = ProcessFleet::new(folder);
    let run = smol::block_on(replay(runtime.executor(), trace, fleet, |text| println!("{text}")));
    let run = run.map_err(|error| error.to_string())?;
    let report = Report::of(&run);
    println!("{}", render(&report, |class| run.rules.get(class).map_or(0, |rule| rule.target.0)));
    for reason in report.reasons.iter().take(20) {
        println!("violated: {reason}");
    }
    if let Some(report_path) = report_path {
        let json = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        std::fs::write(report_path, json).map_err(|error| format!("{}: {error}", report_path.display()))?;
    }
    Ok(if report.all_promises_kept() { ExitCode::Success } else { ExitCode::Failure })
}
