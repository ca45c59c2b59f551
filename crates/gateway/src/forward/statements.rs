//! Records what a runner states about itself in an answer.

use teaselcroft_parts::Millis;

use super::Forwarder;
use crate::dialect::{Dialect, RunnerReply};
use crate::fleet::Placement;
use crate::http::ResponseHead;
use crate::peers::log_limit;
use crate::{Event, log_event};

/// The status (503 Service Unavailable) with which a runner may ask for a pause.
const UNAVAILABLE: u16 = 503;

impl<D: Dialect> Forwarder<'_, D> {
    /// Records the rate limit, the pause and the departure that a runner states in an answer to a request sent at `sent_at`.
    /// A misdirected request was answered by another runner.
    pub(super) fn note_statements(
        &self,
        placement: &Placement,
        head: &ResponseHead,
        reply: &RunnerReply,
        sent_at: Millis,
    ) {
        if self.gateway.dialect.is_misdirected(head.status) {
            return;
        }
        let (key, runner) = (placement.key, &placement.record.name);
        let now = self.gateway.now();
        let is_limit_new = self.gateway.fleet().note_limit(key, reply.rate_limit, sent_at, now);
        if is_limit_new {
            log_limit(runner, reply.rate_limit, "runner");
        }
        let is_leaving_new = reply.is_leaving && self.gateway.fleet().note_leaving(&placement.record, now);
        if is_leaving_new {
            log_event!(Event::RunnerLeft, runner = runner, source = "runner");
        }
        if is_limit_new || is_leaving_new {
            self.gateway.request_heartbeats();
        }
        if let Some(span) = reply.retry_after.filter(|_| head.status == UNAVAILABLE) {
            self.gateway.fleet().hold(&placement.record, span, now);
            log_event!(Event::RunnerHeld, runner = runner, span = span);
        }
    }
}
