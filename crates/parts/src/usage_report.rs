//! The usage of one window as it is reported.

use std::collections::BTreeMap;

use crate::{CustomerName, UsageWindow};

/// How many requests of each customer runners began in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// The requests of each customer.
    pub counts: BTreeMap<CustomerName, u64>,
}
