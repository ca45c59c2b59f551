//! Counts the requests that runners begin, by customer, and states the counts to the duty holder.

mod news;
mod news_error;
mod record;
mod sender;
mod stored_checkpoint;
mod tracker;

pub use news::UsageNews;
pub use news_error::UsageNewsError;
pub use record::UsageRecord;
pub use sender::{state_last_usage, state_usage};
pub use stored_checkpoint::StoredCheckpoint;
pub use tracker::UsageTracker;

/// The prefix of the store's keys for usage.
pub const USAGE_PREFIX: &str = "teaselcroft/usage/";
