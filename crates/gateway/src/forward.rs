//! Carries one request to runners and the answer back.

mod attempt;
mod relay;
mod under_way;

use std::time::Duration;

use teaselcroft_parts::Millis;

use crate::caller::{Caller, CallerGone};
use crate::dialect::Dialect;
use crate::events_stream::EventStream;
use crate::fleet::{Choice, Placement};
use crate::gateway::Gateway;
use crate::http::{Reply, ResponseHead};
use crate::job::Job;
use crate::placer::place;
use crate::{Event, record};
use attempt::Attempt;

/// Runners that could not be reached, after which a request is given up.
const MOST_UNREACHED: u32 = 4;

/// Runners that stated that they did not run a request, after which it is refused.
const MOST_REJECTIONS: u32 = 2;

/// A second send with less time left than this would only waste a runner's work.
const LEAST_TIME_LEFT: Millis = Millis(40);

/// When callers may come back while no runner can be reached; spread so that they do not return at once.
const RETRY_LATER: Duration = Duration::from_millis(400);

/// When callers may come back while runners are full: some of the requests under way have ended by then.
const RETRY_FULL: Duration = Duration::from_millis(1_500);

/// When callers of a request that crashes runners may come back.
const RETRY_MUCH_LATER: Duration = Duration::from_secs(30);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller has a runner's whole answer.
    Answered,
    /// It was refused and did not run.
    Refused,
    /// The caller was told of a failure.
    Failed,
    /// Its stream broke off.
    Cut,
    /// Its caller left.
    CallerLeft,
    /// Its time ran out.
    TimedOut,
}

impl Ending {
    /// The ending's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Ending::Answered => "answered",
            Ending::Refused => "refused",
            Ending::Failed => "failed",
            Ending::Cut => "cut",
            Ending::CallerLeft => "caller-left",
            Ending::TimedOut => "timed-out",
        }
    }
}

/// Carries one request to runners and the answer back.
pub struct Forwarder<'a, D> {
    gate: &'a Gateway<D>,
    caller: &'a Caller,
    /// The request.
    pub job: Job,
    content: u64,
    head: Option<ResponseHead>,
    events: EventStream,
    /// Runners that may have run it.
    runs: u32,
    unreached: u32,
    rejections: u32,
}

impl<'a, D: Dialect> Forwarder<'a, D> {
    /// A request that was not sent anywhere yet.
    pub fn new(gate: &'a Gateway<D>, caller: &'a Caller, job: Job) -> Forwarder<'a, D> {
        let events = EventStream::default();
        let content = job.content();
        Forwarder { gate, caller, job, content, head: None, events, runs: 0, unreached: 0, rejections: 0 }
    }

    /// Carries the request until the caller has an answer.
    pub async fn run(&mut self) -> Ending {
        if self.gate.crashes().is_condemned(self.content) {
            return self.refuse("it crashed runners", RETRY_MUCH_LATER).await;
        }
        self.gate.retries().first(&self.job.service, self.gate.now());
        loop {
            let placement = match place(self.gate, &self.job.ask()).await {
                Choice::Placed(placement) => placement,
                Choice::Full => return self.give_up("runners are full", RETRY_FULL).await,
                Choice::Nobody => return self.give_up("no runner takes it", RETRY_LATER).await,
            };
            self.log_placement(&placement);
            let attempt = self.attempt(&placement).await;
            if let Some(ending) = self.conclude(attempt, &placement).await {
                return ending;
            }
            self.job.tried.push(placement.record.name.clone());
        }
    }

    /// The request's ending, or `None` if another runner is tried.
    async fn conclude(&mut self, attempt: Attempt, placement: &Placement) -> Option<Ending> {
        if !matches!(attempt, Attempt::Whole | Attempt::CallerGone) {
            self.log_failure(&attempt, placement);
        }
        match attempt {
            Attempt::Whole => Some(Ending::Answered),
            Attempt::CallerGone => Some(Ending::CallerLeft),
            Attempt::Unreached => {
                self.unreached += 1;
                if self.unreached < MOST_UNREACHED {
                    return None;
                }
                Some(self.give_up("runners cannot be reached", RETRY_LATER).await)
            }
            Attempt::NotRun => {
                self.rejections += 1;
                if self.rejections < MOST_REJECTIONS && self.has_time() && self.take_repeat() {
                    return None;
                }
                Some(self.give_up("runners reject it", RETRY_FULL).await)
            }
            Attempt::Cut if self.events.last_id().is_some() && self.may_repeat() => {
                record!(
                    Event::StreamResumed,
                    request = self.job.caller.request,
                    after = self.events.last_id().unwrap_or("")
                );
                None
            }
            Attempt::Failed(_) if self.may_repeat() => None,
            Attempt::Cut => Some(Ending::Cut),
            Attempt::Failed(answer) => Some(self.fail(answer).await),
        }
    }

    fn may_repeat(&self) -> bool {
        let route = &self.job.route;
        route.is_repeatable() && self.runs < route.max_attempts && self.has_time() && self.take_repeat()
    }

    fn has_time(&self) -> bool {
        self.job.deadline.since(self.gate.now()) > LEAST_TIME_LEFT
    }

    fn take_repeat(&self) -> bool {
        let daemons = self.gate.roster().size();
        let allowed = self.gate.retries().repeat(&self.job.service, daemons, self.gate.now());
        let counter = if allowed { &self.gate.metrics.repeats } else { &self.gate.metrics.repeats_denied };
        counter.inc();
        allowed
    }

    async fn fail(&mut self, answer: Option<Box<(ResponseHead, Vec<u8>)>>) -> Ending {
        if self.caller.is_started() {
            return Ending::Cut;
        }
        let sent = match answer {
            Some(answer) => self.caller.whole(&answer.0, &answer.1).await,
            None => self.caller.reply(&Reply::text(502, "the runner gave no usable answer\n")).await,
        };
        ended(sent, Ending::Failed)
    }

    /// Ends a request that no runner is running: refused if none can have run it.
    async fn give_up(&mut self, reason: &str, later: Duration) -> Ending {
        if self.caller.is_started() || self.runs > 0 {
            return self.fail(None).await;
        }
        self.refuse(reason, later).await
    }

    async fn refuse(&mut self, reason: &str, later: Duration) -> Ending {
        record!(Event::Rejected, request = self.job.caller.request, service = self.job.service, reason = reason);
        let spread = later.mul_f64(0.5 + fastrand::f64());
        let reply = Reply { retry_after: Some(spread), ..Reply::text(503, "not run; try again later\n") };
        ended(self.caller.reply(&reply).await, Ending::Refused)
    }

    fn log_placement(&self, placement: &Placement) {
        record!(
            Event::Placed,
            request = self.job.caller.request,
            runner = placement.record.name,
            attempt = self.job.tried.len() + 1,
            carried = placement.load.requests,
            before = placement.load.reading,
            reads = placement.reading,
            granted = placement.is_granted,
            fetched = placement.fetch_from.is_some(),
            left = self.job.deadline.since(self.gate.now())
        );
    }

    fn log_failure(&self, attempt: &Attempt, placement: &Placement) {
        self.gate.metrics.failed_attempts.inc();
        record!(
            Event::AttemptFailed,
            request = self.job.caller.request,
            runner = placement.record.name,
            outcome = attempt.name(),
            events = self.events.count(),
            left = self.job.deadline.since(self.gate.now())
        );
    }
}

fn ended(sent: Result<(), CallerGone>, ending: Ending) -> Ending {
    sent.map_or(Ending::CallerLeft, |()| ending)
}
