//! Why a command was not carried out.

use std::fmt;

use teaselcroft_parts::ExitCode;

/// Why a command was not carried out.
#[derive(Debug)]
pub enum CommandError {
    /// The input cannot be used.
    Input(String),
    /// No daemon answered.
    Unreachable(String),
    /// A daemon refused.
    Refused(String),
    /// Another revision is in force.
    Conflict(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (CommandError::Input(reason)
        | CommandError::Unreachable(reason)
        | CommandError::Refused(reason)
        | CommandError::Conflict(reason)) = self;
        f.write_str(reason)
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// The exit code that fits.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Input(_) => ExitCode::BadInput,
            CommandError::Unreachable(_) => ExitCode::Unknown,
            CommandError::Refused(_) => ExitCode::Failure,
            CommandError::Conflict(_) => ExitCode::Conflict,
        }
    }
}
