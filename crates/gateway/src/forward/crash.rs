//! Records that a runner broke off during a request, which may have crashed it.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};

use async_io::{Async, Timer};
use futures_lite::future::or;

use super::Forwarder;
use super::attempt::CONNECT_TIMEOUT;
use crate::crash_tracker::Suspect;
use crate::dialect::Dialect;
use crate::fleet::{Placement, runner_hash};
use crate::http::PathTimeout;
use crate::http_client::connect;
use crate::{Event, PendingCrash, Prompt, RunnerRecord, log_event};

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
            self.gateway.count_crash(content, runner);
        } else {
            suspicious.push(content);
        }
        let is_down = !suspicious.is_empty()
            && connect(placement.record.address, CONNECT_TIMEOUT, PathTimeout::default()).await.is_err();
        self.log_break(placement, point, is_distinct || is_down);
        if is_down {
            suspicious.into_iter().for_each(|suspect| self.gateway.count_crash(suspect, runner));
        }
        self.log_block(placement);
    }

    /// Whether a stream without a length that ended with its connection, after whole events, was cut by a crash: the runner
    /// accepts no connections. If it does, a later start may still show that it crashed.
    pub(super) async fn was_cut(&self, placement: &Placement) -> bool {
        let record = &placement.record;
        let crash = self.crash_of(record);
        let ended_at = self.gateway.now();
        if self.gateway.fleet().is_leaving(&record.name) {
            return false;
        }
        if !refuses_connections(record.address).await {
            self.gateway.pending_crashes().add_ended(crash, ended_at);
            return false;
        }
        self.log_break(placement, BreakPoint::Stream, true);
        self.gateway.count_pending(&crash);
        self.log_block(placement);
        true
    }

    /// The crash of the runner, if this request turns out to have crashed it.
    pub(super) fn crash_of(&self, record: &RunnerRecord) -> PendingCrash {
        PendingCrash {
            runner: record.name.clone(),
            started_at: record.started_at,
            service: record.service.clone(),
            suspects: self.suspects.clone(),
        }
    }

    fn log_block(&self, placement: &Placement) {
        let is_blocked = self.gateway.is_blocked(&self.suspects);
        if is_blocked {
            log_event!(
                Event::RequestBlocked,
                request = self.job.caller_fields.request_id,
                runner = placement.record.name,
                content = self.content_and_parts().0
            );
        }
    }

    /// Records a whole answer of a runner with this status. A success shows that nothing in the request crashes runners. A
    /// runner that declines the request has read its content, but has not begun to write on its prompt. A runner may fail
    /// a request before it begins with it, which shows nothing.
    pub(super) fn note_complete(&mut self, status: u16) {
        if (200..300).contains(&status) {
            self.note_answered();
        }
        if !judges_content(status) {
            return;
        }
        let (content, _) = self.content_and_parts();
        let now = self.gateway.now();
        if self.gateway.crashes().note_complete(content, now) {
            self.log_cleared(content);
        }
        if self.job.body.is_empty() {
            self.gateway.pending_crashes().note_common(content, now);
        }
    }

    /// Records that the request is being answered, so that no part of its prompt crashes runners.
    pub(super) fn note_answered(&mut self) {
        if std::mem::replace(&mut self.is_cleared, true) {
            return;
        }
        let (_, parts) = self.content_and_parts();
        let cleared = self.gateway.crashes().note_answered(parts, self.gateway.now());
        cleared.into_iter().for_each(|part| self.log_cleared(part));
    }

    fn log_cleared(&self, suspect: Suspect) {
        let kind = if suspect.is_part() { "part" } else { "content" };
        log_event!(Event::CrashesCleared, request = self.job.caller_fields.request_id, suspect = suspect, kind = kind);
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

/// Whether a runner that answers with this status has read the request's content; time-outs, answers for another runner and
/// limits on requests say nothing of it.
fn judges_content(status: u16) -> bool {
    (200..500).contains(&status) && ![408, 421, 429].contains(&status)
}

/// Whether nothing listens at `address`. A connection that is not established in time does not count: the path may be cut,
/// or the runner busy, and its stream was whole.
async fn refuses_connections(address: SocketAddr) -> bool {
    let refused = async {
        matches!(Async::<TcpStream>::connect(address).await, Err(error) if error.kind() == ErrorKind::ConnectionRefused)
    };
    or(refused, async {
        Timer::after(CONNECT_TIMEOUT.into()).await;
        false
    })
    .await
}
