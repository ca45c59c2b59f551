//! Asks the store for a newer configuration on a new connection, when nothing else has shown for a while that the watch
//! still delivers changes.

use std::sync::Arc;

use async_io::Timer;
use teaselcroft_parts::Millis;

use super::follow::count;
use super::{LISTENER_POLL_INTERVAL, StoreHealth, apply_changes, leaves_reading};
use crate::backoff::Backoff;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::store::{Revision, Store, StoreError};
use crate::{Event, log_event};

/// The mean delay after a first failed check; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(200);

/// The longest mean delay between checks while the store is unavailable.
const MAX_RETRY_DELAY: Millis = Millis(1_200);

/// A watch that works delivers a change within this time: the delay between two watches, and a call.
const WATCH_ALLOWANCE: Millis = Millis(400);

/// Checks that the configuration is the store's newest while this daemon reads the store itself; never returns.
pub async fn check_configuration<D: Dialect, S: Store>(
    gateway: Arc<Gateway<D>>,
    store: Arc<S>,
    runners_health: Arc<StoreHealth>,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let after = gateway.config_check().revision();
        let Some(after) = after.filter(|_| !leaves_reading(&gateway, &runners_health)) else {
            Timer::after(LISTENER_POLL_INTERVAL.into()).await;
            continue;
        };
        let (now, due_at) = (gateway.now(), gateway.config_check_due());
        if due_at > now {
            Timer::after(due_at.since(now).into()).await;
            continue;
        }
        let result = store.changes_since(gateway.dialect.configuration_key(), after).await;
        count(&gateway, "check", &result);
        gateway.note_store_era(store.era(), "store");
        match result {
            Ok(changes) => {
                backoff.reset();
                gateway.config_check().note_read(changes.revision, now);
                if let Some(revision) = apply_changes(&gateway, changes, "check").await {
                    Timer::after(WATCH_ALLOWANCE.into()).await;
                    restart_if_silent(&gateway, &*store, revision);
                }
            }
            Err(StoreError::Compacted) => {
                // A watch that works gets the same answer, and lists the keys.
                store.forget_connections();
                gateway.restart_watches();
                Timer::after(backoff.next_delay().into()).await;
            }
            Err(error) => {
                log::debug!("failed to check the configuration: {error}");
                Timer::after(backoff.next_delay().into()).await;
            }
        }
    }
}

/// Begins the watches anew on new connections if the one for the configuration has not delivered the change of `revision`.
fn restart_if_silent<D: Dialect, S: Store>(gateway: &Gateway<D>, store: &S, revision: Revision) {
    if !gateway.config_check().is_watch_behind(revision) {
        return;
    }
    log_event!(Event::WatchSilent, key = gateway.dialect.configuration_key(), revision = revision);
    store.forget_connections();
    gateway.restart_watches();
}
