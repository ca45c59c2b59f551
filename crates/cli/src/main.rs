//! The `teaselcroft` command line: operators' commands, and a demo that runs locally.

mod admin_client;
mod cli;
mod command_error;
mod commands;
mod config;
mod difference;
mod output;

use clap::Parser;

fn main() -> std::process::ExitCode {
    let arguments = cli::Arguments::parse();
    match commands::run(arguments) {
        Ok(code) => code.into(),
        Err(report) => {
            let code = report.current_context().exit_code();
            eprintln!("teaselcroft: {report:?}");
            code.into()
        }
    }
}
