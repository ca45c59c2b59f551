//! The interface to the platform's control API, which takes calls of the duty holder only.

use std::fmt;
use std::future::Future;

use teaselcroft_parts::{DutyPermit, UsageReport};
use teaselcroft_policy::RunnerOrder;

/// Why a call to the control API failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// There was no answer; the call may have been executed, or may be executed later.
    Silent,
    /// All daemons together made too many calls; nothing was done.
    Throttled,
    /// No such runners are available at the moment.
    NoneAvailable,
    /// The API rejected the call with this status.
    Rejected(u16),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Silent => f.write_str("the control API did not answer"),
            ControlError::Throttled => f.write_str("the control API limits the rate of calls"),
            ControlError::NoneAvailable => f.write_str("no such runners are available"),
            ControlError::Rejected(status) => write!(f, "the control API answered with status {status}"),
        }
    }
}

impl std::error::Error for ControlError {}

impl ControlError {
    /// The error's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            ControlError::Silent => "no answer",
            ControlError::Throttled => "throttled",
            ControlError::NoneAvailable => "none available",
            ControlError::Rejected(_) => "rejected",
        }
    }
}

/// The calls that the duty holder makes to the platform's control API.
pub trait ControlApi: Send + Sync + 'static {
    /// Reports the usage of one window. Repeating a report unchanged does no harm.
    ///
    /// # Errors
    ///
    /// The API did not answer or did not accept the report.
    fn report_usage(
        &self,
        permit: &DutyPermit,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Orders a number of runners.
    ///
    /// # Errors
    ///
    /// The API did not answer or did not accept the order.
    fn order_runners(
        &self,
        permit: &DutyPermit,
        order: &RunnerOrder,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;
}
