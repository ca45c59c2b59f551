//! How a daemon's program ended.

/// How a daemon's program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything went well.
    Success,
    /// It could not run, or did not do what was asked.
    Failure,
    /// The input cannot be used.
    BadInput,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> std::process::ExitCode {
        std::process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::BadInput => 2,
        })
    }
}
