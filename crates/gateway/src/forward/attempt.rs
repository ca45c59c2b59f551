//! One send of a request to one runner.

use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};

use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::Forwarder;
use super::under_way::UnderWay;
use crate::dialect::{Dialect, RunnerFields, RunnerReply};
use crate::fleet::{Placement, runner_hash};
use crate::heartbeat::Crash;
use crate::http::{BodyLength, BodyReader, Inbound, ResponseHead, is_hop_by_hop, response_body};
use crate::http_client::connect;
use crate::{Event, RouteKind, record};

/// The longest time for a runner to accept a connection.
const CONNECT_TIME: Millis = Millis(300);

/// Bytes of a runner's head.
const MAX_HEAD_BYTES: usize = 32_768;

/// Bytes of an answer that is kept whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// Late answers to earlier requests that are skipped on one connection.
const MOST_SKIPPED: u32 = 3;

/// The longest idle time of a connection that carries a request which must not be sent twice.
const UNSAFE_IDLE: Millis = Millis(800);

/// The longest idle time of a connection that carries a request which may be sent twice.
const REPEATABLE_IDLE: Millis = Millis(30_000);

/// The least time that a runner gets before a repeatable request goes to another.
const LEAST_ATTEMPT: Millis = Millis(150);

/// What came of one send.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The caller has the whole answer.
    Whole,
    /// The caller's connection broke.
    CallerGone,
    /// No byte of the request left this VM.
    Unreached,
    /// The runner states that it did not run the request.
    NotRun,
    /// The runner may have run it, and the caller was sent nothing; an answer is passed on if no other is had.
    Failed(Option<Box<(ResponseHead, Vec<u8>)>>),
    /// The answer broke off after a part was passed on.
    Cut,
}

impl Attempt {
    pub fn name(&self) -> &'static str {
        match self {
            Attempt::Whole => "whole",
            Attempt::CallerGone => "caller gone",
            Attempt::Unreached => "runner not reached",
            Attempt::NotRun => "not run",
            Attempt::Failed(Some(_)) => "failure status",
            Attempt::Failed(None) => "no usable answer",
            Attempt::Cut => "stream broke off",
        }
    }
}

/// Why no head of this request's answer was read.
enum HeadFailure {
    Broke,
    Garbled,
    Slow,
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Sends the request to the placement's runner and passes the answer on.
    pub(super) async fn attempt(&mut self, placement: &Placement) -> Attempt {
        let Some(mut inbound) = self.connection(placement).await else {
            return Attempt::Unreached;
        };
        let mut under_way = UnderWay::begin(self.gate, placement.key, placement.reading);
        if let Some(prompt) = &self.job.caller.prompt {
            self.gate.fleet().cached(placement.key, prompt, self.gate.now());
        }
        let message = self.encode(placement);
        self.caller.note_offer(true);
        self.runs += 1;
        let written = AtomicBool::new(false);
        let socket = inbound.socket().clone();
        let write = async {
            if (&*socket).write_all(&message).await.is_ok() {
                written.store(true, Ordering::Relaxed);
            }
            pending().await
        };
        let head = or(write, self.answer_head(&mut inbound, placement.pressure)).await;
        let (head, reply) = match head {
            Ok(answer) => answer,
            Err(failure) => {
                if matches!(failure, HeadFailure::Broke) {
                    self.note_crash(placement);
                }
                return Attempt::Failed(None);
            }
        };
        self.gate.fleet().answered(placement.key);
        let is_reusable = written.load(Ordering::Relaxed);
        if reply.not_run || self.gate.dialect.means_other_runner(head.status) {
            self.runs -= 1;
            self.caller.note_offer(self.runs > 0);
            return Attempt::NotRun;
        }
        let Ok(length) = response_body(&self.job.head.method, &head) else {
            return Attempt::Failed(None);
        };
        let is_ours = reply.is_signed && reply.request.as_deref() == Some(self.job.caller.request.as_str());
        let is_encoded = head.fields.text("content-encoding").is_some();
        if head.is_success() && (!is_ours || is_encoded) {
            return Attempt::Failed(None);
        }
        if head.is_success() && self.job.route.kind == RouteKind::Streaming {
            let keep = keep_time(&head);
            let attempt = self.relay(placement, head, length, &mut inbound, &mut under_way).await;
            if matches!(attempt, Attempt::Whole) && is_reusable && length != BodyLength::UntilClose {
                self.keep_connection(placement, inbound, keep);
            }
            return attempt;
        }
        self.whole_answer(placement, inbound, head, reply, length, is_reusable).await
    }

    async fn whole_answer(
        &mut self,
        placement: &Placement,
        mut inbound: Inbound,
        head: ResponseHead,
        reply: RunnerReply,
        length: BodyLength,
        is_reusable: bool,
    ) -> Attempt {
        let mut reader = BodyReader::new(length);
        let mut body = Vec::new();
        loop {
            match reader.next(&mut inbound, &mut body).await {
                Ok(true) if body.len() <= MAX_WHOLE_BYTES => {}
                Ok(false) => break,
                Ok(true) | Err(_) => return Attempt::Failed(None),
            }
        }
        let keep = keep_time(&head);
        if is_reusable && length != BodyLength::UntilClose {
            self.keep_connection(placement, inbound, keep);
        }
        if head.status >= 500 {
            // Without its signature a 503 would be taken as this gateway's own word that nothing ran.
            let answer = (reply.is_signed || head.status != 503).then(|| Box::new((head, body)));
            return Attempt::Failed(answer);
        }
        if self.caller.is_started() {
            return Attempt::Cut;
        }
        match self.caller.whole(&head, &body).await {
            Ok(()) => Attempt::Whole,
            Err(_) => Attempt::CallerGone,
        }
    }

    async fn connection(&self, placement: &Placement) -> Option<Inbound> {
        let now = self.gate.now();
        let longest = if self.job.route.is_repeatable() { REPEATABLE_IDLE } else { UNSAFE_IDLE };
        let pooled = self.gate.pool().take(placement.key, longest, now);
        if pooled.is_some() {
            return pooled;
        }
        self.gate.metrics.connects.inc();
        match connect(placement.record.address, CONNECT_TIME).await {
            Ok(inbound) => Some(inbound),
            Err(error) => {
                let span = self.gate.fleet().avoid(placement.key, self.gate.now());
                record!(Event::RunnerAvoided, runner = placement.record.name, reason = error, span = span);
                None
            }
        }
    }

    fn keep_connection(&self, placement: &Placement, inbound: Inbound, keep: Option<Option<Millis>>) {
        if let Some(keep) = keep {
            self.gate.pool().put(placement.key, inbound, keep, self.gate.now());
        }
    }

    /// The head of this request's answer; late answers to other requests are skipped.
    async fn answer_head(
        &self,
        inbound: &mut Inbound,
        pressure: Millis,
    ) -> Result<(ResponseHead, RunnerReply), HeadFailure> {
        let reading = self.read_answer_head(inbound);
        let Some(patience) = self.attempt_time(pressure) else {
            return reading.await;
        };
        or(reading, async {
            Timer::after(patience.into()).await;
            Err(HeadFailure::Slow)
        })
        .await
    }

    async fn read_answer_head(&self, inbound: &mut Inbound) -> Result<(ResponseHead, RunnerReply), HeadFailure> {
        let mut skipped = 0;
        loop {
            let head = read_head(inbound).await?;
            if head.status < 200 {
                continue;
            }
            let reply = self.gate.dialect.reply(&head.fields);
            let is_late = reply.request.as_deref().is_some_and(|id| id != self.job.caller.request);
            if !is_late {
                return Ok((head, reply));
            }
            let length = response_body("GET", &head).map_err(|_| HeadFailure::Garbled)?;
            if length == BodyLength::UntilClose || skipped >= MOST_SKIPPED {
                return Err(HeadFailure::Garbled);
            }
            skipped += 1;
            let (mut reader, mut body) = (BodyReader::new(length), Vec::new());
            while reader.next(inbound, &mut body).await.map_err(|_| HeadFailure::Broke)? {
                body.clear();
            }
        }
    }

    /// How long this runner gets for its answer's head, where another one could be asked. A stream that waits behind
    /// what the runner has to read would only wait anew elsewhere.
    fn attempt_time(&self, pressure: Millis) -> Option<Millis> {
        let route = &self.job.route;
        if !route.is_repeatable() || self.runs >= route.max_attempts {
            return None;
        }
        let left = self.job.deadline.since(self.gate.now());
        let span = match route.kind {
            RouteKind::Streaming => Millis((route.target.0 + pressure.0) * 2),
            _ => Millis(route.target.0.min(left.0 * 2 / 5)),
        };
        Some(span.max(LEAST_ATTEMPT))
    }

    /// Notes that the runner broke off; a request without a body is the same for many callers and is not suspected.
    pub(super) fn note_crash(&self, placement: &Placement) {
        if !self.job.body.is_empty() {
            let runner = runner_hash(&placement.record.name, placement.record.started_at);
            self.gate.crashes().note(Crash { content: self.content, runner }, true, self.gate.now());
            let is_suspect = self.gate.crashes().is_suspect(self.content);
            if is_suspect {
                self.gate.request_heartbeats();
            }
        }
    }

    /// The request as this runner gets it.
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
            if self.gate.dialect.is_withheld(name) || name.eq_ignore_ascii_case(b"expect") {
                continue;
            }
            bytes.extend_from_slice(name);
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        let fields = RunnerFields {
            request: &job.caller.request,
            patience: job.deadline.since(self.gate.now()),
            runner: &placement.record.name,
            customer: job.customer.as_ref().map(|customer| &customer.name),
            priority: job.caller.prompt.as_ref().map(|_| job.priority()),
            fetch_from: placement.fetch_from,
            resume_after: self.events.last_id().or(job.caller.resume_after.as_deref()),
        };
        self.gate.dialect.write_runner_fields(&fields, &mut bytes);
        let has_length = !job.body.is_empty() || !matches!(job.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if has_length {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", job.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&job.body);
        bytes
    }
}

async fn read_head(inbound: &mut Inbound) -> Result<ResponseHead, HeadFailure> {
    loop {
        let parsed = ResponseHead::parse(inbound.bytes(), MAX_HEAD_BYTES).map_err(|_| HeadFailure::Garbled)?;
        if let Some((head, used)) = parsed {
            inbound.consume(used);
            return Ok(head);
        }
        if inbound.fill().await.map_err(|_| HeadFailure::Broke)? == 0 {
            return Err(HeadFailure::Broke);
        }
    }
}

/// Whether the runner keeps the connection, and for how long if it says so.
fn keep_time(head: &ResponseHead) -> Option<Option<Millis>> {
    if !head.keeps_alive() {
        return None;
    }
    let stated = head.fields.text("keep-alive").and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    Some(stated.map(|seconds| Millis(seconds * 1_000)))
}
