//! Structured logs: one JSON object a line on standard output, bounded and without blocking.

mod line_writer;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

use line_writer::LineWriter;
pub use line_writer::lines_dropped;

/// Starts logging at the level that `RUST_LOG` names, or `level`.
///
/// # Errors
///
/// A logger is already set, or the level cannot be read.
pub fn start_logging(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str(level)?.log_to_writer(Box::new(LineWriter::start())).start()
}
