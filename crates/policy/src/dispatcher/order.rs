//! Which request goes next.

use teaselcroft_parts::Millis;

use super::{Dispatcher, RequestKey};
use crate::Tier;

/// Expected time at a runner that must be left of the patience of a request that begins, in percent.
const HOPELESS_PERCENT: u64 = 200;

impl Dispatcher {
    /// The request that goes next: urgent ones, then those that ran before, then by tier.
    ///
    /// Requests that can no longer meet their target go after all that can. An aged one goes first
    /// now and then.
    pub(super) fn next_place(&mut self, now: Millis) -> Option<RequestKey> {
        let lesser_max = self.pool.places() * (100 - self.settings.reserve_percent) / 100;
        let lesser_open = self.lesser < lesser_max.max(1) && self.pool.has_shared_room();
        let aged = if lesser_open { self.next_aged(now) } else { None };
        let urgent = |tier: &Tier| tier.is_urgent();
        let found = aged.or_else(|| self.next_of_any(now, urgent));
        if found.is_some() || !lesser_open {
            return found;
        }
        self.next_of_any(now, |tier| !tier.is_urgent())
    }

    /// The next request of the tiers that `wanted` picks.
    pub(super) fn next_of_any(&mut self, now: Millis, wanted: impl Fn(&Tier) -> bool) -> Option<RequestKey> {
        let tiers = || Tier::all().filter(&wanted);
        let resumed = tiers().find_map(|tier| self.next_resumed(tier));
        let on_time = resumed.or_else(|| tiers().find_map(|tier| self.next_on_time(now, tier)));
        on_time.or_else(|| tiers().find_map(|tier| self.next_late(now, tier)))
    }

    pub(super) fn next_aged(&mut self, now: Millis) -> Option<RequestKey> {
        let held = self.refused_at.is_some_and(|at| now.since(at) < self.settings.refusal_hold);
        if held || !self.grants.is_multiple_of(self.settings.aged_every) {
            return None;
        }
        Tier::all().rev().filter(|tier| !tier.is_urgent()).find_map(|tier| self.oldest_aged(now, tier))
    }

    pub(super) fn oldest_aged(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        loop {
            let (places, apart) = (&self.places, &self.apart);
            let waits = |key| Dispatcher::is_waiting(places, key) && !apart.contains(&key);
            let key = self.tiers[tier.index()].fair.oldest(waits)?;
            let request = &self.places[key].request;
            let aged_at = Millis(request.rule.patience.0 * self.settings.age_percent / 100);
            if now.since(request.arrival) < aged_at {
                return None;
            }
            if !self.is_hopeless(now, key) {
                return Some(key);
            }
        }
    }

    pub(super) fn next_resumed(&mut self, tier: Tier) -> Option<RequestKey> {
        let places = &self.places;
        let resumed = &mut self.tiers[tier.index()].resumed;
        while let Some(key) = resumed.pop_front() {
            if Dispatcher::is_waiting(places, key) {
                return Some(key);
            }
        }
        None
    }

    /// The next request of `tier` that can still meet its target; others join the late ones.
    pub(super) fn next_on_time(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        let places = &self.places;
        let queue = &mut self.tiers[tier.index()];
        let waits = |key| Dispatcher::is_waiting(places, key);
        while let Some(key) = queue.fair.pop(waits) {
            let place = &places[key];
            let due = place.request.arrival + place.request.rule.target;
            let needed = Millis(place.expected.0 * self.settings.margin_percent / 100);
            if now + needed <= due {
                return Some(key);
            }
            queue.late.push_back(key);
        }
        None
    }

    pub(super) fn next_late(&mut self, now: Millis, tier: Tier) -> Option<RequestKey> {
        while let Some(key) = self.tiers[tier.index()].late.pop_front() {
            if Dispatcher::is_waiting(&self.places, key) && !self.is_hopeless(now, key) {
                return Some(key);
            }
        }
        None
    }

    /// Whether a request would outlast its caller's patience; it is refused then.
    pub(super) fn is_hopeless(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(place) = self.places.get(key) else {
            return true;
        };
        let gives_up = place.request.arrival + place.request.rule.patience;
        let needed = Millis(place.expected.0 * HOPELESS_PERCENT / 100);
        if place.request.admitted || now + needed <= gives_up {
            return false;
        }
        self.dequeued(key);
        self.places.remove(key);
        self.hopeless.push(key);
        true
    }
}
