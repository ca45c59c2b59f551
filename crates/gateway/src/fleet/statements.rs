//! What runners state about themselves in their answers: rate limits, pauses and that they leave.

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::runner_table::LimitStatement;
use super::{Fleet, RunnerKey, runner_hash};
use crate::heartbeat::{RunnerLeft, RunnerLimit, RunnerPermits};
use crate::{RequestRate, RunnerRecord};

/// The longest time for which a runner that asks for it gets no requests.
const MAX_HOLD: Millis = Millis(3_600_000);

/// The daemon's clock counts whole milliseconds, rounded down: the present may be this much later than `now`, and an end
/// counted from `now` would come that much early.
const CLOCK_STEP: Millis = Millis(1);

impl Fleet {
    /// Records the rate limit that a runner states in an answer to a request sent at `sent_at`, or that it states none.
    /// Returns whether the limit changed. An answer without a limit to a request from before the last statement says
    /// nothing: answers on different connections may overtake each other.
    pub fn note_limit(&mut self, key: RunnerKey, rate: Option<RequestRate>, sent_at: Millis, now: Millis) -> bool {
        let Some(state) = self.runners.get_mut(key) else {
            return false;
        };
        let is_outdated = rate.is_none() && state.stated.limit.is_none_or(|statement| statement.at >= sent_at);
        !is_outdated && state.stated.set_limit(LimitStatement { rate, at: now, is_own: true }, now)
    }

    /// Records rate limits that runners stated to a peer; returns the known runners whose limit changed by it. A starting
    /// daemon may hear of limits before it has the runners' entries.
    pub fn apply_peer_limits(&mut self, limits: &[RunnerLimit], now: Millis) -> Vec<(RunnerName, Option<RequestRate>)> {
        let mut changed = Vec::new();
        for limit in limits {
            let Ok(rate) = limit.per_second.map(RequestRate::try_from).transpose() else {
                log::debug!("ignored a peer's rate limit that is no rate");
                continue;
            };
            let at = now.since(Millis(limit.age_ms.into()));
            let stated = self.runners.stated_mut(limit.runner);
            let is_newer = stated.limit.is_none_or(|known| at > known.at);
            let is_changed = is_newer && stated.set_limit(LimitStatement { rate, at, is_own: false }, now);
            if let Some(state) = self.runners.by_hash_mut(limit.runner).filter(|_| is_changed) {
                changed.push((state.record().name.clone(), rate));
            }
        }
        changed
    }

    /// The rate limits that runners stated to this daemon, for its heartbeats.
    pub fn own_limits(&self, now: Millis) -> Vec<RunnerLimit> {
        self.runners.states().filter_map(|state| state.stated.limit?.report(state.hash(), now)).collect()
    }

    /// The rate limits that runners stated to any daemon, for one that starts.
    pub fn known_limits(&self, now: Millis) -> Vec<RunnerLimit> {
        let states = self.runners.states();
        states.filter_map(|state| Some(state.stated.limit?.describe(state.hash(), now))).collect()
    }

    /// Counts the requests that a peer let pass to runners with a rate limit.
    pub fn apply_peer_permits(&mut self, peer: &str, permits: &[RunnerPermits], now: Millis) {
        for report in permits {
            self.runners.stated_mut(report.runner).note_peer_permits(peer, report.count, now);
        }
    }

    /// The requests that this daemon let pass to runners that have a rate limit, for its heartbeats.
    pub fn own_permits(&self) -> Vec<RunnerPermits> {
        let limited = self.runners.states().filter(|state| state.stated.rate_limit().is_some());
        limited.map(|state| RunnerPermits { runner: state.hash(), count: state.stated.permits }).collect()
    }

    /// Counts a request that this daemon, as the placement leader, sends to a runner that it chose for itself.
    pub fn take_allowance(&mut self, key: RunnerKey, now: Millis) {
        if let Some(state) = self.runners.get_mut(key) {
            state.stated.take_allowance(now);
        }
    }

    /// Sends nothing to a runner for `span`, since it asked this daemon for that; also if its entry is absent and returns
    /// within the same start.
    pub fn hold(&mut self, record: &RunnerRecord, span: Millis, now: Millis) {
        let stated = self.runners.stated_mut(runner_hash(&record.name, record.started_at));
        stated.held_until = stated.held_until.max(now + span.min(MAX_HOLD) + CLOCK_STEP);
    }

    /// Whether a runner wants no request from this daemon now.
    pub fn is_held(&self, key: RunnerKey, now: Millis) -> bool {
        self.runners.get(key).is_some_and(|state| state.stated.held_until > now)
    }

    /// The runners of a service that want no request from this daemon now.
    pub fn held(&self, service: &ModelName, now: Millis) -> Vec<RunnerName> {
        let held = self.runners.of_service(service).filter(|(_, state)| state.stated.held_until > now);
        held.map(|(_, state)| state.record().name.clone()).collect()
    }

    /// Stops sending new requests to a runner that says in an answer that it leaves, and queues a report to peers. Returns
    /// true if the runner took requests until now. It is remembered for this start also if its entry is absent now.
    pub fn note_leaving(&mut self, record: &RunnerRecord, now: Millis) -> bool {
        let hash = runner_hash(&record.name, record.started_at);
        let revision = self.runners.by_hash_mut(hash).map_or(0, |state| state.revision().0);
        let departure = RunnerLeft { runner: hash, revision, is_stated: true };
        if self.runners.stated_mut(hash).leaving.is_none() {
            self.departures.push((now, departure));
        }
        self.apply_departure(departure, now).is_some()
    }
}
