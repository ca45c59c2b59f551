//! Relays a runner's event stream to the caller, in complete events.

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::Forwarder;
use super::attempt::AttemptOutcome;
use super::crash::BreakPoint;
use super::in_flight::InFlight;
use super::run_count::RunCount;
use super::successor::SEARCH_INTERVAL;
use crate::dialect::Dialect;
use crate::fleet::Placement;
use crate::http::{BodyError, BodyLength, BodyReader, Connection, ResponseHead};

/// Another runner is looked for after so many of a stream's longest pauses without an event, but not before
/// `MIN_SILENCE_TIMEOUT`: a busy runner pauses for a while, but a dead connection stays silent for good, and a stalled
/// runner may still send bytes that are no event.
const SILENCE_PAUSES: u64 = 4;

/// The shortest time without an event after which another runner is looked for.
const MIN_SILENCE_TIMEOUT: Millis = Millis(1_200);

/// How often the events of a stream are noted as signs of its runner's life.
const LIFE_SIGN_INTERVAL: Millis = Millis(250);

/// A stream with this many events is being answered; a runner may crash as it begins to.
const ANSWERING_EVENTS: u64 = 2;

/// How a stream goes on at its runner.
struct Progress {
    /// When another runner is looked for unless an event arrives before; `None` if none may be.
    search_at: Option<Millis>,
    /// Whether the log says that the runner is silent.
    is_logged: bool,
    /// When an event was last noted as a sign of life.
    alive_at: Millis,
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Relays the stream to the caller until it ends or breaks.
    pub(super) async fn relay(
        &mut self,
        placement: &Placement,
        head: ResponseHead,
        length: BodyLength,
        connection: &mut Connection,
        in_flight: &mut InFlight<'_, D>,
        run: &mut RunCount<'_, D>,
    ) -> AttemptOutcome {
        let head = self.head.get_or_insert(head).clone();
        let mut reader = BodyReader::new(length);
        let mut chunk = Vec::new();
        let mut progress = Progress { search_at: self.silence_end(), is_logged: false, alive_at: self.gateway.now() };
        loop {
            let count = self.events.count();
            match self.next_bytes(&mut reader, connection, progress.search_at).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => match self.handle_break(placement, &error, &mut progress).await {
                    Some(outcome) => return outcome,
                    None => continue,
                },
            }
            in_flight.end_prefill();
            match self.events.take_events(&mut chunk) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(error) => {
                    self.log_cut_off(placement, error);
                    return self.interrupted();
                }
            }
            if self.events.count() > count {
                run.began();
            }
            self.observe_first_event();
            if self.events.count() >= ANSWERING_EVENTS {
                self.note_answered();
            }
            if self.caller.send_chunk(&head, &chunk).await.is_err() {
                return AttemptOutcome::CallerGone;
            }
            chunk.clear();
            if self.events.count() > count {
                self.note_progress(placement, &mut progress);
            }
        }
        self.end_stream(placement, &head, length).await
    }

    /// Handles that reading the stream failed: how the attempt ends, or `None` if the silent runner is waited for.
    async fn handle_break(
        &mut self,
        placement: &Placement,
        error: &BodyError,
        progress: &mut Progress,
    ) -> Option<AttemptOutcome> {
        if matches!(error, BodyError::Incomplete) {
            self.record_crash(placement, BreakPoint::Stream).await;
        }
        if !matches!(error, BodyError::Stalled) {
            return Some(self.interrupted());
        }
        if let Some(successor) = self.find_successor(placement).await {
            self.pending = None;
            self.events.drop_partial();
            return Some(AttemptOutcome::Silent(successor));
        }
        if !std::mem::replace(&mut progress.is_logged, true) {
            self.log_silence(placement);
        }
        progress.search_at = Some(self.gateway.now() + SEARCH_INTERVAL);
        None
    }

    /// Records that an event arrived.
    fn note_progress(&self, placement: &Placement, progress: &mut Progress) {
        progress.search_at = self.silence_end();
        progress.is_logged = false;
        let now = self.gateway.now();
        if now.since(progress.alive_at) >= LIFE_SIGN_INTERVAL {
            progress.alive_at = now;
            self.gateway.pending_crashes().note_alive(&placement.record, now);
        }
    }

    /// Ends the caller's stream after the runner's body has ended, unless that was cut.
    async fn end_stream(&mut self, placement: &Placement, head: &ResponseHead, length: BodyLength) -> AttemptOutcome {
        // Only the events say whether a body that ends with its connection is whole.
        let is_unframed = length == BodyLength::UntilClose;
        if is_unframed && (self.events.is_mid_event() || self.events.count() == 0) {
            self.record_crash(placement, BreakPoint::Stream).await;
            return self.interrupted();
        }
        if self.events.is_mid_event() || is_unframed && self.was_cut(placement).await {
            return self.interrupted();
        }
        if !is_unframed {
            self.note_complete(head.status);
        }
        match self.caller.finish(head).await {
            Ok(()) => AttemptOutcome::Complete,
            Err(_) => AttemptOutcome::CallerGone,
        }
    }

    /// Reads more of the stream; it is stalled if nothing arrives before `search_at`.
    async fn next_bytes(
        &mut self,
        reader: &mut BodyReader,
        connection: &mut Connection,
        search_at: Option<Millis>,
    ) -> Result<bool, BodyError> {
        let Some(search_at) = search_at else {
            return reader.next(connection, self.events.input()).await;
        };
        let remaining = search_at.since(self.gateway.now());
        or(reader.next(connection, self.events.input()), async {
            Timer::after(remaining.into()).await;
            Err(BodyError::Stalled)
        })
        .await
    }

    /// When another runner is looked for unless an event arrives before; `None` if none may be.
    fn silence_end(&self) -> Option<Millis> {
        let pause = self.job.route.longest_pause.unwrap_or(self.job.route.target);
        let timeout = Millis(pause.0 * SILENCE_PAUSES).max(MIN_SILENCE_TIMEOUT);
        self.allows_attempt().then(|| self.gateway.now() + timeout)
    }

    fn observe_first_event(&self) {
        if !self.caller.is_started() {
            let span = self.gateway.now().since(self.job.arrived);
            self.gateway.metrics.first_seconds.observe(span.0 as f64 / 1_000.0);
        }
    }

    fn interrupted(&mut self) -> AttemptOutcome {
        self.events.drop_partial();
        if self.caller.is_started() { AttemptOutcome::Truncated } else { AttemptOutcome::Failed(None) }
    }
}
