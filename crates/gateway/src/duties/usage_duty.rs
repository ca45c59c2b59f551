//! The duty of reporting how many requests of each customer began to run.

mod rewrite;
mod usage_store;

use std::collections::BTreeSet;
use std::sync::Arc;

use async_io::Timer;
use teaselcroft_parts::{
    FencingToken, Millis, UsageAction, UsageCheckpoint, UsageJournal, UsageReport, UsageTotal, UsageWindow,
};

use super::{DutyError, DutyHold, DutyTask, boot_time};
use crate::control_api::ControlApi;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::metrics::UsageLabels;
use crate::store::{Store, StoreError};
use crate::usage::UsageRecord;
use crate::{ControlError, Event, log_event};
pub use rewrite::rewrite_reports;
use usage_store::{read_usage, record_of, write_checkpoint, write_record};

/// The time between two looks at what is due.
const STEP_INTERVAL: Millis = Millis(100);

/// The delay before the records are read again after a failed attempt.
const READ_RETRY_DELAY: Millis = Millis(250);

/// Reports how many requests of each customer began to run.
pub struct UsageDuty<D> {
    gateway: Arc<Gateway<D>>,
    /// The windows whose counts are estimated in part.
    estimated: BTreeSet<UsageWindow>,
}

impl<D: Dialect, C: ControlApi, S: Store> DutyTask<C, S> for UsageDuty<D> {
    async fn perform(&mut self, hold: DutyHold<C, S>) {
        let Some(mut journal) = self.resume(&hold).await else {
            return;
        };
        loop {
            let now = boot_time();
            let action = self.gateway.usage().and_then(|mut usage| {
                let unix = usage.unix(now);
                journal.next(&mut usage.collector, unix, now)
            });
            match action {
                Some(UsageAction::Record { report, total }) => self.record(&hold, &mut journal, report, total).await,
                Some(UsageAction::Send(report)) => self.send(&hold, &mut journal, &report).await,
                Some(UsageAction::Checkpoint(checkpoint, removals)) => {
                    save(&hold, &mut journal, &checkpoint, &removals).await;
                }
                Some(UsageAction::GiveUp(window)) => self.give_up(window),
                None => _ = Timer::after(STEP_INTERVAL.into()).await,
            }
        }
    }

    fn ended(&mut self, token: FencingToken) {
        log::debug!("usage is no longer reported with the token {token}");
        self.estimated.clear();
    }
}

impl<D: Dialect> UsageDuty<D> {
    /// The duty of the daemon with this state.
    pub fn new(gateway: Arc<Gateway<D>>) -> UsageDuty<D> {
        UsageDuty { gateway, estimated: BTreeSet::new() }
    }

    /// Reads what the last holder wrote, until the store answers; `None` where the settings do not ask for reports.
    async fn resume<C: ControlApi, S: Store>(&mut self, hold: &DutyHold<C, S>) -> Option<UsageJournal> {
        let (checkpoint, records) = loop {
            match read_usage(hold.store()).await {
                Ok(found) => break found,
                Err(error) => log::debug!("the records of usage were not read: {error}"),
            }
            Timer::after(READ_RETRY_DELAY.into()).await;
        };
        self.estimated =
            records.iter().filter(|(_, is_estimated)| *is_estimated).map(|(report, _)| report.window).collect();
        for (report, is_estimated) in &records {
            self.note_written(report, *is_estimated);
        }
        let reports: Vec<UsageReport> = records.into_iter().map(|(report, _)| report).collect();
        let (count, now) = (reports.len(), boot_time());
        let journal = self.gateway.usage().map(|mut usage| {
            let unix = usage.unix(now);
            UsageJournal::resume(checkpoint, reports, &mut usage.collector, unix, now)
        })?;
        log_event!(Event::UsageResumed, fence = hold.token(), window = journal.floor(), records = count);
        Some(journal)
    }

    /// Writes a report to the store. If the store has another one for this window, that one is sent.
    async fn record<C: ControlApi, S: Store>(
        &mut self,
        hold: &DutyHold<C, S>,
        journal: &mut UsageJournal,
        report: UsageReport,
        total: Option<UsageTotal>,
    ) {
        let window = report.window;
        if let Some(total) = total {
            self.log_total(window, &total);
        }
        let is_estimated = self.estimated.contains(&window);
        let error = match write_record(hold, &report, is_estimated).await {
            Ok(_) => {
                self.note_written(&report, is_estimated);
                return journal.recorded(report);
            }
            Err(error) => error,
        };
        if error == DutyError::Store(StoreError::Conflict)
            && let Ok(Some(item)) = hold.get(&UsageRecord::key(window)).await
        {
            match record_of(window, &item.value) {
                Ok((stored, is_estimated)) => {
                    self.note_written(&stored, is_estimated);
                    return journal.recorded(stored);
                }
                Err(reason) => {
                    log_event!(Event::UsageNotRecorded, window = window, reason = reason, repeated = false);
                    return journal.rejected(window);
                }
            }
        }
        log_event!(Event::UsageNotRecorded, window = window, reason = error, repeated = true);
        journal.failed(window, boot_time());
    }

    /// Notes a report that the store has.
    fn note_written(&self, report: &UsageReport, is_estimated: bool) {
        let record = UsageRecord { is_estimated, ..UsageRecord::from(report) };
        if let Some(mut usage) = self.gateway.usage() {
            usage.written.insert(report.window, record);
        }
    }

    fn log_total(&mut self, window: UsageWindow, total: &UsageTotal) {
        let after = self.since_end(window);
        let requests: u64 = total.counts.values().sum();
        for (member, added) in &total.estimated {
            self.estimated.insert(window);
            log_event!(Event::UsageEstimated, window = window, daemon = member, added = added);
        }
        log_event!(
            Event::UsageSettled,
            window = window,
            requests = requests,
            customers = total.counts.len(),
            estimated = total.estimated.len(),
            after = after
        );
    }

    /// Sends a report that the store has.
    async fn send<C: ControlApi, S: Store>(
        &mut self,
        hold: &DutyHold<C, S>,
        journal: &mut UsageJournal,
        report: &UsageReport,
    ) {
        let window = report.window;
        let Err(error) = hold.report_usage(report).await else {
            journal.accepted(window);
            let (after, outcome) = self.outcome(window);
            self.gateway.metrics.usage_windows.get_or_create(&UsageLabels { outcome }).inc();
            return log_event!(Event::UsageReported, window = window, outcome = outcome, after = after);
        };
        let is_final = matches!(error, DutyError::Control(ControlError::Rejected(400..=499)));
        log_event!(Event::UsageNotReported, window = window, reason = error, repeated = !is_final);
        if is_final {
            journal.rejected(window);
        } else {
            journal.failed(window, boot_time());
        }
    }

    fn give_up(&mut self, window: UsageWindow) {
        self.estimated.remove(&window);
        self.gateway.metrics.usage_windows.get_or_create(&UsageLabels { outcome: "missing" }).inc();
        log_event!(Event::UsageGivenUp, window = window);
    }

    /// How long after its end a window's report was accepted, and how that counts.
    fn outcome(&mut self, window: UsageWindow) -> (Millis, &'static str) {
        let after = self.since_end(window);
        let is_estimated = self.estimated.remove(&window);
        let outcome = match () {
            () if after > Millis::from(self.gateway.settings.duties.due) => "late",
            () if is_estimated => "estimated",
            () => "reported",
        };
        (after, outcome)
    }

    fn since_end(&self, window: UsageWindow) -> Millis {
        let usage = self.gateway.usage();
        usage.map_or(Millis(0), |usage| usage.unix(boot_time()).since(usage.collector.settings().end(window)))
    }
}

async fn save<C: ControlApi, S: Store>(
    hold: &DutyHold<C, S>,
    journal: &mut UsageJournal,
    checkpoint: &UsageCheckpoint,
    removals: &[UsageWindow],
) {
    match write_checkpoint(hold, checkpoint, removals).await {
        Ok(_) => journal.checkpointed(removals),
        Err(error) => {
            log::debug!("the checkpoint of usage was not written: {error}");
            journal.checkpoint_failed();
        }
    }
}
