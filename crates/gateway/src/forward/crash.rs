//! Records that a runner broke off during a request, which may have crashed it.

use super::Forwarder;
use super::attempt::CONNECT_TIMEOUT;
use crate::crash_tracker::Suspect;
use crate::dialect::Dialect;
use crate::fleet::{Placement, runner_hash};
use crate::http::PathTimeout;
use crate::http_client::connect;
use crate::{Event, Prompt, log_event};

/// How far an answer had come when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BreakPoint {
    /// No complete head had arrived.
    Head,
    /// A body that is buffered was incomplete.
    Body,
    /// A stream had begun.
    Stream,
}

impl BreakPoint {
    const fn name(self) -> &'static str {
        match self {
            BreakPoint::Head => "head",
            BreakPoint::Body => "body",
            BreakPoint::Stream => "stream",
        }
    }
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Records that the runner's connection broke during this request. The content of a request without a body, which many
    /// callers send alike, counts only if the runner accepts no connections afterwards; so do parts of the prompt, unless
    /// the request was being answered.
    pub(super) async fn record_crash(&self, placement: &Placement, point: BreakPoint) {
        let (content, parts) = self.content_and_parts();
        let runner = runner_hash(&placement.record.name, placement.record.started_at);
        let now = self.gateway.now();
        let mut suspicious: Vec<Suspect> = {
            let crashes = self.gateway.crashes();
            parts.iter().filter(|part| !self.is_cleared && crashes.is_suspicious(**part, now)).copied().collect()
        };
        let is_distinct = !self.job.body.is_empty();
        if is_distinct {
            self.note_crash(content, runner);
        } else {
            suspicious.push(content);
        }
        let is_down = !suspicious.is_empty()
            && connect(placement.record.address, CONNECT_TIMEOUT, PathTimeout::default()).await.is_err();
        self.log_break(placement, point, is_distinct || is_down);
        if is_down {
            suspicious.into_iter().for_each(|suspect| self.note_crash(suspect, runner));
        }
        let is_blocked = self.gateway.is_blocked(&self.suspects);
        if is_blocked {
            log_event!(
                Event::RequestBlocked,
                request = self.job.caller_fields.request_id,
                runner = placement.record.name,
                content = content
            );
        }
    }

    fn note_crash(&self, suspect: Suspect, runner: u64) {
        self.gateway.note_crash(suspect.crash_of(runner), true);
        if suspect.is_part() || self.gateway.crashes().is_nearly_proven(suspect) {
            self.gateway.request_heartbeats();
        }
    }

    /// Records a whole answer of a runner, which shows that the request does not crash runners.
    pub(super) fn note_complete(&mut self) {
        self.note_answered();
        let (content, _) = self.content_and_parts();
        self.gateway.crashes().note_complete(content, self.gateway.now());
    }

    fn log_break(&self, placement: &Placement, point: BreakPoint, is_counted: bool) {
        let parts = self.job.caller_fields.prompt.as_ref().map_or(&[][..], Prompt::shared);
        log_event!(
            Event::RunnerBrokeOff,
            request = self.job.caller_fields.request_id,
            runner = placement.record.name,
            content = self.content_and_parts().0,
            point = point.name(),
            counted = is_counted,
            events = self.events.count(),
            parts = parts.iter().map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
        );
    }
}
