//! Waits for the head of a runner's answer.

use std::pin::pin;

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::Forwarder;
use super::successor::{SEARCH_INTERVAL, Successor};
use crate::RouteKind;
use crate::dialect::{Dialect, RunnerReply};
use crate::fleet::Placement;
use crate::http::{BodyLength, BodyReader, Connection, ResponseHead, response_body};

/// The largest response head accepted from a runner.
const MAX_HEAD_BYTES: usize = 32_768;

/// Answers to earlier requests that are skipped on one connection before it is given up.
const MAX_SKIPPED_ANSWERS: u32 = 3;

/// The most bytes of such answers' bodies; a runner in trouble may send a body without end.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// The most interim responses before an answer.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The shortest wait for an answer before another runner is looked for.
const MIN_ATTEMPT_TIMEOUT: Millis = Millis(150);

/// Why no response head for this request was read.
pub(super) enum HeadFailure {
    Disconnected,
    /// The bytes are no answer, for the stated reason.
    Malformed(&'static str),
    /// No head came in time, and the successor takes over.
    Silent(Box<Successor>),
    Blocked,
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Waits for the head of this request's answer. After `head_timeout` another runner is looked for as well.
    pub(super) async fn wait_for_head(
        &self,
        connection: &mut Connection,
        is_kept: bool,
        placement: &Placement,
    ) -> Result<(ResponseHead, RunnerReply), HeadFailure> {
        let mut read = pin!(self.read_matching_head(connection, is_kept));
        let Some(timeout) = self.head_timeout(placement.pressure) else {
            return read.await;
        };
        if let Some(head) = or(async { Some(read.as_mut().await) }, elapse(timeout)).await {
            return head;
        }
        let mut is_logged = false;
        loop {
            if let Some(successor) = self.find_successor(placement).await {
                return Err(HeadFailure::Silent(successor));
            }
            if !std::mem::replace(&mut is_logged, true) {
                self.log_silence(placement);
            }
            if let Some(head) = or(async { Some(read.as_mut().await) }, elapse(SEARCH_INTERVAL)).await {
                return head;
            }
        }
    }

    /// Reads the head of this request's answer; skips interim responses and late answers to earlier requests. Runners
    /// repeat the request's id, so that on a connection which is kept an answer without an id may be to an earlier one.
    async fn read_matching_head(
        &self,
        connection: &mut Connection,
        is_kept: bool,
    ) -> Result<(ResponseHead, RunnerReply), HeadFailure> {
        let (mut skipped, mut interim, mut skipped_bytes) = (0, 0, 0);
        loop {
            let head = read_head(connection).await?;
            if head.status < 200 {
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(HeadFailure::Malformed("too many interim responses"));
                }
                continue;
            }
            let reply = self.gateway.dialect.reply(&head.fields);
            let is_for_other = match reply.request_id.as_deref() {
                Some(id) => id != self.job.caller_fields.request_id,
                None => is_kept,
            };
            if !is_for_other {
                return Ok((head, reply));
            }
            let length = response_body("GET", &head)
                .map_err(|_| HeadFailure::Malformed("an answer to another request is malformed"))?;
            if length == BodyLength::UntilClose || skipped >= MAX_SKIPPED_ANSWERS {
                return Err(HeadFailure::Malformed("answers to other requests do not end"));
            }
            skipped += 1;
            let (mut reader, mut body) = (BodyReader::new(length), Vec::new());
            while reader.next(connection, &mut body).await.map_err(|_| HeadFailure::Disconnected)? {
                skipped_bytes += body.len();
                if skipped_bytes > MAX_SKIPPED_BYTES {
                    return Err(HeadFailure::Malformed("answers to other requests are too long"));
                }
                body.clear();
            }
        }
    }

    /// How long to wait for the head of this runner's answer before another runner is looked for; `None` if none may be.
    /// A stream also gets the time for the prompt tokens queued at the runner, since it would queue anew elsewhere.
    fn head_timeout(&self, pressure: Millis) -> Option<Millis> {
        let route = &self.job.route;
        if !self.allows_attempt() {
            return None;
        }
        let left = self.job.deadline.since(self.gateway.now());
        let span = match route.kind {
            RouteKind::Streaming => Millis((route.target.0 + pressure.0) * 2),
            _ => Millis(route.target.0.min(left.0 * 2 / 5)),
        };
        Some(span.max(MIN_ATTEMPT_TIMEOUT))
    }
}

/// Returns `None` after `span`.
async fn elapse<T>(span: Millis) -> Option<T> {
    Timer::after(span.into()).await;
    None
}

async fn read_head(connection: &mut Connection) -> Result<ResponseHead, HeadFailure> {
    loop {
        let parsed = ResponseHead::parse(connection.bytes(), MAX_HEAD_BYTES)
            .map_err(|_| HeadFailure::Malformed("the head is malformed or too long"))?;
        if let Some((head, used)) = parsed {
            connection.consume(used);
            return Ok(head);
        }
        if connection.fill().await.map_err(|_| HeadFailure::Disconnected)? == 0 {
            return Err(HeadFailure::Disconnected);
        }
    }
}
