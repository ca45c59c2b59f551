//! Writes reports of usage to the store again after it came back from an older copy.

use std::sync::Arc;

use async_io::Timer;
use prost::Message;
use teaselcroft_parts::{Millis, UsageWindow};

use crate::backoff::Backoff;
use crate::control_api::ControlApi;
use crate::dialect::Dialect;
use crate::duties::DutyAccess;
use crate::gateway::Gateway;
use crate::store::{Store, StoreError, Transaction, Write};
use crate::usage::UsageRecord;
use crate::{Event, log_event};

/// The mean delay after a first failed write; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(100);

/// The longest mean delay between writes.
const MAX_RETRY_DELAY: Millis = Millis(1_600);

/// Writes the reports that this daemon knows as a present or former holder again whenever the store's era rises, since
/// they may have been sent: another holder would count their windows anew, with another result. Never returns.
pub async fn rewrite_reports<D: Dialect, S: Store, C: ControlApi>(
    gateway: Arc<Gateway<D>>,
    access: Arc<DutyAccess<C, S>>,
) {
    let mut risen = gateway.next_era();
    loop {
        risen.await;
        risen = gateway.next_era();
        rewrite_all(&gateway, access.store()).await;
    }
}

async fn rewrite_all<D: Dialect, S: Store>(gateway: &Gateway<D>, store: &S) {
    let written = gateway.usage().map(|usage| usage.written.clone()).unwrap_or_default();
    let mut count = 0;
    for (window, record) in written {
        count += u32::from(rewrite_report(gateway, store, window, &record).await);
    }
    if count > 0 {
        log_event!(Event::UsageRewritten, records = count);
    }
}

/// Returns whether the store had lost the report and has it again.
async fn rewrite_report<D: Dialect, S: Store>(
    gateway: &Gateway<D>,
    store: &S,
    window: UsageWindow,
    record: &UsageRecord,
) -> bool {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    while gateway.usage().is_some_and(|usage| usage.written.contains_key(&window)) {
        let key = UsageRecord::key(window);
        let transaction = Transaction {
            conditions: vec![(key.clone(), None)],
            writes: vec![Write { key, value: record.encode_to_vec(), lease: None }],
            removals: Vec::new(),
        };
        match store.commit(transaction).await {
            Ok(_) => return true,
            Err(StoreError::Conflict) => return false,
            Err(error) => log::debug!("the report of window {window} was not written again: {error}"),
        }
        Timer::after(backoff.next_delay().into()).await;
    }
    false
}
