//! Forwards one request to runners, with retries, and relays the answer to the caller.

mod answer_head;
mod attempt;
mod crash;
mod in_flight;
mod open_connection;
mod pending_attempt;
mod relay;
mod run_count;
mod statements;
mod successor;

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use teaselcroft_parts::Millis;

use crate::caller::{Caller, CallerGone};
use crate::crash_tracker::Suspect;
use crate::dialect::Dialect;
use crate::events_stream::EventStream;
use crate::fleet::{Choice, Placement};
use crate::gateway::Gateway;
use crate::http::{Reply, ResponseHead};
use crate::job::Job;
use crate::placer::place;
use crate::{Event, Prompt, log_event};
use attempt::AttemptOutcome;
use pending_attempt::PendingAttempt;
use successor::Successor;

/// Failed connection attempts after which a request is given up.
const MAX_UNREACHABLE: u32 = 4;

/// Runners that decline a request before it is refused.
const MAX_REJECTIONS: u32 = 2;

/// A retry needs more time than this before the deadline; with less it would only waste a runner's work.
const MIN_RETRY_TIME: Millis = Millis(40);

/// How long requests that reach a daemon as it starts wait for the first list of runners, and how often they check.
const LIST_WAIT: Millis = Millis(1_000);
const LIST_POLL_INTERVAL: Millis = Millis(15);

/// Mean `Retry-After` while no runner is available; jitter keeps callers from returning all at once.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(400);

/// Mean `Retry-After` while all runners are full: some of the requests in flight have ended by then.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(1_500);

/// Mean `Retry-After` for a request that crashed several runners.
const RETRY_AFTER_CRASHES: Duration = Duration::from_secs(30);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A runner's complete answer was sent to the caller.
    Answered,
    /// The gateway refused it; no runner has run it.
    Refused,
    /// The caller got an error answer; a runner may have run the request.
    Failed,
    /// The answer ended early, after a part was sent.
    Truncated,
    /// The caller closed its connection.
    CallerLeft,
    /// Its deadline passed before any part of an answer was sent.
    TimedOut,
}

impl Ending {
    /// The ending's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Ending::Answered => "answered",
            Ending::Refused => "refused",
            Ending::Failed => "failed",
            Ending::Truncated => "cut",
            Ending::CallerLeft => "caller-left",
            Ending::TimedOut => "timed-out",
        }
    }
}

/// Forwards one request to runners, with retries, and relays the answer to the caller.
pub struct Forwarder<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    caller: &'a Caller,
    /// The request and the runners tried so far.
    pub job: Job,
    /// Its content, then the parts of its prompt that other requests may share.
    suspects: Arc<[Suspect]>,
    /// Whether an answer has shown that the parts of the prompt crash no runner.
    is_cleared: bool,
    /// The head of the first stream that a runner began; resumed streams keep it.
    head: Option<ResponseHead>,
    events: EventStream,
    /// The attempt that waits for its answer.
    pending: Option<PendingAttempt<'a, D>>,
    /// The runner that takes over from a silent one.
    successor: Option<Successor>,
    /// Attempts in which the runner may have executed the request.
    executions: u32,
    unreachable: u32,
    rejections: u32,
}

impl<'a, D: Dialect> Forwarder<'a, D> {
    /// Prepares to forward a request that no runner has received yet.
    pub fn new(gateway: &'a Gateway<D>, caller: &'a Caller, job: Job) -> Forwarder<'a, D> {
        let events = EventStream::default();
        let parts = job.caller_fields.prompt.as_ref().map_or(&[][..], Prompt::shared);
        let suspects = iter::once(Suspect::Content(job.content_hash()))
            .chain(parts.iter().map(|part| Suspect::Part(part.id)))
            .collect();
        Forwarder {
            gateway,
            caller,
            job,
            suspects,
            is_cleared: false,
            head: None,
            events,
            pending: None,
            successor: None,
            executions: 0,
            unreachable: 0,
            rejections: 0,
        }
    }

    /// Forwards the request to one runner after another until it ends; the deadline is up to the calling code.
    pub async fn run(&mut self) -> Ending {
        if self.is_blocked() {
            return self.refuse("it crashed runners", RETRY_AFTER_CRASHES).await;
        }
        self.gateway.retries().count_request(&self.job.service, self.gateway.now());
        self.wait_for_runners().await;
        loop {
            let (placement, opened) = match self.successor.take() {
                Some(next) => (next.placement, Some(next.opened)),
                None => match place(self.gateway, &self.job.placement_request()).await {
                    Choice::Placed(placement) => (placement, None),
                    Choice::Full => return self.give_up("runners are full", RETRY_AFTER_FULL).await,
                    Choice::NoRunner => return self.give_up("no runner takes it", RETRY_AFTER_UNREACHABLE).await,
                },
            };
            if self.is_blocked() {
                return self.give_up("it crashed runners", RETRY_AFTER_CRASHES).await;
            }
            self.log_placement(&placement);
            let outcome = self.attempt(&placement, opened).await;
            if let Some(pending) = self.pending.take() {
                pending.end();
            }
            if let Some(ending) = self.handle_outcome(outcome, &placement).await {
                return ending;
            }
            self.job.tried.push(placement.record.name.clone());
        }
    }

    /// Waits until this daemon has a list of runners, for up to `LIST_WAIT`.
    async fn wait_for_runners(&self) {
        let began = self.gateway.now();
        while !self.gateway.has_runners() && self.gateway.now().since(began) < LIST_WAIT {
            Timer::after(LIST_POLL_INTERVAL.into()).await;
        }
    }

    /// Counts how an attempt ended towards its runner's failure rate. An answer that did not come in time says nothing:
    /// outlier detection looks for runners that fail at once.
    fn note_outcome(&self, outcome: &AttemptOutcome, placement: &Placement) {
        let is_failure = match outcome {
            AttemptOutcome::Complete => false,
            AttemptOutcome::Failed(_) | AttemptOutcome::Truncated => true,
            AttemptOutcome::CallerGone
            | AttemptOutcome::Unreachable
            | AttemptOutcome::NotExecuted
            | AttemptOutcome::Silent(_)
            | AttemptOutcome::Withdrawn => return,
        };
        let ejected = self.gateway.fleet().note_outcome(placement.key, is_failure, self.gateway.now());
        if let Some(span) = ejected {
            self.gateway.log_ejection(&placement.record.name, span, "own answers");
        }
    }

    /// Handles the outcome of one attempt: the request's ending, or `None` if another runner is tried.
    async fn handle_outcome(&mut self, outcome: AttemptOutcome, placement: &Placement) -> Option<Ending> {
        self.note_outcome(&outcome, placement);
        if !matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::CallerGone) {
            self.log_failure(&outcome, placement);
        }
        match outcome {
            AttemptOutcome::Complete => Some(Ending::Answered),
            AttemptOutcome::CallerGone => Some(Ending::CallerLeft),
            AttemptOutcome::Unreachable => {
                self.unreachable += 1;
                if self.unreachable < MAX_UNREACHABLE {
                    return None;
                }
                Some(self.give_up("runners cannot be reached", RETRY_AFTER_UNREACHABLE).await)
            }
            AttemptOutcome::NotExecuted => {
                self.rejections += 1;
                if self.rejections < MAX_REJECTIONS && self.has_time() && self.take_retry() {
                    return None;
                }
                Some(self.give_up("runners reject it", RETRY_AFTER_FULL).await)
            }
            AttemptOutcome::Silent(successor) => {
                self.successor = Some(*successor);
                self.log_resumption();
                None
            }
            AttemptOutcome::Truncated if self.events.last_id().is_some() && self.may_retry() => {
                self.log_resumption();
                None
            }
            AttemptOutcome::Withdrawn => Some(self.give_up("it crashed runners", RETRY_AFTER_CRASHES).await),
            AttemptOutcome::Failed(_) if self.may_retry() => None,
            AttemptOutcome::Truncated => Some(Ending::Truncated),
            AttemptOutcome::Failed(answer) => Some(self.fail(answer).await),
        }
    }

    fn is_blocked(&self) -> bool {
        self.gateway.is_blocked(&self.suspects)
    }

    /// The content, and the suspects that are parts of the prompt.
    fn content_and_parts(&self) -> (Suspect, &[Suspect]) {
        (self.suspects[0], &self.suspects[1..])
    }

    /// Whether the route allows that a further runner executes the request.
    fn allows_attempt(&self) -> bool {
        self.job.route.is_repeatable() && self.executions < self.job.route.max_attempts
    }

    fn may_retry(&self) -> bool {
        self.allows_attempt() && self.has_time() && self.take_retry()
    }

    fn has_time(&self) -> bool {
        self.job.deadline.since(self.gateway.now()) > MIN_RETRY_TIME
    }

    /// Whether the budget allows a retry now.
    fn has_retry(&self) -> bool {
        let daemons = self.gateway.roster().size();
        self.gateway.retries().has_retry(&self.job.service, daemons, self.gateway.now())
    }

    /// Takes a retry from the budget, if it allows one.
    fn take_retry(&self) -> bool {
        let daemons = self.gateway.roster().size();
        let allowed = self.gateway.retries().try_retry(&self.job.service, daemons, self.gateway.now());
        let counter = if allowed { &self.gateway.metrics.retries } else { &self.gateway.metrics.retries_denied };
        counter.inc();
        allowed
    }

    /// Ends a request that a runner may have executed: relays the runner's `answer`, or sends an error.
    async fn fail(&mut self, answer: Option<Box<(ResponseHead, Vec<u8>)>>) -> Ending {
        if self.caller.is_started() {
            return Ending::Truncated;
        }
        let sent = match answer {
            Some(answer) => self.caller.send_response(&answer.0, &answer.1).await,
            None => self.caller.reply(&Reply::text(502, "the runner gave no usable answer\n")).await,
        };
        ending_unless_gone(sent, Ending::Failed)
    }

    /// Ends a request for which no further runner is tried; it is refused if no runner can have executed it.
    async fn give_up(&mut self, reason: &str, delay: Duration) -> Ending {
        if self.caller.is_started() || self.executions > 0 {
            return self.fail(None).await;
        }
        self.refuse(reason, delay).await
    }

    async fn refuse(&mut self, reason: &str, delay: Duration) -> Ending {
        log_event!(
            Event::Rejected,
            request = self.job.caller_fields.request_id,
            service = self.job.service,
            reason = reason
        );
        let jittered = delay.mul_f64(0.5 + fastrand::f64());
        let reply = Reply { retry_after: Some(jittered), ..Reply::text(503, "not run; try again later\n") };
        ending_unless_gone(self.caller.reply(&reply).await, Ending::Refused)
    }

    /// Logs that the stream, if it has begun, goes on at another runner.
    fn log_resumption(&self) {
        if let Some(last) = self.events.last_id() {
            log_event!(Event::StreamResumed, request = self.job.caller_fields.request_id, after = last);
        }
    }

    fn log_placement(&self, placement: &Placement) {
        self.gateway.metrics.note_choice(placement);
        log_event!(
            Event::Placed,
            request = self.job.caller_fields.request_id,
            runner = placement.record.name,
            attempt = self.job.tried.len() + 1,
            carried = placement.load.requests,
            before = placement.load.prefill_tokens,
            reads = placement.prefill_tokens,
            granted = placement.is_granted,
            fetched = placement.fetch_from.is_some(),
            known_age = placement.age.map_or_else(|| "none".to_owned(), |age| age.to_string()),
            left = self.job.deadline.since(self.gateway.now())
        );
    }

    fn log_failure(&self, outcome: &AttemptOutcome, placement: &Placement) {
        self.gateway.metrics.failed_attempts.inc();
        log_event!(
            Event::AttemptFailed,
            request = self.job.caller_fields.request_id,
            runner = placement.record.name,
            outcome = outcome.name(),
            events = self.events.count(),
            left = self.job.deadline.since(self.gateway.now())
        );
    }
}

fn ending_unless_gone(sent: Result<(), CallerGone>, ending: Ending) -> Ending {
    sent.map_or(Ending::CallerLeft, |()| ending)
}
