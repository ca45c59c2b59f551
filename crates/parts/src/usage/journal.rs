//! What the duty holder does next for each window: fix its counts, write them down, report, repeat, give up, remove.

use std::collections::BTreeMap;

use super::entry::{Entry, Stage};
use super::{UsageCheckpoint, UsageCollector, UsageSettings, UsageTotal};
use crate::{Millis, UnixMs, UsageReport, UsageWindow};

/// The most records that are removed with one checkpoint; a transaction of the store has at most 32 entries.
const MAX_REMOVALS: usize = 16;

/// What the duty holder does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageAction {
    /// Write a report to the store, under the conditions that its key does not exist and that the holder is the same.
    Record {
        /// The report, which no longer changes.
        report: UsageReport,
        /// What it was made from, at the first attempt.
        total: Option<UsageTotal>,
    },
    /// Send a report, exactly as the store has it.
    Send(UsageReport),
    /// Write a checkpoint and remove the records of these windows, in one transaction.
    Checkpoint(UsageCheckpoint, Vec<UsageWindow>),
    /// Nothing more is done for a window whose report the control API has not accepted.
    GiveUp(UsageWindow),
}

/// Decides what the duty holder does next, from when it became the holder until it is no longer.
///
/// The counts of a window are fixed before the first attempt to write them down, so that an attempt which is executed
/// late writes the same ones. They are sent only once the store has them.
#[derive(Debug)]
pub struct UsageJournal {
    began: Millis,
    floor: UsageWindow,
    entries: BTreeMap<UsageWindow, Entry>,
    removals: Vec<UsageWindow>,
    checkpointed: Option<Millis>,
    /// The collector's revision at the last checkpoint, and whether windows have changed since.
    revision: u64,
    is_changed: bool,
}

impl UsageJournal {
    /// The oldest window that is still reported.
    pub const fn floor(&self) -> UsageWindow {
        self.floor
    }

    /// Goes on from what the store has: the last checkpoint, whose counts are added to the collector, and the records.
    pub fn resume(
        checkpoint: Option<UsageCheckpoint>,
        records: Vec<UsageReport>,
        collector: &mut UsageCollector,
        unix: UnixMs,
        now: Millis,
    ) -> UsageJournal {
        let (oldest, current) = (collector.settings().oldest(unix), collector.settings().window_at(unix));
        let accepted = checkpoint.as_ref().map(|checkpoint| checkpoint.accepted.clone()).unwrap_or_default();
        let stored_floor = checkpoint.as_ref().map(|checkpoint| checkpoint.floor);
        for statement in checkpoint.into_iter().flat_map(|checkpoint| checkpoint.statements) {
            collector.restore(statement);
        }
        let first_record = records.iter().map(|report| report.window).min();
        let first = [first_record, collector.first_window(), Some(current)].into_iter().flatten().min();
        let floor = stored_floor.or(first).map_or(current, |floor| floor.max(oldest));
        let (kept, expired): (Vec<_>, Vec<_>) = records.into_iter().partition(|report| report.window >= floor);
        let entry = |report: UsageReport| {
            let stage = if accepted.contains(&report.window) { Stage::Accepted } else { Stage::Recorded };
            (report.window, Entry::new(report, stage))
        };
        UsageJournal {
            began: now,
            floor,
            entries: kept.into_iter().map(entry).collect(),
            removals: expired.into_iter().map(|report| report.window).collect(),
            checkpointed: None,
            revision: collector.revision(),
            is_changed: true,
        }
    }

    /// What to do next; the result of the call must be stated before the next question.
    pub fn next(&mut self, collector: &mut UsageCollector, unix: UnixMs, now: Millis) -> Option<UsageAction> {
        self.retire(collector, unix)
            .or_else(|| self.next_record(collector, unix, now))
            .or_else(|| self.next_checkpoint(collector, now))
            .or_else(|| self.next_send(collector.settings(), unix, now))
    }

    /// Leaves behind the oldest window once it is too old to be reported.
    fn retire(&mut self, collector: &mut UsageCollector, unix: UnixMs) -> Option<UsageAction> {
        let oldest = collector.settings().oldest(unix);
        while self.floor < oldest {
            let window = self.floor;
            self.floor = UsageWindow(window.0 + 1);
            self.is_changed = true;
            let entry = self.entries.remove(&window);
            // Without an answer to its write the record may be absent; if it is there, the next holder removes it.
            let is_recorded = entry.as_ref().is_some_and(|entry| entry.stage != Stage::Fixed);
            self.removals.extend(is_recorded.then_some(window));
            collector.forget_before(self.floor);
            if entry.is_none_or(|entry| entry.stage != Stage::Accepted) {
                return Some(UsageAction::GiveUp(window));
            }
        }
        None
    }

    fn next_record(&mut self, collector: &UsageCollector, unix: UnixMs, now: Millis) -> Option<UsageAction> {
        let fixed = self.entries.values().find(|entry| entry.is_due(Stage::Fixed, now));
        if let Some(entry) = fixed {
            return Some(UsageAction::Record { report: entry.report.clone(), total: None });
        }
        let settings = collector.settings();
        // Daemons state their counts to a new holder within this time. The next candidate has them already.
        let span = settings.interval + settings.interval + settings.margin;
        if now.since(self.began) < span && !collector.is_fed(span, unix) {
            return None;
        }
        let is_settled = |window: UsageWindow| {
            unix >= settings.latest(window) || unix >= settings.settled(window) && collector.is_complete(window)
        };
        let window = (self.floor.0..=settings.window_at(unix).0)
            .map(UsageWindow)
            .find(|window| !self.entries.contains_key(window) && is_settled(*window))?;
        let total = collector.total(window);
        let report = UsageReport { window, counts: total.counts.clone() };
        self.entries.insert(window, Entry::new(report.clone(), Stage::Fixed));
        Some(UsageAction::Record { report, total: Some(total) })
    }

    /// The report that is due next; those that are late already come last.
    fn next_send(&self, settings: &UsageSettings, unix: UnixMs, now: Millis) -> Option<UsageAction> {
        let is_late = |window: UsageWindow| unix > settings.end(window) + settings.due;
        let ready = self.entries.iter().filter(|(_, entry)| entry.is_due(Stage::Recorded, now));
        let (_, entry) = ready.min_by_key(|(window, _)| (is_late(**window), **window))?;
        Some(UsageAction::Send(entry.report.clone()))
    }

    fn next_checkpoint(&mut self, collector: &UsageCollector, now: Millis) -> Option<UsageAction> {
        let is_changed = self.is_changed || collector.revision() != self.revision;
        let is_due = self.checkpointed.is_none_or(|at| now.since(at) >= collector.settings().checkpoint);
        if !is_changed || !is_due {
            return None;
        }
        self.checkpointed = Some(now);
        (self.revision, self.is_changed) = (collector.revision(), false);
        let accepted = self.entries.iter().filter(|(_, entry)| entry.stage == Stage::Accepted);
        let is_open = |window: UsageWindow| {
            window >= self.floor && self.entries.get(&window).is_none_or(|entry| entry.stage == Stage::Fixed)
        };
        let checkpoint = UsageCheckpoint {
            floor: self.floor,
            accepted: accepted.map(|(window, _)| *window).collect(),
            statements: collector.statements(is_open),
        };
        let removals = self.removals.iter().take(MAX_REMOVALS).copied().collect();
        Some(UsageAction::Checkpoint(checkpoint, removals))
    }

    /// The store has the report of a window: the one that was to be written, or another that was there before, which
    /// replaces it.
    pub fn recorded(&mut self, report: UsageReport) {
        self.entries.insert(report.window, Entry::new(report, Stage::Recorded));
        self.is_changed = true;
    }

    /// The control API accepted the report of a window.
    pub fn accepted(&mut self, window: UsageWindow) {
        if let Some(entry) = self.entries.get_mut(&window) {
            entry.advance(Stage::Accepted);
            self.is_changed = true;
        }
    }

    /// The control API rejected the report of a window for good.
    pub fn rejected(&mut self, window: UsageWindow) {
        if let Some(entry) = self.entries.get_mut(&window) {
            entry.advance(Stage::Rejected);
        }
    }

    /// A call for a window failed and is to be repeated.
    pub fn failed(&mut self, window: UsageWindow, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&window) {
            entry.delay(now);
        }
    }

    /// A checkpoint that removed the records of these windows was written.
    pub fn checkpointed(&mut self, removed: &[UsageWindow]) {
        self.removals.retain(|window| !removed.contains(window));
        self.is_changed |= !self.removals.is_empty();
    }

    /// A checkpoint was not written; the next one is due after the usual time.
    pub const fn checkpoint_failed(&mut self) {
        self.is_changed = true;
    }
}
