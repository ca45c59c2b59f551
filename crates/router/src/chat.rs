//! Runs one chat completion: waits for a runner, streams tokens, and resumes on another runner after a
//! failure or preemption.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::FutureExt;
use serde_json::Value;
use teaselcroft_parts::{CustomerName, Fingerprint, Millis, RequestId, RunnerName};
use teaselcroft_policy::{ClassRule, EndKind, Outcome, ResultCode, SilenceTimeout};

use crate::Event;
use crate::chat_request::ChatRequest;
use crate::dispatch_event::DispatchEvent;
use crate::dispatch_handle::DispatchHandle;
use crate::dispatch_request::DispatchRequest;
use crate::engine::{Engine, GenerateWire, TokenStream};
use crate::http_client::{HttpError, with_timeout};
use crate::node::Node;
use crate::platform::Platform;

/// How often a waiting request checks whether its caller has disconnected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What a chat completion sends to its HTTP reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerItem {
    /// The text of the next token.
    Token(String),
    /// The final result, with the time to wait before a retry.
    End(ResultCode, Millis),
}

/// A chat completion in progress.
pub struct Chat<P> {
    node: Arc<Node<P>>,
    request: RequestId,
    customer: CustomerName,
    content: ChatRequest,
    rule: ClassRule,
    fingerprint: Fingerprint,
    prefix: Fingerprint,
    arrival: Millis,
    out: Sender<AnswerItem>,
    /// Number of tokens received so far; streaming resumes after them.
    received: u32,
    /// Whether any runner may have started the request.
    may_have_run: bool,
    /// The runner that failed last.
    avoid: Option<RunnerName>,
    messages: Value,
}

/// Why streaming from a runner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Done,
    CallerGone,
    Preempted,
    Failed(HttpError),
}

/// What interrupted the wait for a runner.
enum WaitEvent {
    /// A message of the dispatcher, or `None` if the dispatcher is lost.
    Dispatch(Option<DispatchEvent>),
    CallerGone,
    DeadlinePassed,
}

impl<P: Platform> Chat<P> {
    /// Creates a chat completion that has just arrived and sends its answer to `out`.
    pub fn new(
        node: Arc<Node<P>>,
        request: RequestId,
        customer: CustomerName,
        content: ChatRequest,
        rule: ClassRule,
        out: Sender<AnswerItem>,
    ) -> Chat<P> {
        Chat {
            arrival: node.clock.now(),
            fingerprint: content.fingerprint(&customer),
            prefix: content.prefix(),
            messages: Value::from(content.messages.clone()),
            node,
            request,
            customer,
            content,
            rule,
            out,
            received: 0,
            may_have_run: false,
            avoid: None,
        }
    }

    /// Runs the completion to its end, sends the result code as the last item and returns it.
    pub async fn run(mut self) -> ResultCode {
        let (code, retry) = self.answer().await;
        let grounds = format!("{code}, {} tokens in {}", self.received, self.node.clock.now().since(self.arrival));
        self.node.record_decision(&self.request, Event::Ended, grounds);
        // Fails only if the caller has disconnected.
        let _ = self.out.send(AnswerItem::End(code, retry)).await;
        code
    }

    async fn answer(&mut self) -> (ResultCode, Millis) {
        loop {
            let (handle, runner, address) = match self.wait_for_runner().await {
                Ok(granted) => granted,
                Err(refusal) => return refusal,
            };
            let (handle, end, outcome) = self.stream(handle, &runner, &address).await;
            if let Some(handle) = handle {
                handle.end(outcome);
            }
            match end {
                StreamEnd::Done => return (ResultCode::Done, Millis(0)),
                StreamEnd::CallerGone => return (self.code_or_stream_broken(ResultCode::PatienceOver), Millis(0)),
                StreamEnd::Preempted => self.avoid = None,
                StreamEnd::Failed(error) => self.record_failure(runner, address, error),
            }
        }
    }

    fn record_failure(&mut self, runner: RunnerName, address: String, error: HttpError) {
        if error == HttpError::Silent {
            self.cancel_generation(address);
        }
        let grounds = format!("runner {runner}: {error}; goes on at token {}", self.received);
        self.node.record_decision(&self.request, Event::Resumed, grounds);
        self.node.metrics.resumed.inc();
        self.avoid = Some(runner);
    }

    /// Cancels a timed-out generation, which otherwise keeps occupying its runner.
    fn cancel_generation(&self, address: String) {
        let node = self.node.clone();
        let request = self.request.clone();
        let cancel = async move {
            if let Err(error) = node.platform.engines().cancel(&address, &request).await {
                log::debug!(request:% = request; "cannot cancel a timed-out stream: {error}");
            }
        };
        self.node.traffic.spawn(cancel).detach();
    }

    /// Replaces `code` by `StreamBroken` once a runner may have started the request, so that the caller is not
    /// told that it did not run.
    fn code_or_stream_broken(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run { ResultCode::StreamBroken } else { code }
    }

    /// When to stop waiting for a runner. The class's patience counts twice once a runner may have started.
    fn deadline(&self) -> Millis {
        let spans = if self.may_have_run { 2 } else { 1 };
        self.arrival + Millis(self.rule.patience.0 * spans)
    }

    async fn wait_for_runner(&self) -> Result<(DispatchHandle, RunnerName, String), (ResultCode, Millis)> {
        let mut handle = DispatchHandle::open(&self.node, self.dispatch_request(None));
        loop {
            match self.next_wait_event(&handle).await {
                WaitEvent::Dispatch(Some(DispatchEvent::Granted { runner, address, .. })) => {
                    return Ok((handle, runner, address));
                }
                WaitEvent::Dispatch(Some(DispatchEvent::Refused { code, retry })) => {
                    return Err((self.code_or_stream_broken(code), retry));
                }
                WaitEvent::Dispatch(Some(DispatchEvent::Preempted)) => {}
                WaitEvent::Dispatch(None) => handle = DispatchHandle::reopen(&self.node, self.dispatch_request(None)),
                WaitEvent::CallerGone | WaitEvent::DeadlinePassed => {
                    return Err((self.code_or_stream_broken(ResultCode::PatienceOver), Millis(0)));
                }
            }
        }
    }

    async fn next_wait_event(&self, handle: &DispatchHandle) -> WaitEvent {
        let event = async { WaitEvent::Dispatch(handle.next_event().await) };
        let remaining = self.deadline().since(self.node.clock.now());
        let interrupted = event.or(self.caller_gone());
        with_timeout(remaining.into(), WaitEvent::DeadlinePassed, interrupted).await
    }

    async fn caller_gone(&self) -> WaitEvent {
        loop {
            if self.out.is_closed() {
                return WaitEvent::CallerGone;
            }
            smol::Timer::after(CALLER_POLL_INTERVAL).await;
        }
    }

    fn dispatch_request(&self, holding: Option<RunnerName>) -> DispatchRequest {
        DispatchRequest {
            request: self.request.clone(),
            customer: self.customer.clone(),
            class: self.content.class.clone(),
            upstream: self.rule.upstream.clone(),
            fingerprint: self.fingerprint,
            prefix: self.prefix,
            prompt_tokens: self.content.prompt_tokens(),
            waited: self.node.clock.now().since(self.arrival),
            holding,
            avoid: self.avoid.clone(),
            admitted: self.may_have_run,
            zone: self.node.settings.zone.clone(),
        }
    }

    /// Streams from one runner. Returns the handle to the current dispatcher, why streaming ended, and the
    /// outcome to report to the dispatcher.
    async fn stream(
        &mut self,
        handle: DispatchHandle,
        runner: &RunnerName,
        address: &str,
    ) -> (Option<DispatchHandle>, StreamEnd, Outcome) {
        let began = self.node.clock.now();
        let before = self.received;
        let mut handle = Some(handle);
        let end = self.stream_tokens(&mut handle, runner, address).await;
        self.may_have_run = self.may_have_run || end != StreamEnd::Failed(HttpError::Refused);
        let kind = match end {
            StreamEnd::Done => EndKind::Done,
            StreamEnd::CallerGone | StreamEnd::Preempted => EndKind::Cancelled,
            StreamEnd::Failed(error) => error.into(),
        };
        let elapsed = self.node.clock.now().since(began);
        (handle, end, Outcome { kind, tokens: self.received - before, elapsed })
    }

    async fn stream_tokens(
        &mut self,
        handle: &mut Option<DispatchHandle>,
        runner: &RunnerName,
        address: &str,
    ) -> StreamEnd {
        let wire = GenerateWire {
            request: self.request.clone(),
            priority: self.rule.tier,
            resume_from: self.received,
            messages: self.messages.clone(),
        };
        let first_token_timeout = self.with_silence_timeout(|timeout| timeout.first_token_timeout());
        let generated = self.node.platform.engines().generate(address, &wire, first_token_timeout).await;
        let mut tokens = match generated {
            Ok(tokens) => tokens,
            Err(error) => return StreamEnd::Failed(error),
        };
        let mut limit = first_token_timeout;
        let mut last = self.node.clock.now();
        let mut is_first = true;
        loop {
            let next = match self.token_or_event(&mut tokens, handle, runner, limit).await {
                Ok(next) => next,
                Err(end) => return end,
            };
            let Some(token) = next else {
                return StreamEnd::Done;
            };
            let now = self.node.clock.now();
            let span = now.since(last);
            last = now;
            self.observe_gap(span, is_first);
            is_first = false;
            limit = self.with_silence_timeout(|timeout| timeout.gap_timeout());
            if token.i != self.received {
                return StreamEnd::Failed(HttpError::Broken);
            }
            self.received += 1;
            if self.out.send(AnswerItem::Token(token.t)).await.is_err() {
                return StreamEnd::CallerGone;
            }
        }
    }

    /// Updates the silence timeout estimate with the time to the first token, or with a gap between tokens.
    fn observe_gap(&self, span: Millis, first: bool) {
        self.with_silence_timeout(|timeout| match first {
            true => timeout.record_first_token(span),
            false => timeout.record_token_gap(span),
        });
    }

    fn with_silence_timeout<R>(&self, work: impl FnOnce(&mut SilenceTimeout) -> R) -> R {
        self.node.with_silence_timeout(&self.content.class, self.rule.prompt_tokens, work)
    }

    /// Waits for the next token or a preemption. If the dispatcher is lost meanwhile, registers with the next
    /// one and keeps streaming.
    async fn token_or_event<S: TokenStream>(
        &self,
        tokens: &mut S,
        handle: &mut Option<DispatchHandle>,
        runner: &RunnerName,
        limit: Millis,
    ) -> Result<Option<crate::engine::TokenWire>, StreamEnd> {
        enum Next {
            Token(Result<Option<crate::engine::TokenWire>, HttpError>),
            Dispatch(Option<DispatchEvent>),
        }
        let started = self.node.clock.now();
        loop {
            let remaining = limit.since(self.node.clock.now().since(started));
            let token = async { Next::Token(tokens.next(remaining).await) };
            let next = match handle.as_ref() {
                Some(held) => token.or(async { Next::Dispatch(held.next_event().await) }).await,
                None => token.await,
            };
            match next {
                Next::Token(Ok(token)) => return Ok(token),
                Next::Token(Err(error)) => return Err(StreamEnd::Failed(error)),
                Next::Dispatch(Some(DispatchEvent::Preempted)) => return Err(StreamEnd::Preempted),
                Next::Dispatch(Some(_)) => {}
                Next::Dispatch(None) => {
                    let request = self.dispatch_request(Some(runner.clone()));
                    *handle = Some(DispatchHandle::reopen(&self.node, request));
                }
            }
        }
    }
}
