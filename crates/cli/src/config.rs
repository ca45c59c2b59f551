//! What every command needs, resolved once from the command line.

use crate::cli::Options;
use crate::command_error::CommandError;

/// What every command needs.
#[derive(Debug, Clone)]
pub struct Config {
    /// The daemons to ask, in order.
    pub daemons: Vec<String>,
    /// The operators' key.
    pub key: String,
    /// Whether to print JSON.
    pub json: bool,
}

impl Config {
    /// Resolves the options of a command that talks to daemons.
    ///
    /// # Errors
    ///
    /// No daemon or no key is named.
    pub fn resolve(options: &Options) -> Result<Config, CommandError> {
        if options.daemons.is_empty() {
            return Err(CommandError::Input("name a daemon with --daemons or TEASELCROFT_DAEMONS".to_owned()));
        }
        let Some(key) = options.key.clone() else {
            return Err(CommandError::Input("give the operators' key with --key or TEASELCROFT_KEY".to_owned()));
        };
        Ok(Config { daemons: options.daemons.clone(), key, json: options.json })
    }
}
