//! The exit codes of all programs.

/// The result of a program as its exit code, from 0 to 4 in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The program did what it was asked.
    Success,
    /// The program could not run, a checked promise was violated, or a daemon refused the request.
    Failure,
    /// The arguments or input files are invalid.
    BadInput,
    /// The change is based on a revision that is no longer in force.
    Conflict,
    /// No daemon answered, or it is unknown whether the change was accepted.
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
