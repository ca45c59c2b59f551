//! Follows the keys under a prefix: lists them first, then watches for changes, and lists again when the store has
//! compacted the history or came back from an older copy.

use std::future::pending;

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::StoreHealth;
use crate::backoff::Backoff;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::metrics::StoreLabels;
use crate::store::{Changes, Revision, Store, StoreError};
use crate::{Event, log_event};

/// How long one watch call waits for changes.
pub(super) const WATCH_TIMEOUT: Millis = Millis(25_000);

/// How long the first watch after a list waits: short, since a store that just recovered may not report all changes,
/// and the next watch asks for them again.
const FIRST_WATCH_TIMEOUT: Millis = Millis(1_500);

/// A watch with a longer wait is checked by a call beside it; with a shorter one its own timeout is soon enough.
const MAX_UNCHECKED_WAIT: Millis = Millis(500);

/// The longest wait of a watch that only asks for past changes.
pub(super) const NO_WAIT: Millis = Millis(1);

/// The delay before the next watch, so that one call returns the changes that occur close together; far below the two
/// seconds within which a change must take effect.
const BATCH_DELAY: Millis = Millis(200);

/// The mean delay after a first failed call; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(60);

/// The longest mean delay between calls while the store is unavailable.
const MAX_RETRY_DELAY: Millis = Millis(600);

/// An answer of the store.
pub(super) enum StoreUpdate {
    /// All keys under the prefix.
    List(Changes),
    /// The changes after the given revision.
    Since(Revision, Changes),
}

/// Follows the keys under a prefix with lists and watches.
pub(super) struct Follower<'a, D, S> {
    store: &'a S,
    prefix: &'static str,
    health: &'a StoreHealth,
    gateway: &'a Gateway<D>,
    /// The revision up to which all changes are known, or `None` if the next call must be a list.
    pub after: Option<Revision>,
    /// How long the next watch waits for changes.
    wait: Millis,
    backoff: Backoff,
    /// Whether the next call is delayed by `BATCH_DELAY`.
    is_batching: bool,
}

impl<'a, D: Dialect, S: Store> Follower<'a, D, S> {
    pub fn new(
        store: &'a S,
        prefix: &'static str,
        health: &'a StoreHealth,
        gateway: &'a Gateway<D>,
    ) -> Follower<'a, D, S> {
        let backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Follower { store, prefix, health, gateway, after: None, wait: FIRST_WATCH_TIMEOUT, backoff, is_batching: false }
    }

    /// Lists the keys or watches for changes, for up to `longest`.
    ///
    /// # Errors
    ///
    /// The call failed or the history was compacted. The next call is due after the returned delay.
    pub async fn next(&mut self, longest: Millis) -> Result<StoreUpdate, Millis> {
        if std::mem::take(&mut self.is_batching) {
            Timer::after(BATCH_DELAY.min(longest).into()).await;
        }
        let began = self.gateway.now();
        let (call, result) = match self.after {
            None => ("list", self.store.list(self.prefix).await),
            Some(after) => ("watch", self.watch(after, self.wait.min(longest)).await),
        };
        count(self.gateway, call, &result);
        self.gateway.note_store_era(self.store.era(), "store");
        if let Err(error) = &result {
            let waited = self.gateway.now().since(began);
            log_event!(Event::StoreCallFailed, call = call, prefix = self.prefix, reason = error, waited = waited);
        }
        match result {
            Ok(changes) => {
                self.health.answered(self.gateway.now());
                self.backoff.reset();
                let before = self.after.replace(changes.revision);
                self.wait = if before.is_some() { WATCH_TIMEOUT } else { FIRST_WATCH_TIMEOUT };
                self.is_batching = before.is_some();
                Ok(match before {
                    Some(after) => StoreUpdate::Since(after, changes),
                    None => StoreUpdate::List(changes),
                })
            }
            Err(StoreError::Compacted) => {
                log_event!(Event::HistoryLost, prefix = self.prefix, after = self.after.unwrap_or_default());
                self.after = None;
                Err(Millis(0))
            }
            Err(error) => {
                // A failing store may not answer a watch whose changes it has, so the next call is a list.
                if longest > NO_WAIT {
                    self.after = None;
                }
                self.health.failed(error, self.gateway.now());
                Err(self.backoff.next_delay())
            }
        }
    }

    /// Watches for changes. The store never answers a watch that was sent during an outage, also after its return, so a
    /// call that is sent beside a long watch shows whether it answers.
    async fn watch(&self, after: Revision, wait: Millis) -> Result<Changes, StoreError> {
        let watch = self.store.watch(self.prefix, after, wait);
        if wait <= MAX_UNCHECKED_WAIT {
            return watch.await;
        }
        let restart = self.gateway.watch_restart();
        let ping = async {
            let pinged = self.store.ping().await;
            self.gateway.note_store_era(self.store.era(), "store");
            match pinged {
                Err(StoreError::Silent) => Err(StoreError::Silent),
                // A call that is rejected has been answered, as the watch will be.
                Ok(()) | Err(_) => pending().await,
            }
        };
        or(
            watch,
            or(ping, async {
                restart.await;
                Err(StoreError::Silent)
            }),
        )
        .await
    }
}

/// Counts a call in the metrics.
pub(super) fn count<D: Dialect>(gateway: &Gateway<D>, call: &'static str, result: &Result<Changes, StoreError>) {
    let outcome = match result {
        Ok(_) => "done",
        Err(StoreError::Silent) => "silent",
        Err(StoreError::Busy) => "busy",
        Err(StoreError::Compacted) => "compacted",
        Err(StoreError::Missing) => "missing",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::Unreadable) => "unreadable",
    };
    gateway.metrics.store_calls.get_or_create(&StoreLabels { call, outcome }).inc();
}
