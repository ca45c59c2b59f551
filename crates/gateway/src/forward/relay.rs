//! Passes a runner's stream on, whole events at a time.

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use super::Forwarder;
use super::attempt::Attempt;
use super::under_way::UnderWay;
use crate::dialect::Dialect;
use crate::fleet::Placement;
use crate::http::{BodyError, BodyLength, BodyReader, Inbound, ResponseHead};

/// A stream that may go on elsewhere is given up after so many of its longest pauses, but not before
/// `LEAST_SILENCE`: a busy runner pauses, a silent connection never ends.
const SILENT_PAUSES: u64 = 4;

/// The shortest silence after which a stream goes on elsewhere.
const LEAST_SILENCE: Millis = Millis(1_200);

impl<D: Dialect> Forwarder<'_, D> {
    /// Passes the stream on until it ends or breaks.
    pub(super) async fn relay(
        &mut self,
        placement: &Placement,
        head: ResponseHead,
        length: BodyLength,
        inbound: &mut Inbound,
        under_way: &mut UnderWay<'_, D>,
    ) -> Attempt {
        let head = self.head.get_or_insert(head).clone();
        let mut reader = BodyReader::new(length);
        let mut piece = Vec::new();
        loop {
            match self.next_bytes(&mut reader, inbound).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    if matches!(error, BodyError::CutShort) {
                        self.note_crash(placement);
                    }
                    return self.broken();
                }
            }
            under_way.prompt_read();
            if !self.events.take_events(&mut piece) {
                continue;
            }
            self.note_first_piece();
            if self.caller.piece(&head, &piece).await.is_err() {
                return Attempt::CallerGone;
            }
            piece.clear();
        }
        if self.events.is_mid_event() {
            return self.broken();
        }
        match self.caller.end(&head).await {
            Ok(()) => Attempt::Whole,
            Err(_) => Attempt::CallerGone,
        }
    }

    async fn next_bytes(&mut self, reader: &mut BodyReader, inbound: &mut Inbound) -> Result<bool, BodyError> {
        let Some(silence) = self.longest_silence() else {
            return reader.next(inbound, self.events.input()).await;
        };
        or(reader.next(inbound, self.events.input()), async {
            Timer::after(silence.into()).await;
            Err(BodyError::Silent)
        })
        .await
    }

    fn longest_silence(&self) -> Option<Millis> {
        let route = &self.job.route;
        if !route.is_repeatable() || self.runs >= route.max_attempts {
            return None;
        }
        let pause = route.longest_pause.unwrap_or(route.target);
        Some(Millis(pause.0 * SILENT_PAUSES).max(LEAST_SILENCE))
    }

    fn note_first_piece(&self) {
        if !self.caller.is_started() {
            let span = self.gate.now().since(self.job.arrived);
            self.gate.metrics.first_seconds.observe(span.0 as f64 / 1_000.0);
        }
    }

    fn broken(&mut self) -> Attempt {
        self.events.drop_partial();
        if self.caller.is_started() { Attempt::Cut } else { Attempt::Failed(None) }
    }
}
