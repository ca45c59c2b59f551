//! The connection options of a command that talks to daemons.

use crate::cli::Options;
use crate::command_error::CommandError;

/// The validated options of a command that talks to daemons.
#[derive(Debug, Clone)]
pub struct Config {
    /// The daemons' addresses as `host:port`, in the order in which they are tried.
    pub daemons: Vec<String>,
    /// The operators' key, sent as bearer token.
    pub key: String,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

impl Config {
    /// Checks that daemons and key are given, by option or environment variable.
    ///
    /// # Errors
    ///
    /// No daemon or no key is given.
    pub fn resolve(options: &Options) -> Result<Config, CommandError> {
        if options.daemons.is_empty() {
            return Err(CommandError::Input("no daemon is given; set --daemons or TEASELCROFT_DAEMONS".to_owned()));
        }
        let Some(key) = options.key.clone() else {
            return Err(CommandError::Input("no operators' key is given; set --key or TEASELCROFT_KEY".to_owned()));
        };
        Ok(Config { daemons: options.daemons.clone(), key, json: options.json })
    }
}
