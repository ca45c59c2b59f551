//! Why the rule for ordering a service's runners cannot be used.

use std::fmt;

use teaselcroft_parts::ModelName;

/// Why the rule for ordering a service's runners cannot be used. The service is served with the runners that it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingFault {
    /// The service.
    pub service: ModelName,
    /// The key below `scaling`.
    pub key: String,
    /// What is wrong with its value.
    pub reason: String,
}

impl fmt::Display for ScalingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "scaling.{} of {}: {}", self.key, self.service, self.reason)
    }
}
