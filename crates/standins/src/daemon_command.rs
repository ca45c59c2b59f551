//! The hidden subcommand by which a player starts daemons from its own executable.

use std::path::PathBuf;

use clap::Subcommand;
use teaselcroft_parts::ExitCode;
use teaselcroft_router::run_daemon;

/// What a player runs instead of playing.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Runs one daemon; the player starts itself this way.
    #[command(hide = true)]
    Daemon {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
    },
}

impl DaemonCommand {
    /// Runs the daemon until it is told to stop.
    ///
    /// # Errors
    ///
    /// Says why the daemon could not run.
    pub fn run(&self) -> Result<ExitCode, String> {
        let DaemonCommand::Daemon { config } = self;
        run_daemon(config, false).map_err(|report| format!("{report:?}"))
    }
}
