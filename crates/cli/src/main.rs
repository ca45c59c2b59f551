//! The operators' and newcomers' command line.

mod admin_client;
mod cli;
mod commands;
mod config;
mod difference;
mod exit_code;
mod output;

use clap::Parser;

use crate::exit_code::ExitCode;

fn main() -> std::process::ExitCode {
    let arguments = cli::Arguments::parse();
    match commands::run(arguments) {
        Ok(code) => code.into(),
        Err(report) => {
            let code = ExitCode::of(report.current_context());
            eprintln!("teaselcroft: {report:?}");
            code.into()
        }
    }
}
