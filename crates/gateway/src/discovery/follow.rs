//! Follows the keys under a prefix: a list first, then watches, and a list again when history is lost.

use async_io::Timer;
use teaselcroft_parts::Millis;

use super::StoreHealth;
use crate::backoff::Backoff;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::metrics::StoreLabels;
use crate::store::{Changes, Revision, Store, StoreError};
use crate::{Event, record};

/// How long one watch waits for changes.
pub(super) const WATCH_TIME: Millis = Millis(25_000);

/// How long the first watch after a list waits: whatever a store that just recovered did not tell it is asked
/// for again soon.
const FIRST_WATCH_TIME: Millis = Millis(1_500);

/// A watch that only asks what has changed.
pub(super) const NO_WAIT: Millis = Millis(1);

/// The pause after a watch, so that one call brings the changes that come close together; far below the two
/// seconds in which a change must be in force.
const GATHER_TIME: Millis = Millis(200);

/// The first pause after a call that failed; it doubles up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Millis = Millis(60);

/// The longest pause between calls while the store is away.
const LONGEST_PAUSE: Millis = Millis(600);

/// What the store says.
pub(super) enum Said {
    /// Everything under the prefix.
    List(Changes),
    /// The changes after a revision.
    Since(Revision, Changes),
}

/// Follows the keys that begin with a prefix.
pub(super) struct Follower<'a, D, S> {
    store: &'a S,
    prefix: &'static str,
    health: &'a StoreHealth,
    gate: &'a Gateway<D>,
    /// The revision up to which everything is known, or `None` if a list is needed.
    pub after: Option<Revision>,
    wait: Millis,
    backoff: Backoff,
    gathers: bool,
}

impl<'a, D: Dialect, S: Store> Follower<'a, D, S> {
    pub fn new(
        store: &'a S,
        prefix: &'static str,
        health: &'a StoreHealth,
        gate: &'a Gateway<D>,
    ) -> Follower<'a, D, S> {
        let backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        Follower { store, prefix, health, gate, after: None, wait: FIRST_WATCH_TIME, backoff, gathers: false }
    }

    /// What the store says next, waiting up to `longest` for a change.
    ///
    /// # Errors
    ///
    /// The call failed; the next one is due after the pause that is returned.
    pub async fn next(&mut self, longest: Millis) -> Result<Said, Millis> {
        if std::mem::take(&mut self.gathers) {
            Timer::after(GATHER_TIME.min(longest).into()).await;
        }
        let (call, result) = match self.after {
            None => ("list", self.store.list(self.prefix).await),
            Some(after) => ("watch", self.store.watch(self.prefix, after, self.wait.min(longest)).await),
        };
        count(self.gate, call, &result);
        match result {
            Ok(changes) => {
                self.health.answered(self.gate.now());
                self.backoff.reset();
                let before = self.after.replace(changes.revision);
                self.wait = if before.is_some() { WATCH_TIME } else { FIRST_WATCH_TIME };
                self.gathers = before.is_some();
                Ok(match before {
                    Some(after) => Said::Since(after, changes),
                    None => Said::List(changes),
                })
            }
            Err(StoreError::Compacted) => {
                record!(Event::HistoryLost, prefix = self.prefix, after = self.after.unwrap_or_default());
                self.after = None;
                Err(Millis(0))
            }
            Err(error) => {
                // A store in trouble may leave a watch waiting that it should have answered: list anew.
                if longest > NO_WAIT {
                    self.after = None;
                }
                self.health.failed(self.prefix, error, self.gate.now());
                Err(self.backoff.pause())
            }
        }
    }
}

fn count<D: Dialect>(gate: &Gateway<D>, call: &'static str, result: &Result<Changes, StoreError>) {
    let outcome = match result {
        Ok(_) => "done",
        Err(StoreError::Silent) => "silent",
        Err(StoreError::Busy) => "busy",
        Err(StoreError::Compacted) => "compacted",
        Err(StoreError::Missing) => "missing",
        Err(StoreError::Unreadable) => "unreadable",
    };
    gate.metrics.store_calls.get_or_create(&StoreLabels { call, outcome }).inc();
}
