//! Why counts that were received or stored cannot be used.

use std::fmt;

use teaselcroft_parts::NameError;

/// Why counts that were received or stored cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageNewsError {
    /// A daemon's or customer's name is invalid.
    Name(NameError),
    /// The number of counts does not match the customers.
    Rows,
}

impl fmt::Display for UsageNewsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageNewsError::Name(error) => error.fmt(f),
            UsageNewsError::Rows => f.write_str("the number of counts does not match the customers"),
        }
    }
}

impl std::error::Error for UsageNewsError {}

impl From<NameError> for UsageNewsError {
    fn from(error: NameError) -> UsageNewsError {
        UsageNewsError::Name(error)
    }
}
