//! The error of a command, by exit code.

use std::fmt;

use teaselcroft_parts::ExitCode;

/// The failure of a command, with a message for the terminal.
#[derive(Debug)]
pub enum CommandError {
    /// An option or input file is invalid.
    Input(String),
    /// No daemon answered conclusively; a change may or may not have taken effect.
    Unreachable(String),
    /// A daemon rejected the request, or its response is invalid.
    Refused(String),
    /// The team's revision in force is not the one that the change was based on.
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
    /// The exit code of the process for this error.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Input(_) => ExitCode::BadInput,
            CommandError::Unreachable(_) => ExitCode::Unknown,
            CommandError::Refused(_) => ExitCode::Failure,
            CommandError::Conflict(_) => ExitCode::Conflict,
        }
    }
}
