//! Keeps what crashes runners in the store, for daemons that start when no other one is left to tell, and reads it there.

use std::sync::Arc;

use async_io::Timer;
use prost::Message;
use teaselcroft_parts::Millis;

use crate::backoff::Backoff;
use crate::crash_tracker::{CRASH_TTL, Suspect};
use crate::dialect::Dialect;
use crate::gateway::{Gateway, unix_ms};
use crate::heartbeat::{Crash, CrashList};
use crate::store::{Store, StoreError};
use crate::{Event, log_event};

/// The key prefix under which daemons store what crashes runners.
pub const CRASH_PREFIX: &str = "teaselcroft/crashes/";

/// The mean delay after a first failed write; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(400);

/// The longest mean delay between writes.
const MAX_RETRY_DELAY: Millis = Millis(3_200);

/// How long a starting daemon may take to read the store itself: until then its peers may turn out not to read it for its zone.
const ROLE_TIME: Millis = Millis(10_000);

/// How often a starting daemon checks whether it reads the store itself.
const ROLE_POLL_INTERVAL: Millis = Millis(50);

/// The stored crashes of one suspect.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct StoredCrashes {
    /// The crashes, with their ages when they were written.
    #[prost(message, repeated, tag = "1")]
    crashes: Vec<Crash>,
    /// When they were written, in milliseconds of Unix time.
    #[prost(uint64, tag = "2")]
    written_ms: u64,
}

/// Writes the crashes of each suspect that this daemon finds to be blocked to the store; never returns.
pub async fn store_crashes<D: Dialect, S: Store>(gateway: Arc<Gateway<D>>, store: Arc<S>) {
    loop {
        let suspect = gateway.next_unstored().await;
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let crashes = gateway.crashes().crashes_of(suspect, gateway.now());
            if crashes.is_empty() {
                break;
            }
            let count = crashes.len();
            match write(&*store, suspect, crashes).await {
                Ok(()) => {
                    log_event!(Event::CrashesStored, suspect = suspect, crashes = count);
                    break;
                }
                Err(error) => log::debug!("failed to store the crashes of {suspect}: {error}"),
            }
            Timer::after(backoff.next_delay().into()).await;
        }
    }
}

async fn write<S: Store>(store: &S, suspect: Suspect, crashes: Vec<Crash>) -> Result<(), StoreError> {
    let kind = if suspect.is_part() { "part" } else { "content" };
    let value = StoredCrashes { crashes, written_ms: unix_ms() }.encode_to_vec();
    let lease = store.grant(CRASH_TTL).await?;
    store.put(&format!("{CRASH_PREFIX}{kind}-{suspect}"), &value, lease).await
}

/// Reads the stored crashes as of now, once: the cheap lists may show the store from before these were written, and where all
/// daemons start anew no peer knows them. Daemons that leave reading to peers of their zone hear from these; never returns.
pub async fn read_crashes<D: Dialect, S: Store>(gateway: Arc<Gateway<D>>, store: Arc<S>) {
    let began = gateway.now();
    while !gateway.has_reader_role() || gateway.is_listener() {
        if gateway.now().since(began) >= ROLE_TIME {
            return std::future::pending().await;
        }
        Timer::after(ROLE_POLL_INTERVAL.into()).await;
    }
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        match store.list(CRASH_PREFIX).await {
            Ok(changes) => {
                log_event!(Event::CrashesRead, suspects = changes.changes.len(), revision = changes.revision);
                for change in changes.changes {
                    if let Some(value) = change.value {
                        learn_crashes(&gateway, &change.key, &value);
                    }
                }
                return std::future::pending().await;
            }
            Err(error) => log::debug!("failed to read the stored crashes: {error}"),
        }
        Timer::after(backoff.next_delay().into()).await;
    }
}

/// Adds the crashes of one entry in the store to those that are known.
pub fn learn_crashes<D: Dialect>(gateway: &Gateway<D>, key: &str, value: &[u8]) {
    let stored = match StoredCrashes::decode(value) {
        Ok(stored) => stored,
        Err(error) => return log_event!(Event::EntryIgnored, key = key, reason = error, source = "store"),
    };
    // Clocks of VMs differ and jump; an age is never taken to be less than it was when it was written.
    let since_write = u32::try_from(unix_ms().saturating_sub(stored.written_ms)).unwrap_or(u32::MAX);
    let older = |crash: Crash| Crash { age_ms: crash.age_ms.saturating_add(since_write), ..crash };
    let crashes: Vec<Crash> = stored.crashes.into_iter().map(older).collect();
    gateway.crashes().note_stored(&crashes);
    gateway.merge_crashes(CrashList { crashes, cleared: Vec::new() });
}
