//! Structured logs: one JSON object per line on standard output, rate-limited and without blocking the writer.

mod line_writer;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

use line_writer::LineWriter;
pub use line_writer::lines_dropped;

/// Starts logging at the level in `RUST_LOG`, or at `default_level`.
///
/// # Errors
///
/// A logger is already set, or the level cannot be parsed.
pub fn start_logging(default_level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str(default_level)?.log_to_writer(Box::new(LineWriter::start())).start()
}
