//! Chooses the next waiting request.

use teaselcroft_parts::Millis;

use super::{Dispatcher, RequestKey};
use crate::Tier;

/// The remaining patience that a request needs to be granted a runner, in percent of its expected
/// hold time.
const MIN_PATIENCE_PERCENT: u64 = 200;

impl Dispatcher {
    /// The next request to grant: urgent tiers first, then the others while they may take more
    /// places.
    ///
    /// Within each of these groups, requests that ran before go first, then those that can still meet
    /// their target by tier, then late ones. An aged request goes before all of them now and then, so
    /// that lower tiers are not starved.
    pub(super) fn next_request(&mut self, now: Millis) -> Option<RequestKey> {
        let non_urgent_max = self.pool.places() * (100 - self.settings.reserve_percent) / 100;
        let non_urgent_open = self.non_urgent < non_urgent_max.max(1) && self.pool.has_shared_room();
        let aged = if non_urgent_open { self.next_aged(now) } else { None };
        let urgent = |tier: &Tier| tier.is_urgent();
        let found = aged.or_else(|| self.next_of_tiers(now, urgent));
        if found.is_some() || !non_urgent_open {
            return found;
        }
        self.next_of_tiers(now, |tier| !tier.is_urgent())
    }

    /// The next request of the tiers for which `wanted` holds.
    pub(super) fn next_of_tiers(&mut self, now: Millis, wanted: impl Fn(&Tier) -> bool) -> Option<RequestKey> {
        let tiers = || Tier::all().filter(&wanted);
        let resumed = tiers().find_map(|tier| self.next_resumed(tier));
        let on_time = resumed.or_else(|| tiers().find_map(|tier| self.next_on_time(now, tier)));
        on_time.or_else(|| tiers().find_map(|tier| self.next_late(now, tier)))
    }

    /// The oldest aged request of the least urgent tier that has one, if one is due.
    ///
    /// One grant in `aged_every` is due, except shortly after an urgent request was refused.
    pub(super) fn next_aged(&mut self, now: Millis) -> Option<RequestKey> {
        let on_hold = self.last_refusal.is_some_and(|at| now.since(at) < self.settings.refusal_hold);
        if on_hold || !self.grant_count.is_multiple_of(self.settings.aged_every) {
            return None;
        }
        Tier::all().rev().filter(|tier| !tier.is_urgent()).find_map(|tier| self.oldest_aged(now, tier))
    }

    /// The oldest request of `tier` if it is aged; drops expired ones that it meets.
    pub(super) fn oldest_aged(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        loop {
            let (requests, suspect_queue) = (&self.requests, &self.suspect_queue);
            let waits = |key| Dispatcher::is_waiting(requests, key) && !suspect_queue.contains(&key);
            let key = self.queues[tier.index()].fair.oldest(waits)?;
            let request = &self.requests[key].request;
            let aged_at = Millis(request.rule.patience.0 * self.settings.age_percent / 100);
            if now.since(request.arrival) < aged_at {
                return None;
            }
            if !self.drop_expired(now, key) {
                return Some(key);
            }
        }
    }

    /// The next request of `tier` that ran before.
    pub(super) fn next_resumed(&mut self, tier: Tier) -> Option<RequestKey> {
        let requests = &self.requests;
        let resumed = &mut self.queues[tier.index()].resumed;
        while let Some(key) = resumed.pop_front() {
            if Dispatcher::is_waiting(requests, key) {
                return Some(key);
            }
        }
        None
    }

    /// The next request of `tier` that can still meet its target; others move to the late queue.
    pub(super) fn next_on_time(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        let requests = &self.requests;
        let queue = &mut self.queues[tier.index()];
        let waits = |key| Dispatcher::is_waiting(requests, key);
        while let Some(key) = queue.fair.pop(waits) {
            let entry = &requests[key];
            let due = entry.request.arrival + entry.request.rule.target;
            let needed = Millis(entry.expected_hold.0 * self.settings.margin_percent / 100);
            if now + needed <= due {
                return Some(key);
            }
            queue.late.push_back(key);
        }
        None
    }

    /// The next late request of `tier`; drops expired ones that it meets.
    pub(super) fn next_late(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        while let Some(key) = self.queues[tier.index()].late.pop_front() {
            if Dispatcher::is_waiting(&self.requests, key) && !self.drop_expired(now, key) {
                return Some(key);
            }
        }
        None
    }

    /// Removes a request that would end after its caller's patience, to be refused; true if it is
    /// gone. A request that ran before is kept.
    pub(super) fn drop_expired(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(entry) = self.requests.get(key) else {
            return true;
        };
        let patience_end = entry.request.arrival + entry.request.rule.patience;
        let needed = Millis(entry.expected_hold.0 * MIN_PATIENCE_PERCENT / 100);
        if entry.request.admitted || now + needed <= patience_end {
            return false;
        }
        self.uncount_waiting(key);
        self.requests.remove(key);
        self.expired.push(key);
        true
    }
}
