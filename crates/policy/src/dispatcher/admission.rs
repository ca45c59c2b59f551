//! Admission control: whether a request is refused on arrival.

use teaselcroft_parts::{CustomerName, Millis};

use super::{Dispatcher, RequestKey};
use crate::{ResultCode, Tier};

const MIN_RETRY_DELAY: Millis = Millis(200);
const MAX_RETRY_DELAY: Millis = Millis(10_000);

impl Dispatcher {
    /// The code and the advised retry delay with which a request is refused on arrival, if it is.
    ///
    /// A request is refused if its content is condemned or, unless it ran before, if its tier's
    /// queue is full or its expected wait leaves too little of its wait limit for the run itself; a
    /// quarter of the limit may always be spent waiting.
    pub(super) fn check_admission(&mut self, now: Millis, key: RequestKey) -> Option<(ResultCode, Millis)> {
        let entry = self.requests.get(key)?;
        let request = &entry.request;
        if self.suspects.is_condemned(request.fingerprint) {
            return Some((ResultCode::Condemned, Millis(0)));
        }
        if request.admitted || request.holding.is_some() {
            return None;
        }
        let tier = request.rule.tier;
        let full = self.queues[tier.index()].waiting >= request.rule.queue_limit;
        let wait = self.expected_wait(tier, &request.customer);
        let limit = request.rule.wait_limit();
        let limit = limit.since(entry.expected_hold).max(Millis(limit.0 / 4));
        let waited = now.since(request.arrival);
        if !full && (wait == Millis(0) || waited + wait <= limit) {
            return None;
        }
        if tier.is_urgent() {
            self.last_refusal = Some(now);
        }
        let retry = Millis(wait.0 / 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Some((ResultCode::Overloaded, retry))
    }

    /// The expected wait of a request of `customer` that is added to `tier` now.
    ///
    /// It is the backlog that goes first, divided by the runners' places: that of the more urgent
    /// tiers, and of this tier all of it or, if less, the part that fair queueing puts before the
    /// customer.
    pub(super) fn expected_wait(&self, tier: Tier, customer: &CustomerName) -> Millis {
        let urgent_backlog: u64 = self.queues.iter().take(tier.index()).map(|queue| queue.backlog_ms).sum();
        let queue = &self.queues[tier.index()];
        let mean_hold = queue.backlog_ms / u64::from(queue.waiting.max(1));
        let backlog_ahead = mean_hold.saturating_mul(queue.fair.ahead(customer) as u64);
        Millis((urgent_backlog + queue.backlog_ms.min(backlog_ahead)) / u64::from(self.pool.places().max(1)))
    }
}
