//! Runs a gateway daemon until SIGTERM or SIGINT stops it.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use teaselcroft_parts::ExitCode;

use crate::control_api::ControlApi;
use crate::dialect::Dialect;
use crate::log_setup::start_logging;
use crate::store::Store;
use crate::{Event, GatewayDaemon, Settings, log_event};

/// Why a gateway daemon could not be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunError {
    /// The settings file cannot be read or is invalid.
    Settings,
    /// An address cannot be bound.
    Address(SocketAddr),
    /// Logging, a signal handler or a thread could not be set up.
    Start,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Settings => f.write_str("the settings cannot be used; correct the named key"),
            RunError::Address(address) => {
                write!(f, "cannot listen at {address}; check that it is free and belongs to this VM")
            }
            RunError::Start => f.write_str("the daemon cannot start; check its limits on threads and files"),
        }
    }
}

impl std::error::Error for RunError {}

impl RunError {
    /// The process exit code for this error.
    pub const fn exit_code(self) -> ExitCode {
        match self {
            RunError::Settings => ExitCode::BadInput,
            RunError::Address(_) | RunError::Start => ExitCode::Failure,
        }
    }
}

/// Runs a daemon with the settings at `path` until a signal stops it, or only checks the settings. `adapters` makes the
/// platform's dialect and store, and a client of its control API if the settings name one.
///
/// # Errors
///
/// The settings are invalid, or the daemon cannot be started.
pub fn run_gateway<D: Dialect, S: Store, C: ControlApi>(
    path: &Path,
    check: bool,
    adapters: impl FnOnce(&Settings) -> (D, S, Option<C>),
) -> Result<ExitCode, Report<RunError>> {
    let settings = Settings::load(path).change_context(RunError::Settings)?;
    if check {
        println!("{}: settings are valid", path.display());
        return Ok(ExitCode::Success);
    }
    let logger = start_logging("info").change_context(RunError::Start)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).change_context(RunError::Start)?;
    let (dialect, store, control) = adapters(&settings);
    let daemon = GatewayDaemon::start(settings.clone(), dialect, store, control)?;
    let reload = |signal: &i32| {
        if *signal == SIGHUP {
            log_reload(path, &settings);
        }
        *signal != SIGHUP
    };
    signals.forever().find(reload);
    smol::block_on(daemon.stop());
    logger.flush();
    Ok(ExitCode::Success)
}

/// Logs whether the settings file is valid and differs from the running settings; changes take effect at a restart.
fn log_reload(path: &Path, current: &Settings) {
    match Settings::load(path) {
        Ok(settings) if settings == *current => log_event!(Event::SettingsReloaded, outcome = "unchanged"),
        Ok(_) => log_event!(Event::SettingsReloaded, outcome = "changed; restart to put it in force"),
        Err(error) => log_event!(Event::SettingsReloaded, outcome = error),
    }
}
