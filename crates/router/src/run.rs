//! Runs a daemon from its settings file until a signal asks it to stop.

use std::fmt;
use std::path::Path;

use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use teaselcroft_parts::{ExitCode, Millis};

use crate::{Daemon, HttpPlatform, Settings, start_logging};

/// Why a daemon could not run.
#[derive(Debug)]
pub enum RunError {
    /// The settings file is unreadable, malformed or has a value out of range.
    Settings,
    /// Logging, a signal handler or a listener could not be set up.
    Start,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunError::Settings => "the settings cannot be used; correct the named key",
            RunError::Start => "the daemon cannot start; check that its addresses are free",
        })
    }
}

impl std::error::Error for RunError {}

/// Runs a daemon with the settings at `path` until SIGTERM or SIGINT; with `check`, only validates
/// the settings.
///
/// # Errors
///
/// The settings are invalid, or logging, the signal handler or the daemon cannot start.
pub fn run_daemon(path: &Path, check: bool) -> Result<ExitCode, Report<RunError>> {
    let settings = Settings::load(path).change_context(RunError::Settings)?;
    if check {
        println!("{}: settings are valid", path.display());
        return Ok(ExitCode::Success);
    }
    let logger = start_logging("info").change_context(RunError::Start)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context(RunError::Start)?;
    let timeout = Millis(settings.limits.store_ms);
    let platform = HttpPlatform::new(settings.store, settings.vm_list, timeout);
    let daemon = Daemon::start(settings, platform).change_context(RunError::Start)?;
    signals.forever().next();
    smol::block_on(daemon.stop());
    logger.flush();
    Ok(ExitCode::Success)
}
