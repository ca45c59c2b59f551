//! What this daemon does when the store comes back from an older copy.

use event_listener::EventListener;

use super::{Gateway, lock};
use crate::dialect::Dialect;
use crate::store::Era;
use crate::{Event, log_event};

impl<D: Dialect> Gateway<D> {
    /// The store's era; `None` until it is known.
    pub fn store_era(&self) -> Option<Era> {
        *lock(&self.store_era)
    }

    /// Records the store's era, as an answer of the store or a peer stated it. When it rises, watches that wait begin anew, since
    /// those of an earlier era deliver nothing, and whatever this daemon wrote is written again.
    pub fn note_store_era(&self, era: Option<Era>, source: &str) {
        let before = {
            let mut known = lock(&self.store_era);
            let before = *known;
            *known = before.max(era);
            before
        };
        let Some(era) = era.filter(|era| before < Some(*era)) else {
            return;
        };
        self.metrics.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
        let Some(before) = before else {
            return;
        };
        log_event!(Event::StoreRestored, era = era, previous = before, source = source);
        self.crashes().forget_stored();
        self.restart_watches();
        self.era_risen.notify(usize::MAX);
    }

    /// Waits until the store's era rises.
    pub fn next_era(&self) -> EventListener {
        self.era_risen.listen()
    }
}
