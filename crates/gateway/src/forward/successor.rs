//! Finds another runner for a request whose runner is silent, before that one is left.

use teaselcroft_parts::Millis;

use super::Forwarder;
use super::open_connection::OpenConnection;
use crate::dialect::Dialect;
use crate::fleet::{Choice, Placement, PlacementRequest};
use crate::placer::place;
use crate::{Event, log_event};

/// The time between searches for a runner that takes over from a silent one.
pub(super) const SEARCH_INTERVAL: Millis = Millis(250);

/// A runner that takes over a request, connected. The retry is counted.
#[derive(Debug)]
pub(super) struct Successor {
    pub placement: Placement,
    pub opened: OpenConnection,
}

impl<D: Dialect> Forwarder<'_, D> {
    /// Looks for a runner to take over from the `silent` one. While there is none, or the retry budget is used up,
    /// the silent runner is still the one most likely to answer.
    pub(super) async fn find_successor(&self, silent: &Placement) -> Option<Box<Successor>> {
        if !self.has_time() || !self.has_retry() {
            return None;
        }
        let mut tried = self.job.tried.clone();
        tried.push(silent.record.name.clone());
        let request = PlacementRequest { tried: &tried, is_placed: true, ..self.job.placement_request() };
        let Choice::Placed(placement) = place(self.gateway, &request).await else {
            return None;
        };
        if self.is_blocked() {
            return None;
        }
        let opened = self.open_connection(&placement).await?;
        self.take_retry().then(|| Box::new(Successor { placement, opened }))
    }

    /// Logs that a runner is silent while no other one takes the request.
    pub(super) fn log_silence(&self, silent: &Placement) {
        log_event!(
            Event::RunnerSilent,
            request = self.job.caller_fields.request_id,
            runner = silent.record.name,
            events = self.events.count(),
            has_retry = self.has_retry(),
            left = self.job.deadline.since(self.gateway.now())
        );
    }
}
