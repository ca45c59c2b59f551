//! The daemon's command line.

use std::path::PathBuf;

use clap::Parser;

/// Routes language-model traffic with service levels and priorities.
#[derive(Debug, Parser)]
#[command(name = "teaselcroftd", version)]
pub struct Arguments {
    /// The settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,

    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
