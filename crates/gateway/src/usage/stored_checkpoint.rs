//! The checkpoint of the counts, as the store keeps it.

use teaselcroft_parts::{UsageCheckpoint, UsageWindow};

use super::{USAGE_PREFIX, UsageNews, UsageNewsError};

/// The checkpoint of the counts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredCheckpoint {
    /// The oldest window that may still be written down.
    #[prost(uint64, tag = "1")]
    pub floor: u64,
    /// The windows whose reports the control API accepted.
    #[prost(uint64, repeated, tag = "2")]
    pub accepted: Vec<u64>,
    /// The counts of each daemon's run.
    #[prost(message, repeated, tag = "3")]
    pub news: Vec<UsageNews>,
}

impl StoredCheckpoint {
    /// The store's key for the checkpoint.
    pub fn key() -> String {
        format!("{USAGE_PREFIX}open")
    }
}

impl From<&UsageCheckpoint> for StoredCheckpoint {
    fn from(checkpoint: &UsageCheckpoint) -> StoredCheckpoint {
        StoredCheckpoint {
            floor: checkpoint.floor.0,
            accepted: checkpoint.accepted.iter().map(|window| window.0).collect(),
            news: checkpoint.statements.iter().flat_map(UsageNews::split).collect(),
        }
    }
}

impl TryFrom<StoredCheckpoint> for UsageCheckpoint {
    type Error = UsageNewsError;

    fn try_from(stored: StoredCheckpoint) -> Result<UsageCheckpoint, UsageNewsError> {
        Ok(UsageCheckpoint {
            floor: UsageWindow(stored.floor),
            accepted: stored.accepted.into_iter().map(UsageWindow).collect(),
            statements: stored.news.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}
