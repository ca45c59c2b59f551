//! The hidden subcommand with which the replay and load programs start daemons from their own executable.

use std::path::PathBuf;

use clap::Subcommand;
use teaselcroft_parts::ExitCode;
use teaselcroft_router::run_daemon;

/// The subcommand that runs a daemon instead of the program itself.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Runs one daemon; the program starts itself this way.
    #[command(hide = true)]
    Daemon {
        /// The settings file of the daemon.
        #[arg(long)]
        config: PathBuf,
    },
}

impl DaemonCommand {
    /// Runs the daemon until it is told to stop.
    ///
    /// # Errors
    ///
    /// The daemon cannot run; the text gives the reason.
    pub fn run(&self) -> Result<ExitCode, String> {
        let DaemonCommand::Daemon { config } = self;
        run_daemon(config, false).map_err(|report| format!("{report:?}"))
    }
}
