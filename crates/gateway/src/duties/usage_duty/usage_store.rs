//! Reads and writes the records and the checkpoint of usage in the store.

use prost::Message;
use teaselcroft_parts::{UsageCheckpoint, UsageReport, UsageWindow};

use crate::control_api::ControlApi;
use crate::duties::{DutyError, DutyHold};
use crate::store::{Revision, Store, StoreError, Transaction, Write};
use crate::usage::{StoredCheckpoint, USAGE_PREFIX, UsageRecord};
use crate::{Event, log_event};

/// What the store has: the last checkpoint, and the reports, each with whether it is estimated in part.
type StoredUsage = (Option<UsageCheckpoint>, Vec<(UsageReport, bool)>);

/// Reads the checkpoint and all records; what cannot be read is logged and left out.
pub(super) async fn read_usage<S: Store>(store: &S) -> Result<StoredUsage, StoreError> {
    let (mut checkpoint, mut records) = (None, Vec::new());
    for change in store.list(USAGE_PREFIX).await?.changes {
        let Some(value) = change.value else {
            continue;
        };
        let window = change.key[USAGE_PREFIX.len().min(change.key.len())..].parse().map(UsageWindow);
        let outcome = match window {
            Ok(window) => record_of(window, &value).map(|record| records.push(record)),
            Err(_) if change.key == StoredCheckpoint::key() => {
                checkpoint_of(&value).map(|stored| checkpoint = Some(stored))
            }
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = outcome {
            log_event!(Event::EntryIgnored, key = change.key, reason = reason, source = "store");
        }
    }
    Ok((checkpoint, records))
}

/// Decodes the record of a window.
pub(super) fn record_of(window: UsageWindow, value: &[u8]) -> Result<(UsageReport, bool), String> {
    let record = UsageRecord::decode(value).map_err(|error| error.to_string())?;
    let is_estimated = record.is_estimated;
    let report = UsageReport::try_from(record).map_err(|error| error.to_string())?;
    if report.window == window { Ok((report, is_estimated)) } else { Err(format!("it is of window {}", report.window)) }
}

fn checkpoint_of(value: &[u8]) -> Result<UsageCheckpoint, String> {
    let stored = StoredCheckpoint::decode(value).map_err(|error| error.to_string())?;
    UsageCheckpoint::try_from(stored).map_err(|error| error.to_string())
}

/// Writes the record of a window, unless there is one.
pub(super) async fn write_record<C: ControlApi, S: Store>(
    hold: &DutyHold<C, S>,
    report: &UsageReport,
    is_estimated: bool,
) -> Result<Revision, DutyError> {
    let key = UsageRecord::key(report.window);
    let value = UsageRecord { is_estimated, ..UsageRecord::from(report) }.encode_to_vec();
    let transaction = Transaction {
        conditions: vec![(key.clone(), None)],
        writes: vec![Write { key, value, lease: None }],
        removals: Vec::new(),
    };
    hold.commit(transaction).await
}

/// Writes the checkpoint and removes the records of some windows.
pub(super) async fn write_checkpoint<C: ControlApi, S: Store>(
    hold: &DutyHold<C, S>,
    checkpoint: &UsageCheckpoint,
    removals: &[UsageWindow],
) -> Result<Revision, DutyError> {
    let value = StoredCheckpoint::from(checkpoint).encode_to_vec();
    let transaction = Transaction {
        conditions: Vec::new(),
        writes: vec![Write { key: StoredCheckpoint::key(), value, lease: None }],
        removals: removals.iter().map(|window| UsageRecord::key(*window)).collect(),
    };
    hold.commit(transaction).await
}
