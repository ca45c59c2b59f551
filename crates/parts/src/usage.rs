//! Usage reports: each daemon counts, the duty holder collects, writes down and reports.

mod checkpoint;
mod collector;
mod counter;
mod entry;
mod journal;
mod settings;
mod statement;
mod total;

pub use checkpoint::UsageCheckpoint;
pub use collector::UsageCollector;
pub use counter::UsageCounter;
pub use journal::{UsageAction, UsageJournal};
pub use settings::UsageSettings;
pub use statement::UsageStatement;
pub use total::UsageTotal;

use std::collections::BTreeMap;

use crate::CustomerName;

/// The requests of each customer.
pub type CustomerCounts = BTreeMap<CustomerName, u64>;
