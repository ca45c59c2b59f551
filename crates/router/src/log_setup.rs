//! Structured logging: one JSON object per line on standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle, WriteMode};

/// Starts logging at the level in `RUST_LOG`, or at `level` if that is unset.
///
/// # Errors
///
/// A logger is already set, or the level cannot be parsed.
pub fn start_logging(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str(level)?
        .log_to_stderr()
        .format(flexi_logger::json_format)
        .write_mode(WriteMode::BufferAndFlush)
        .start()
}
