//! How a command ended.

use std::fmt;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything went well.
    Success,
    /// A promise was violated, or a daemon refused.
    Failure,
    /// The input cannot be used.
    BadInput,
    /// Another revision is in force.
    Conflict,
    /// No daemon answered, or nobody knows whether the change was accepted.
    Unknown,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> std::process::ExitCode {
        std::process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::BadInput => 2,
            ExitCode::Conflict => 3,
            ExitCode::Unknown => 4,
        })
    }
}

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

impl ExitCode {
    /// The exit code for an error.
    pub const fn of(error: &CommandError) -> ExitCode {
        match error {
            CommandError::Input(_) => ExitCode::BadInput,
            CommandError::Unreachable(_) => ExitCode::Unknown,
            CommandError::Refused(_) => ExitCode::Failure,
            CommandError::Conflict(_) => ExitCode::Conflict,
        }
    }
}
