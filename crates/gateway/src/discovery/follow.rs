//! Follows the keys under a prefix: a list first, then watches, and a list again when history is lost.

use async_io::Timer;
use teaselcroft_parts::Millis;

use super::StoreHealth;
use crate::dialect::Dialect;
use crate::gate::Gate;
use crate::metrics::StoreLabels;
use crate::store::{Change, Changes, Revision, Store, StoreError};
use crate::{Event, record};

/// How long one watch waits for changes.
const WATCH_TIME: Millis = Millis(25_000);

/// How long the first watch after a list waits: whatever a store that just recovered did not tell it is asked
/// for again soon.
const FIRST_WATCH_TIME: Millis = Millis(1_500);

/// The pause after a change, so that one call brings the changes that come close together; far below the two
/// seconds in which a change must be in force.
const GATHER_TIME: Millis = Millis(200);

/// The first pause after a call that failed; it doubles up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Millis = Millis(60);

/// The longest pause between calls while the store is away.
const LONGEST_PAUSE: Millis = Millis(600);

/// Takes in what the store says.
pub(super) trait Follower {
    /// Everything under the prefix.
    fn listed(&mut self, list: Changes);

    /// Changes that came together, oldest first.
    fn changed(&mut self, changes: Vec<Change>);
}

/// Follows the keys that begin with `prefix` for good.
pub(super) async fn follow<D: Dialect, S: Store, F: Follower>(
    store: &S,
    prefix: &'static str,
    health: &StoreHealth,
    gate: &Gate<D>,
    follower: &mut F,
) {
    let mut after: Option<Revision> = None;
    let mut wait = FIRST_WATCH_TIME;
    let mut pause = FIRST_PAUSE;
    loop {
        let result = match after {
            None => store.list(prefix).await,
            Some(revision) => store.watch(prefix, revision, wait).await,
        };
        count(gate, if after.is_none() { "list" } else { "watch" }, &result);
        match result {
            Ok(changes) => {
                health.answered(gate.now());
                let is_change = after.replace(changes.revision).is_some();
                if is_change {
                    wait = WATCH_TIME;
                    follower.changed(changes.changes);
                } else {
                    wait = FIRST_WATCH_TIME;
                    follower.listed(changes);
                }
                pause = FIRST_PAUSE;
                if is_change {
                    Timer::after(GATHER_TIME.into()).await;
                }
            }
            Err(StoreError::Compacted) => {
                record!(Event::HistoryLost, prefix = prefix, after = after.unwrap_or_default());
                after = None;
            }
            Err(error) => {
                // A store in trouble may leave a watch waiting that it should have answered: list anew.
                after = None;
                health.failed(prefix, error, gate.now());
                Timer::after(Millis(pause.0 / 2 + fastrand::u64(0..=pause.0)).into()).await;
                pause = Millis((pause.0 * 2).min(LONGEST_PAUSE.0));
            }
        }
    }
}

fn count<D: Dialect>(gate: &Gate<D>, call: &'static str, result: &Result<Changes, StoreError>) {
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
