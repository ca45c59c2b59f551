//! An open connection to a runner.

use crate::http::Connection;

/// An open connection to a runner, over which no request is under way.
#[derive(Debug)]
pub(super) struct OpenConnection {
    pub connection: Connection,
    /// Whether it has carried requests before.
    pub is_kept: bool,
}
