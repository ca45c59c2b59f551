//! The subcommands; each module implements one.

mod demo;
mod explain;
mod questionnaire;
mod status;
mod team;

use clap::CommandFactory;
use error_stack::Report;

use crate::cli::{Arguments, Command};
use crate::command_error::CommandError;
use crate::config::Config;
use teaselcroft_parts::ExitCode;

/// Runs the subcommand in `arguments` and returns the exit code.
///
/// # Errors
///
/// The command failed; the error determines the exit code.
pub fn run(arguments: Arguments) -> Result<ExitCode, Report<CommandError>> {
    let options = &arguments.options;
    let result = match arguments.command {
        Command::Team(command) => Config::resolve(options).and_then(|config| team::run(config, command)),
        Command::Questionnaire(command) => questionnaire::run(options, command),
        Command::Status => Config::resolve(options).and_then(status::run),
        Command::Explain { request } => Config::resolve(options).and_then(|config| explain::run(config, &request)),
        Command::Demo { site, trace, report, write_trace } => {
            demo::run(site, trace.as_deref(), report.as_deref(), write_trace.as_deref(), options.json)
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "teaselcroft", &mut std::io::stdout());
            Ok(ExitCode::Success)
        }
    };
    Ok(result?)
}
