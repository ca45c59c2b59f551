//! Assigns waiting requests to the runners of one shard.
//!
//! The dispatcher sees request descriptors, never content. Entry daemons keep their registration of
//! each request open until it ends, so a new dispatcher rebuilds its state from them and nothing is
//! stored.

mod admission;
mod choice;
mod ending;
mod order;
mod preemption;

use std::collections::{BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Fingerprint, Millis, RunnerName};

use crate::{
    Descriptor, DispatchSettings, FairQueue, HoldTimes, Isolation, LoadReport, Outcome, PrefixMap, RefusedArrivals,
    ResultCode, RunnerInfo, RunnerKey, RunnerPool, Suspects, Tier,
};

new_key_type! {
    /// Identifies a request, waiting or running, within one dispatcher.
    pub struct RequestKey;
}

/// An instruction that the driver of a [`Dispatcher`] has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Tell the entry daemon to send the request to a runner.
    Grant {
        /// The request's key.
        request_key: RequestKey,
        /// The runner to send it to.
        runner: RunnerInfo,
        /// The time since the request's arrival.
        waited: Millis,
        /// Why that runner was chosen, for operators.
        reason: &'static str,
    },
    /// Tell the entry daemon that the request is refused; the dispatcher has removed it.
    Refuse {
        /// The request's key.
        request_key: RequestKey,
        /// The result code to answer with.
        code: ResultCode,
        /// How long to wait before a retry; zero if no delay is advised.
        retry: Millis,
    },
    /// Tell the entry daemon to cancel the running request and send it to the dispatcher again.
    Preempt {
        /// The request's key.
        request_key: RequestKey,
    },
    /// Tell every daemon to refuse this content from now on, because it crashes runners.
    Condemn {
        /// The fingerprint of the content.
        fingerprint: Fingerprint,
    },
    /// Report a runner that is limited to one request at a time, because it is much slower than
    /// the median.
    Eject {
        /// The runner.
        runner: RunnerName,
    },
}

/// Queue and runner counts of one dispatcher, for status pages and logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatchStats {
    /// Waiting requests by tier, the most urgent first.
    pub waiting: [u32; Tier::COUNT],
    /// Requests granted to a known runner that have not ended.
    pub running: u32,
    /// The number of requests that the usable runners can run at once.
    pub places: u32,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Waiting,
    Running { runner: Option<RunnerKey>, since: Millis, preempting: bool },
}

/// A request at this dispatcher, from when it is added to its end.
#[derive(Debug)]
struct RequestEntry {
    request: Descriptor,
    state: State,
    /// The expected time from grant to end.
    expected_hold: Millis,
    /// Whether it is counted as a crash suspect at its runner.
    suspect: bool,
}

/// The waiting requests of one tier; keys of requests that no longer wait are skipped when popped.
#[derive(Debug, Default)]
struct TierQueue {
    /// Requests that ran before; they go first.
    resumed: VecDeque<RequestKey>,
    fair: FairQueue<RequestKey>,
    /// Requests that can no longer meet their target.
    late: VecDeque<RequestKey>,
    waiting: u32,
    /// The sum of the expected hold times of the waiting requests.
    backlog_ms: u64,
}

/// The dispatcher of one shard: its runners, and the requests that wait for or hold one.
///
/// Every method that takes the time returns the actions that follow, for the driver to carry out.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    started: Millis,
    pool: RunnerPool,
    requests: SlotMap<RequestKey, RequestEntry>,
    queues: [TierQueue; Tier::COUNT],
    /// Waiting crash suspects of all tiers, the most urgent first.
    suspect_queue: VecDeque<RequestKey>,
    /// Running requests by tier and time of grant.
    running: BTreeSet<(Tier, Millis, RequestKey)>,
    /// Running requests of the tiers that are not urgent.
    non_urgent: u32,
    /// Running requests that were told to give up their runner.
    preempting: u32,
    hold_times: HoldTimes,
    prefixes: PrefixMap,
    suspects: Suspects,
    grant_count: u64,
    /// When an urgent request was last refused on arrival.
    last_refusal: Option<Millis>,
    /// The decaying peak of concurrent urgent requests, in thousandths of a request.
    peak_milli: u64,
    /// Removed requests that are still to be refused.
    expired: Vec<RequestKey>,
    refused_arrivals: RefusedArrivals,
}

impl Dispatcher {
    /// Creates a dispatcher without runners that starts at `now`.
    pub fn new(settings: DispatchSettings, now: Millis) -> Dispatcher {
        let prefixes = PrefixMap::new(settings.prefix_max);
        Dispatcher {
            settings,
            started: now,
            pool: RunnerPool::default(),
            requests: SlotMap::with_key(),
            queues: Default::default(),
            suspect_queue: VecDeque::new(),
            running: BTreeSet::new(),
            non_urgent: 0,
            preempting: 0,
            hold_times: HoldTimes::default(),
            prefixes,
            suspects: Suspects::default(),
            grant_count: 0,
            last_refusal: None,
            peak_milli: 0,
            expired: Vec::new(),
            refused_arrivals: RefusedArrivals::default(),
        }
    }

    /// The runners of this shard.
    pub const fn pool(&self) -> &RunnerPool {
        &self.pool
    }

    /// The current queue and runner counts.
    pub fn stats(&self) -> DispatchStats {
        DispatchStats {
            waiting: std::array::from_fn(|tier| self.queues[tier].waiting),
            running: self.pool.granted(),
            places: self.pool.places(),
        }
    }

    /// Replaces the list of runners; one that is no longer listed gets no new requests.
    pub fn set_runners(&mut self, now: Millis, list: Vec<RunnerInfo>) -> Vec<DispatchAction> {
        self.pool.set_runners(list);
        self.dispatch_waiting(now)
    }

    /// Applies a runner's load report; one from an unknown runner is ignored.
    pub fn apply_report(&mut self, now: Millis, runner: &RunnerName, report: LoadReport) -> Vec<DispatchAction> {
        if let Some(key) = self.pool.find(runner) {
            self.pool.apply_report(now, key, report);
        }
        self.dispatch_waiting(now)
    }

    /// Refuses `fingerprint` from now on, as another dispatcher decided.
    pub fn condemn(&mut self, fingerprint: Fingerprint) {
        self.suspects.condemn(fingerprint);
    }

    /// Every fingerprint that is refused because it crashes runners.
    pub fn condemned(&self) -> Vec<Fingerprint> {
        self.suspects.condemned().collect()
    }

    /// Does the periodic work: adapts the dedicated runners, ejects stragglers and grants requests.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        if now.since(self.started) >= self.settings.adopt_for {
            self.pool.trust_own_counts();
        }
        self.update_dedicated();
        let ejected = self.pool.tick(now, &self.settings);
        let mut actions: Vec<DispatchAction> =
            ejected.into_iter().map(|runner| DispatchAction::Eject { runner }).collect();
        actions.extend(self.dispatch_waiting(now));
        actions
    }

    /// Queues, adopts or refuses a request; its grant or refusal may be among the actions.
    ///
    /// A retry of a refused request keeps its first arrival time.
    pub fn add(&mut self, now: Millis, mut request: Descriptor) -> (RequestKey, Vec<DispatchAction>) {
        self.refused_arrivals.expire(now);
        if let Some(first) = self.refused_arrivals.first_arrival(request.fingerprint) {
            request.arrival = request.arrival.min(first);
        }
        let expected_hold = self.hold_times.expected(&request.class, &request.rule);
        let key = self.requests.insert(RequestEntry { request, state: State::Waiting, expected_hold, suspect: false });
        if let Some((code, retry)) = self.check_admission(now, key) {
            if let Some(RequestEntry { request, .. }) = self.requests.remove(key) {
                let until = request.arrival + request.rule.patience;
                self.refused_arrivals.record(request.fingerprint, request.arrival, until);
            }
            return (key, vec![DispatchAction::Refuse { request_key: key, code, retry }]);
        }
        if self.adopt(now, key) {
            return (key, Vec::new());
        }
        self.enqueue(key);
        (key, self.dispatch_waiting(now))
    }

    /// Registers a request that an earlier dispatcher granted; false if none did, so it must wait.
    fn adopt(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(entry) = self.requests.get(key) else {
            return false;
        };
        let Some(name) = &entry.request.holding else {
            return false;
        };
        let runner = self.pool.find(name);
        self.start_running(now, key, runner, None);
        true
    }

    fn enqueue(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.get(key) else {
            return;
        };
        let request = &entry.request;
        let queue = &mut self.queues[request.rule.tier.index()];
        queue.waiting += 1;
        queue.backlog_ms += entry.expected_hold.0;
        if self.suspects.isolation(request.fingerprint) != Isolation::None {
            self.suspect_queue.push_back(key);
            let requests = &self.requests;
            let tier = |key: &RequestKey| requests.get(*key).map(|entry| entry.request.rule.tier);
            self.suspect_queue.make_contiguous().sort_by_key(tier);
            return;
        }
        if request.admitted {
            queue.resumed.push_back(key);
            return;
        }
        queue.fair.push(&request.customer, key, request.rule.cost(request.prompt_tokens));
    }

    fn uncount_waiting(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.get(key) else {
            return;
        };
        let queue = &mut self.queues[entry.request.rule.tier.index()];
        queue.waiting = queue.waiting.saturating_sub(1);
        queue.backlog_ms = queue.backlog_ms.saturating_sub(entry.expected_hold.0);
    }

    fn is_waiting(requests: &SlotMap<RequestKey, RequestEntry>, key: RequestKey) -> bool {
        requests.get(key).is_some_and(|entry| matches!(entry.state, State::Waiting))
    }

    /// Removes a request that its entry daemon reports as ended; `outcome` counts only if it ran.
    pub fn remove(&mut self, now: Millis, key: RequestKey, outcome: Outcome) -> Vec<DispatchAction> {
        let Some(entry) = self.requests.get(key) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        match entry.state {
            State::Waiting => self.uncount_waiting(key),
            State::Running { runner, since, preempting } => {
                actions.extend(self.apply_outcome(now, key, runner, outcome));
                self.release_runner(key, runner, since, preempting, now, outcome);
            }
        }
        self.requests.remove(key);
        actions.extend(self.dispatch_waiting(now));
        actions
    }

    /// Grants requests while runners have room, then refuses expired ones and preempts if needed.
    fn dispatch_waiting(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.dispatch_suspects(now, &mut actions);
        while self.pool.has_room() {
            let Some(key) = self.next_request(now) else {
                break;
            };
            let Some((runner, reason)) = self.choose_runner(key) else {
                self.requeue_first(key);
                break;
            };
            self.uncount_waiting(key);
            actions.extend(self.grant(now, key, runner, reason, None));
        }
        let refuse =
            |key| DispatchAction::Refuse { request_key: key, code: ResultCode::PatienceOver, retry: Millis(0) };
        actions.extend(self.expired.drain(..).map(refuse));
        self.preempt(now, &mut actions);
        actions
    }

    /// Returns a request for which no runner was found to the head of its tier.
    fn requeue_first(&mut self, key: RequestKey) {
        if let Some(entry) = self.requests.get(key) {
            self.queues[entry.request.rule.tier.index()].resumed.push_front(key);
        }
    }

    /// Grants each crash suspect a runner without other suspects, or an empty one after two crashes.
    fn dispatch_suspects(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let mut unplaced = 0;
        for key in std::mem::take(&mut self.suspect_queue) {
            let Some(entry) = self.requests.get(key).filter(|entry| matches!(entry.state, State::Waiting)) else {
                continue;
            };
            let urgent = entry.request.rule.tier.is_urgent();
            let isolate = self.suspects.isolation(entry.request.fingerprint) == Isolation::Full;
            let runner =
                if isolate { self.pool.empty_runner() } else { self.pool.least_loaded_without_suspects(urgent) };
            let Some(runner) = runner else {
                unplaced += usize::from(isolate);
                self.suspect_queue.push_back(key);
                continue;
            };
            self.uncount_waiting(key);
            self.pool.count_suspect(runner, true);
            if let Some(entry) = self.requests.get_mut(key) {
                entry.suspect = true;
            }
            let until = isolate.then_some(now + self.settings.isolate_for);
            actions.extend(self.grant(now, key, runner, "suspect runs apart", until));
        }
        let max_draining = (self.pool.len() / 4).max(1);
        self.pool.drain(unplaced.min(max_draining));
    }

    fn grant(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: RunnerKey,
        reason: &'static str,
        isolated_until: Option<Millis>,
    ) -> Option<DispatchAction> {
        let info = self.pool.info(runner)?.clone();
        let request = &self.requests.get(key)?.request;
        let waited = now.since(request.arrival);
        self.prefixes.set(request.prefix, runner);
        self.grant_count += 1;
        self.start_running(now, key, Some(runner), isolated_until);
        Some(DispatchAction::Grant { request_key: key, runner: info, waited, reason })
    }

    fn start_running(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: Option<RunnerKey>,
        isolated_until: Option<Millis>,
    ) {
        let Some(entry) = self.requests.get_mut(key) else {
            return;
        };
        entry.state = State::Running { runner, since: now, preempting: false };
        let tier = entry.request.rule.tier;
        self.running.insert((tier, now, key));
        self.non_urgent += u32::from(!tier.is_urgent());
        if let Some(runner) = runner {
            self.pool.record_grant(runner, tier.is_urgent(), isolated_until);
        }
    }
}
