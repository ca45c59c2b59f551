//! Whether a request is refused on arrival.

use teaselcroft_parts::{CustomerName, Millis};

use super::{Dispatcher, RequestKey};
use crate::{ResultCode, Tier};

const MIN_RETRY: Millis = Millis(200);
const MAX_RETRY: Millis = Millis(10_000);

impl Dispatcher {
    pub(super) fn refusal(&mut self, now: Millis, key: RequestKey) -> Option<(ResultCode, Millis)> {
        let place = self.places.get(key)?;
        let request = &place.request;
        if self.suspects.is_condemned(request.fingerprint) {
            return Some((ResultCode::Condemned, Millis(0)));
        }
        if request.admitted || request.holding.is_some() {
            return None;
        }
        let tier = request.rule.tier;
        let full = self.tiers[tier.index()].waiting >= request.rule.queue_limit;
        let wait = self.expected_wait(tier, &request.customer);
        let limit = request.rule.wait_limit();
        let limit = limit.since(place.expected).max(Millis(limit.0 / 4));
        let waited = now.since(request.arrival);
        if !full && (wait == Millis(0) || waited + wait <= limit) {
            return None;
        }
        if tier.is_urgent() {
            self.refused_at = Some(now);
        }
        let retry = Millis(wait.0 / 2).clamp(MIN_RETRY, MAX_RETRY);
        Some((ResultCode::Overloaded, retry))
    }

    /// The expected wait of a request of `customer` that enters `tier` now: that of all work ahead,
    /// or of its fair share of the tier if that is less.
    pub(super) fn expected_wait(&self, tier: Tier, customer: &CustomerName) -> Millis {
        let more_urgent: u64 = self.tiers.iter().take(tier.index()).map(|queue| queue.hold_ms).sum();
        let queue = &self.tiers[tier.index()];
        let mean = queue.hold_ms / u64::from(queue.waiting.max(1));
        let share = mean.saturating_mul(queue.fair.ahead(customer) as u64);
        Millis((more_urgent + queue.hold_ms.min(share)) / u64::from(self.pool.places().max(1)))
    }
}
