//! How a program ended.

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything went well.
    Success,
    /// It could not run, a promise was violated, or a daemon refused.
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
