//! The report of one window, as the store keeps it.

use std::collections::BTreeMap;

use teaselcroft_parts::{CustomerName, NameError, UsageReport, UsageWindow};

use super::USAGE_PREFIX;

/// The report of one window.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageRecord {
    /// The window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// The customers, and the requests of each.
    #[prost(btree_map = "string, uint64", tag = "2")]
    pub counts: BTreeMap<String, u64>,
    /// Whether the counts are estimated in part.
    #[prost(bool, tag = "3")]
    pub is_estimated: bool,
}

impl UsageRecord {
    /// The store's key for the record of a window.
    pub fn key(window: UsageWindow) -> String {
        format!("{USAGE_PREFIX}{window}")
    }
}

impl From<&UsageReport> for UsageRecord {
    fn from(report: &UsageReport) -> UsageRecord {
        let counts = report.counts.iter().map(|(customer, count)| (customer.to_string(), *count));
        UsageRecord { window: report.window.0, counts: counts.collect(), is_estimated: false }
    }
}

impl TryFrom<UsageRecord> for UsageReport {
    type Error = NameError;

    fn try_from(record: UsageRecord) -> Result<UsageReport, NameError> {
        let counts = record.counts.into_iter().map(|(name, count)| Ok((CustomerName::try_from(name)?, count)));
        Ok(UsageReport { window: UsageWindow(record.window), counts: counts.collect::<Result<_, NameError>>()? })
    }
}
