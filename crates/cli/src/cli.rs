//! The arguments of the command line; doc comments are the `--help` texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use teaselcroft_parts::TeamName;
use teaselcroft_standins::Site;

/// Routes language-model traffic with service levels and priorities.
#[derive(Debug, Parser)]
#[command(name = "teaselcroft", version, propagate_version = true)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,

    /// Options for every command.
    #[command(flatten)]
    pub options: Options,
}

/// Options for every command.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Daemons to connect to, as HOST:PORT; the first that answers is used.
    #[arg(long, global = true, value_delimiter = ',', env = "TEASELCROFT_DAEMONS", value_name = "ADDRESS")]
    pub daemons: Vec<String>,

    /// The operators' key.
    #[arg(long, global = true, env = "TEASELCROFT_KEY", hide_env_values = true, value_name = "KEY")]
    pub key: Option<String>,

    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Create, list and show teams.
    #[command(subcommand)]
    Team(TeamCommand),

    /// Write, check and apply questionnaires.
    #[command(subcommand)]
    Questionnaire(QuestionnaireCommand),

    /// Show daemons, runners and the configuration in force at each.
    Status,

    /// Show the scheduling decisions about a request and their grounds.
    Explain {
        /// The request's id.
        request: String,
    },

    /// Run half a minute of the load at the start of a term, with daemons and a simulated platform in this process.
    Demo {
        /// The sample site: reservoir or library.
        #[arg(long, default_value = "reservoir")]
        site: Site,

        /// Run the load trace in this file instead of the site's.
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,

        /// Where to write the report, in JSON.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,

        /// Write the trace to this file instead of running it.
        #[arg(long, value_name = "FILE")]
        write_trace: Option<PathBuf>,
    },

    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What to do with teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Create a team from its first questionnaire.
    Create {
        /// The questionnaire, in YAML.
        file: PathBuf,
    },
    /// List the teams and the revision in force.
    List,
    /// Show a team's questionnaire and generated configuration.
    Show {
        /// The team.
        team: TeamName,
    },
    /// List a team's revisions.
    History {
        /// The team.
        team: TeamName,
    },
}

/// What to do with questionnaires.
#[derive(Debug, Subcommand)]
pub enum QuestionnaireCommand {
    /// Print a questionnaire to fill in.
    Template {
        /// The team.
        team: TeamName,
    },
    /// Check a questionnaire and show the configuration that it generates.
    Check {
        /// The questionnaire, in YAML.
        file: PathBuf,
    },
    /// Put a questionnaire in force.
    Apply {
        /// The questionnaire, in YAML.
        file: PathBuf,

        /// The revision in force that the questionnaire is based on.
        #[arg(long, value_name = "REVISION")]
        base: u64,
    },
}
