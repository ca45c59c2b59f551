//! The requests that one daemon counts.

use std::collections::BTreeMap;

use super::{CustomerCounts, UsageSettings, UsageStatement};
use crate::{CustomerName, Member, UnixMs, UsageWindow};

/// How often a change is stated; one lost datagram then loses nothing, also if no further request comes.
const REPETITIONS: u32 = 3;

/// Counts the requests that runners began for this daemon, by window and customer.
#[derive(Debug)]
pub struct UsageCounter {
    settings: UsageSettings,
    member: Member,
    windows: BTreeMap<UsageWindow, CustomerCounts>,
    unstated: u32,
    stated_at: UnixMs,
}

impl UsageCounter {
    /// A counter of the run `member` without counts.
    pub const fn new(settings: UsageSettings, member: Member) -> UsageCounter {
        UsageCounter { settings, member, windows: BTreeMap::new(), unstated: 0, stated_at: UnixMs(0) }
    }

    /// Counts a request that began at `at`.
    pub fn count(&mut self, customer: &CustomerName, at: UnixMs) {
        let counts = self.windows.entry(self.settings.window_at(at)).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        self.unstated = REPETITIONS;
    }

    /// The counts at the end of this run, after which it counts nothing more, so that nobody waits for it.
    pub fn last_statement(&mut self, now: UnixMs) -> Option<UsageStatement> {
        let statement = self.statement(now, true)?;
        Some(UsageStatement { as_of: self.settings.end(self.settings.window_at(now)), ..statement })
    }

    /// The counts of the last windows, if they changed, a window with counts has ended, or `is_wanted`: the receivers are
    /// new. A statement after a window's end shows that the daemon has nothing to add to it.
    pub fn statement(&mut self, now: UnixMs, is_wanted: bool) -> Option<UsageStatement> {
        let current = self.settings.window_at(now);
        let first = UsageWindow((current.0 + 1).saturating_sub(self.settings.stated));
        self.windows.retain(|window, _| *window >= first);
        if self.windows.is_empty() {
            return None;
        }
        let last = self.settings.window_at(self.stated_at);
        if last != current {
            self.unstated = REPETITIONS;
        }
        if self.unstated == 0 && !is_wanted {
            return None;
        }
        self.unstated = self.unstated.saturating_sub(1);
        self.stated_at = now;
        Some(UsageStatement { member: self.member.clone(), as_of: now, windows: self.windows.clone() })
    }
}
