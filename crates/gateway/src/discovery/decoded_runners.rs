//! Runners' entries of the store, decoded.

use teaselcroft_parts::RunnerName;

use crate::dialect::Dialect;
use crate::runner_news::RunnerChange;
use crate::store::Change;
use crate::{Event, log_event};

/// Runners' entries of the store, decoded.
///
/// An entry that cannot be read names no runner. It is no removal either: another writer may leave one over the entry of a
/// runner that serves on, or of one that is leaving. What is known under its name stays as it is, here and, since the entry
/// is not forwarded, at the peers that listen to this daemon.
#[derive(Debug, Default)]
pub struct DecodedRunners {
    /// Readable entries and removals, oldest first.
    pub changes: Vec<RunnerChange>,
    /// The names of the entries that cannot be read.
    pub unreadable: Vec<RunnerName>,
}

impl DecodedRunners {
    /// Decodes keys under the runners' prefix; others, and those that are no runner's name, are left out.
    pub fn decode<D: Dialect>(dialect: &D, changes: Vec<Change>) -> DecodedRunners {
        let mut decoded = DecodedRunners::default();
        for Change { key, revision, value } in changes {
            let Some(Ok(name)) = key.strip_prefix(dialect.runner_prefix()).map(str::parse::<RunnerName>) else {
                log_event!(Event::EntryIgnored, key = key, reason = "its key is no runner's", source = "store");
                continue;
            };
            match value.map(|value| dialect.runner(name.as_str(), &value)).transpose() {
                Ok(record) => decoded.changes.push(RunnerChange { name, revision, record }),
                Err(error) => {
                    log_event!(Event::EntryIgnored, key = key, reason = error, source = "store");
                    decoded.unreadable.push(name);
                }
            }
        }
        decoded
    }
}
