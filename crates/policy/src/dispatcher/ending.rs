//! What follows from how a request left its runner.

use teaselcroft_parts::{Fingerprint, Millis};

use super::{DispatchAction, Dispatcher, RequestKey};
use crate::{EndKind, Outcome, RunnerKey};

impl Dispatcher {
    pub(super) fn end(
        &mut self,
        key: RequestKey,
        runner: Option<RunnerKey>,
        since: Millis,
        preempting: bool,
        now: Millis,
        outcome: Outcome,
    ) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let tier = place.request.rule.tier;
        self.running.remove(&(tier, since, key));
        self.lesser -= u32::from(!tier.is_urgent());
        self.preempting -= u32::from(preempting);
        if outcome.kind == EndKind::Done {
            self.holds.record(&place.request.class, now.since(since));
        }
        if let Some(runner) = runner {
            self.pool.end(runner, tier.is_urgent());
            if place.suspect {
                self.pool.count_suspect(runner, false);
            }
        }
    }

    /// Draws conclusions about the runner and the request from how it ended.
    pub(super) fn judge(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: Option<RunnerKey>,
        outcome: Outcome,
    ) -> Option<DispatchAction> {
        let fingerprint = self.places.get(key)?.request.fingerprint;
        match outcome.kind {
            EndKind::Done => self.suspects.cleared(fingerprint),
            EndKind::Refused => self.pool.down(runner?, now + self.settings.down_for),
            EndKind::Broken => return self.judge_break(now, runner?, fingerprint),
            EndKind::Cancelled | EndKind::Silent => {}
        }
        None
    }

    pub(super) fn judge_break(
        &mut self,
        now: Millis,
        runner: RunnerKey,
        fingerprint: Fingerprint,
    ) -> Option<DispatchAction> {
        let alone = self.pool.note_break(now, runner) == 1;
        self.pool.down(runner, now + self.settings.down_for);
        let condemned = self.suspects.crashed(fingerprint, alone, self.settings.alone_crashes);
        condemned.then_some(DispatchAction::Condemn { fingerprint })
    }
}
