//! Command-line entry point of the entry daemon, `teaselcroftd`.

mod cli;

use clap::Parser;
use teaselcroft_parts::ExitCode;
use teaselcroft_router::run_daemon;

fn main() -> std::process::ExitCode {
    let arguments = cli::Arguments::parse();
    match run_daemon(&arguments.config, arguments.check) {
        Ok(code) => code.into(),
        Err(report) => {
            eprintln!("teaselcroftd: {report:?}");
            ExitCode::BadInput.into()
        }
    }
}
