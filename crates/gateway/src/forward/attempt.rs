//! One attempt: sends a request to one runner and relays its answer.

use std::fmt;
use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::Forwarder;
use super::answer_head::HeadFailure;
use super::crash::BreakPoint;
use super::in_flight::InFlight;
use super::open_connection::OpenConnection;
use super::pending_attempt::PendingAttempt;
use super::run_count::RunCount;
use super::successor::Successor;
use crate::dialect::{Dialect, RunnerFields, RunnerReply};
use crate::fleet::Placement;
use crate::http::{
    BodyError, BodyLength, BodyReader, Connection, PathTimeout, ResponseHead, is_hop_by_hop, response_body,
};
use crate::http_client::connect;
use crate::{Event, RouteKind, log_event};

/// How long connecting to a runner may take.
pub(super) const CONNECT_TIMEOUT: Millis = Millis(300);

/// The largest body of an answer that is buffered before it is relayed.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// The longest idle time of a pooled connection that may carry a request which must not be retried.
const MAX_IDLE_UNSAFE: Millis = Millis(800);

/// The longest idle time of a pooled connection that may carry a repeatable request.
const MAX_IDLE_REPEATABLE: Millis = Millis(30_000);

/// The outcome of one attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The complete answer was sent to the caller.
    Complete,
    /// The caller closed its connection, or it broke.
    CallerGone,
    /// No connection to the runner could be made, so no byte of the request was sent.
    Unreachable,
    /// The runner states that it did not execute the request.
    NotExecuted,
    /// The runner may have executed it, and nothing new was sent to the caller. The answer, if any, is relayed when no
    /// further attempt is made.
    Failed(Option<Box<(ResponseHead, Vec<u8>)>>),
    /// The runner fell silent, and the successor takes over; the runner may still execute the request.
    Silent(Box<Successor>),
    /// The request was withdrawn from the runner, since what it carries crashes runners.
    Withdrawn,
    /// The answer ended early, after a part was sent to the caller.
    Truncated,
}

impl AttemptOutcome {
    pub fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Complete => "whole",
            AttemptOutcome::CallerGone => "caller gone",
            AttemptOutcome::Unreachable => "runner not reached",
            AttemptOutcome::NotExecuted => "not run",
            AttemptOutcome::Failed(Some(_)) => "failure status",
            AttemptOutcome::Failed(None) => "no usable answer",
            AttemptOutcome::Silent(_) => "runner silent",
            AttemptOutcome::Withdrawn => "withdrawn",
            AttemptOutcome::Truncated => "stream broke off",
        }
    }
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Sends the request to the placement's runner, on `opened` if it is connected already, and relays the answer.
    pub(super) async fn attempt(&mut self, placement: &Placement, opened: Option<OpenConnection>) -> AttemptOutcome {
        let opened = match opened {
            Some(opened) => Some(opened),
            None => self.open_connection(placement).await,
        };
        let Some(OpenConnection { mut connection, is_kept }) = opened else {
            return AttemptOutcome::Unreachable;
        };
        let mut in_flight = InFlight::begin(self.gateway, placement.key, placement.prefill_tokens);
        if let Some(prompt) = &self.job.caller_fields.prompt {
            self.gateway.fleet().note_cached(placement.key, prompt, self.gateway.now());
        }
        let message = self.encode(placement);
        let sent_at = self.gateway.now();
        self.caller.set_dispatched(true);
        self.executions += 1;
        let crash = self.crash_of(&placement.record);
        self.pending = Some(PendingAttempt::begin(self.gateway, crash, self.job.route.target, self.job.deadline));
        let customer = self.job.customer.as_ref().map(|customer| &customer.name);
        let mut run = RunCount::sent(self.gateway, customer, sent_at);
        let (written, write_failed) = (AtomicBool::new(false), AtomicBool::new(false));
        let socket = connection.socket().clone();
        let write = async {
            let is_whole = (&*socket).write_all(&message).await.is_ok();
            if is_whole { &written } else { &write_failed }.store(true, Ordering::Relaxed);
            pending().await
        };
        let block = async {
            self.gateway.wait_for_block(&self.suspects).await;
            Err(HeadFailure::Blocked)
        };
        let head = or(write, or(self.wait_for_head(&mut connection, is_kept, placement), block)).await;
        let (head, reply) = match head {
            Ok(answer) => answer,
            Err(failure) => return self.note_head_failure(placement, failure).await,
        };
        self.note_head(placement, &head, sent_at);
        let is_reusable = written.load(Ordering::Relaxed);
        if write_failed.load(Ordering::Relaxed) {
            connection.note_failed_write();
        }
        self.note_statements(placement, &head, &reply, sent_at);
        if reply.not_run || self.gateway.dialect.is_misdirected(head.status) {
            run.not_run();
            self.executions -= 1;
            self.caller.set_dispatched(self.executions > 0);
            return AttemptOutcome::NotExecuted;
        }
        let Ok(length) = response_body(&self.job.head.method, &head) else {
            return AttemptOutcome::Failed(None);
        };
        let is_matching =
            reply.is_signed && reply.request_id.as_deref() == Some(self.job.caller_fields.request_id.as_str());
        let is_encoded = head.fields.text("content-encoding").is_some();
        if head.is_success() && (!is_matching || is_encoded) {
            return AttemptOutcome::Failed(None);
        }
        if head.is_success() && self.job.route.kind == RouteKind::Streaming {
            let idle_timeout = idle_timeout(&head);
            let outcome = self.relay(placement, head, length, &mut connection, &mut in_flight, &mut run).await;
            if matches!(outcome, AttemptOutcome::Complete) && is_reusable && length != BodyLength::UntilClose {
                self.return_connection(placement, connection, idle_timeout);
            }
            return outcome;
        }
        // A model request begins with its first event, and this answer has none.
        if self.job.route.kind == RouteKind::Streaming {
            run.not_run();
        } else {
            run.answered();
        }
        self.relay_buffered(placement, connection, head, reply, length, is_reusable).await
    }

    /// Records that the runner lives, as the head of an answer arrived.
    fn note_head(&self, placement: &Placement, head: &ResponseHead, sent_at: Millis) {
        self.gateway.fleet().answered(placement.key);
        if self.gateway.dialect.is_misdirected(head.status) {
            return;
        }
        let now = self.gateway.now();
        let mut pending = self.gateway.pending_crashes();
        pending.note_answer(&placement.record, sent_at);
        pending.note_alive(&placement.record, now);
    }

    async fn note_head_failure(&mut self, placement: &Placement, failure: HeadFailure) -> AttemptOutcome {
        match failure {
            HeadFailure::Blocked => return AttemptOutcome::Withdrawn,
            HeadFailure::Disconnected => self.record_crash(placement, BreakPoint::Head).await,
            HeadFailure::Malformed(reason) => self.log_cut_off(placement, reason),
            HeadFailure::Silent(successor) => {
                self.pending = None;
                return AttemptOutcome::Silent(successor);
            }
        }
        AttemptOutcome::Failed(None)
    }

    async fn relay_buffered(
        &mut self,
        placement: &Placement,
        mut connection: Connection,
        head: ResponseHead,
        reply: RunnerReply,
        length: BodyLength,
        is_reusable: bool,
    ) -> AttemptOutcome {
        let mut reader = BodyReader::new(length);
        let mut body = Vec::new();
        let mut reservation = self.gateway.body_memory.reservation();
        loop {
            match reader.next(&mut connection, &mut body).await {
                Ok(true) if body.len() <= MAX_BUFFERED_BYTES && reservation.grow_to(body.len() as u64) => {}
                Ok(false) => break,
                Ok(true) => {
                    self.log_cut_off(placement, "the body is too long");
                    return AttemptOutcome::Failed(None);
                }
                Err(BodyError::Incomplete) => {
                    self.record_crash(placement, BreakPoint::Body).await;
                    return AttemptOutcome::Failed(None);
                }
                Err(error) => {
                    self.log_cut_off(placement, error);
                    return AttemptOutcome::Failed(None);
                }
            }
        }
        let idle_timeout = idle_timeout(&head);
        if length != BodyLength::UntilClose {
            if reply.is_signed {
                self.note_complete(head.status);
            }
            if is_reusable {
                self.return_connection(placement, connection, idle_timeout);
            }
        }
        if head.status >= 500 {
            // Without the runner's signature header the caller would take a 503 for the gateway's own, which says that
            // nothing was executed.
            let answer = (reply.is_signed || head.status != 503).then(|| Box::new((head, body)));
            return AttemptOutcome::Failed(answer);
        }
        if self.caller.is_started() {
            return AttemptOutcome::Truncated;
        }
        match self.caller.send_response(&head, &body).await {
            Ok(()) => AttemptOutcome::Complete,
            Err(_) => AttemptOutcome::CallerGone,
        }
    }

    /// An open connection to the runner; `None` if none can be made.
    pub(super) async fn open_connection(&self, placement: &Placement) -> Option<OpenConnection> {
        let now = self.gateway.now();
        let max_idle = if self.job.route.is_repeatable() { MAX_IDLE_REPEATABLE } else { MAX_IDLE_UNSAFE };
        let pooled = self.gateway.pool().take(placement.key, max_idle, now);
        if let Some(connection) = pooled {
            return Some(OpenConnection { connection, is_kept: true });
        }
        self.gateway.metrics.connects.inc();
        match connect(placement.record.address, CONNECT_TIMEOUT, PathTimeout::default()).await {
            Ok(connection) => Some(OpenConnection { connection, is_kept: false }),
            Err(error) => {
                let span = self.gateway.fleet().avoid(placement.key, self.gateway.now());
                log_event!(Event::RunnerAvoided, runner = placement.record.name, reason = error, span = span);
                None
            }
        }
    }

    /// Returns a connection to the pool, if the runner keeps it open.
    fn return_connection(&self, placement: &Placement, connection: Connection, idle_timeout: Option<Option<Millis>>) {
        if let Some(idle_timeout) = idle_timeout {
            self.gateway.pool().put(placement.key, connection, idle_timeout, self.gateway.now());
        }
    }

    /// Logs why a runner's bytes are not read further.
    pub(super) fn log_cut_off(&self, placement: &Placement, reason: impl fmt::Display) {
        log_event!(
            Event::AnswerCutOff,
            request = self.job.caller_fields.request_id,
            runner = placement.record.name,
            reason = reason
        );
    }

    /// Encodes the request for this runner: the caller's head without hop-by-hop and withheld fields, the platform's
    /// own fields, and the body.
    fn encode(&self, placement: &Placement) -> Vec<u8> {
        let job = &self.job;
        let mut bytes = Vec::with_capacity(1_024 + job.body.len());
        bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", job.head.method, job.head.target).as_bytes());
        let connection_fields: Vec<&[u8]> =
            job.head.fields.all("connection").flat_map(|value| value.split(|byte| *byte == b',')).collect();
        for (name, value) in job.head.fields.iter() {
            let is_named = connection_fields.iter().any(|field| field.trim_ascii().eq_ignore_ascii_case(name));
            if is_hop_by_hop(name) || is_named && !name.eq_ignore_ascii_case(b"host") {
                continue;
            }
            if self.gateway.dialect.is_withheld(name) || name.eq_ignore_ascii_case(b"expect") {
                continue;
            }
            bytes.extend_from_slice(name);
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        let fields = RunnerFields {
            request_id: &job.caller_fields.request_id,
            time_left: job.deadline.since(self.gateway.now()),
            runner: &placement.record.name,
            customer: job.customer.as_ref().map(|customer| &customer.name),
            priority: job.caller_fields.prompt.as_ref().map(|_| job.priority()),
            fetch_from: placement.fetch_from,
            resume_after: self.events.last_id().or(job.caller_fields.resume_after.as_deref()),
        };
        self.gateway.dialect.write_runner_fields(&fields, &mut bytes);
        let has_length = !job.body.is_empty() || !matches!(job.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if has_length {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", job.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&job.body);
        bytes
    }
}

/// The runner's idle timeout: `None` if it closes the connection, `Some(None)` if it keeps it and states no timeout.
fn idle_timeout(head: &ResponseHead) -> Option<Option<Millis>> {
    if !head.keeps_alive() {
        return None;
    }
    let stated = head.fields.text("keep-alive").and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    Some(stated.map(|seconds| Millis(seconds * 1_000)))
}
