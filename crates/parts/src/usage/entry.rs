//! How far the report of one window has come.

use crate::{Millis, UsageReport};

/// The delay before the first repetition of a call; it doubles with each further one.
const MIN_RETRY_DELAY: Millis = Millis(250);

/// The longest delay. With all ten windows outstanding, the holder makes a fifth of the calls that the control API takes;
/// with 4 s, reports were late that could have been sent once the API answered again.
const MAX_RETRY_DELAY: Millis = Millis(1_000);

/// How far a report has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its counts are fixed; the store may or may not have it.
    Fixed,
    /// The store has it.
    Recorded,
    /// The control API accepted it.
    Accepted,
    /// The control API rejected it for good.
    Rejected,
}

/// A report whose counts no longer change.
#[derive(Debug)]
pub(super) struct Entry {
    pub report: UsageReport,
    pub stage: Stage,
    failures: u32,
    retry_at: Millis,
}

impl Entry {
    pub const fn new(report: UsageReport, stage: Stage) -> Entry {
        Entry { report, stage, failures: 0, retry_at: Millis(0) }
    }

    /// Moves on to a stage, whose call is not delayed.
    pub const fn advance(&mut self, stage: Stage) {
        (self.stage, self.failures, self.retry_at) = (stage, 0, Millis(0));
    }

    /// Delays the next call after a failed one.
    pub fn delay(&mut self, now: Millis) {
        let span = Millis(MIN_RETRY_DELAY.0 << self.failures.min(8)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.retry_at = now + span;
    }

    /// Whether a call of this stage may be made.
    pub fn is_due(&self, stage: Stage, now: Millis) -> bool {
        self.stage == stage && now >= self.retry_at
    }
}
