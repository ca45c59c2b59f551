//! Handles the end of a granted request: frees its runner and tracks crashes.

use teaselcroft_parts::{Fingerprint, Millis};

use super::{DispatchAction, Dispatcher, RequestKey};
use crate::{EndKind, Outcome, RunnerKey};

impl Dispatcher {
    /// Frees the runner of a request that ran since `since`, and learns its hold time if it is
    /// done.
    pub(super) fn release_runner(
        &mut self,
        key: RequestKey,
        runner: Option<RunnerKey>,
        since: Millis,
        preempting: bool,
        now: Millis,
        outcome: Outcome,
    ) {
        let Some(entry) = self.requests.get(key) else {
            return;
        };
        let tier = entry.request.rule.tier;
        self.running.remove(&(tier, since, key));
        self.non_urgent -= u32::from(!tier.is_urgent());
        self.preempting -= u32::from(preempting);
        if outcome.kind == EndKind::Done {
            self.hold_times.record(&entry.request.class, now.since(since));
        }
        if let Some(runner) = runner {
            self.pool.record_end(runner, tier.is_urgent());
            if entry.suspect {
                self.pool.count_suspect(runner, false);
            }
        }
    }

    /// Updates the health of the runner and the crash record of the request by how it ended.
    ///
    /// A refused connection or a crash takes the runner out of use for a while.
    pub(super) fn apply_outcome(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: Option<RunnerKey>,
        outcome: Outcome,
    ) -> Option<DispatchAction> {
        let fingerprint = self.requests.get(key)?.request.fingerprint;
        match outcome.kind {
            EndKind::Done => self.suspects.clear(fingerprint),
            EndKind::Refused => self.pool.mark_down(runner?, now + self.settings.down_for),
            EndKind::Broken => return self.record_crash(now, runner?, fingerprint),
            EndKind::Cancelled | EndKind::Silent => {}
        }
        None
    }

    /// Records that a runner crashed while it ran `fingerprint`; condemns the content if this
    /// proves that it crashes runners.
    pub(super) fn record_crash(
        &mut self,
        now: Millis,
        runner: RunnerKey,
        fingerprint: Fingerprint,
    ) -> Option<DispatchAction> {
        let alone = self.pool.record_crash(now, runner) == 1;
        self.pool.mark_down(runner, now + self.settings.down_for);
        let condemned = self.suspects.record_crash(fingerprint, alone, self.settings.isolated_crashes);
        condemned.then_some(DispatchAction::Condemn { fingerprint })
    }
}
