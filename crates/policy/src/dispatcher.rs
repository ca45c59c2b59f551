//! Grants the runners of one shard to the requests that wait for them.
//!
//! The dispatcher sees descriptors, never content. Entry daemons keep a place open for as long as
//! a request lives, so a new dispatcher learns everything from them and nothing has to be stored.

mod admission;
mod choice;
mod ending;
mod order;
mod preemption;

use std::collections::{BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Fingerprint, Millis, RunnerName};

use crate::{
    Descriptor, DispatchSettings, FairQueue, HoldTimes, LoadReport, Outcome, PrefixMap, ResultCode, Returning,
    RunnerInfo, RunnerKey, RunnerPool, Suspects, Suspicion, Tier,
};

new_key_type! {
    /// Identifies a request within one dispatcher.
    pub struct RequestKey;
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Tell the request to run.
    Grant {
        /// The request.
        place: RequestKey,
        /// Where it runs.
        runner: RunnerInfo,
        /// How long it waited.
        waited: Millis,
        /// Why that runner won.
        reason: &'static str,
    },
    /// Tell the request that it is refused; its place is gone.
    Refuse {
        /// The request.
        place: RequestKey,
        /// Why.
        code: ResultCode,
        /// When to try again.
        retry: Millis,
    },
    /// Tell the running request to give up its runner and come back.
    Preempt {
        /// The request.
        place: RequestKey,
    },
    /// Tell every daemon that this content is refused from now on.
    Condemn {
        /// The content.
        fingerprint: Fingerprint,
    },
    /// A runner was found much slower than the others.
    Eject {
        /// The runner.
        runner: RunnerName,
    },
}

/// Counts for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatchStats {
    /// Requests that wait, by tier.
    pub waiting: [u32; Tier::COUNT],
    /// Requests that run.
    pub running: u32,
    /// Places at usable runners.
    pub places: u32,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Waiting,
    Running { runner: Option<RunnerKey>, since: Millis, preempting: bool },
}

#[derive(Debug)]
struct Place {
    request: Descriptor,
    state: State,
    expected: Millis,
    suspect: bool,
}

#[derive(Debug, Default)]
struct TierQueue {
    resumed: VecDeque<RequestKey>,
    fair: FairQueue<RequestKey>,
    late: VecDeque<RequestKey>,
    waiting: u32,
    hold_ms: u64,
}

/// Grants runners to requests.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    started: Millis,
    pool: RunnerPool,
    places: SlotMap<RequestKey, Place>,
    tiers: [TierQueue; Tier::COUNT],
    apart: VecDeque<RequestKey>,
    running: BTreeSet<(Tier, Millis, RequestKey)>,
    lesser: u32,
    preempting: u32,
    holds: HoldTimes,
    prefixes: PrefixMap,
    suspects: Suspects,
    grants: u64,
    refused_at: Option<Millis>,
    urgent_milli: u64,
    hopeless: Vec<RequestKey>,
    returning: Returning,
}

impl Dispatcher {
    /// A dispatcher without runners that starts at `now`.
    pub fn new(settings: DispatchSettings, now: Millis) -> Dispatcher {
        let prefixes = PrefixMap::new(settings.prefix_max);
        Dispatcher {
            settings,
            started: now,
            pool: RunnerPool::default(),
            places: SlotMap::with_key(),
            tiers: Default::default(),
            apart: VecDeque::new(),
            running: BTreeSet::new(),
            lesser: 0,
            preempting: 0,
            holds: HoldTimes::default(),
            prefixes,
            suspects: Suspects::default(),
            grants: 0,
            refused_at: None,
            urgent_milli: 0,
            hopeless: Vec::new(),
            returning: Returning::default(),
        }
    }

    /// The runners of this shard.
    pub const fn pool(&self) -> &RunnerPool {
        &self.pool
    }

    /// Counts for operators.
    pub fn stats(&self) -> DispatchStats {
        DispatchStats {
            waiting: std::array::from_fn(|tier| self.tiers[tier].waiting),
            running: self.pool.granted(),
            places: self.pool.places(),
        }
    }

    /// Replaces the list of runners.
    pub fn set_runners(&mut self, now: Millis, list: Vec<RunnerInfo>) -> Vec<DispatchAction> {
        self.pool.set_runners(list);
        self.pump(now)
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Millis, runner: &RunnerName, report: LoadReport) -> Vec<DispatchAction> {
        if let Some(key) = self.pool.find(runner) {
            self.pool.report(now, key, report);
        }
        self.pump(now)
    }

    /// Takes in a refusal decided by another dispatcher.
    pub fn condemn(&mut self, fingerprint: Fingerprint) {
        self.suspects.condemn(fingerprint);
    }

    /// Every refused fingerprint.
    pub fn condemned(&self) -> Vec<Fingerprint> {
        self.suspects.condemned().collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        if now.since(self.started) >= self.settings.adopt_for {
            self.pool.trust_own_counts();
        }
        self.keep_fast();
        let ejected = self.pool.tick(now, &self.settings);
        let mut actions: Vec<DispatchAction> =
            ejected.into_iter().map(|runner| DispatchAction::Eject { runner }).collect();
        actions.extend(self.pump(now));
        actions
    }

    /// Takes in a request; the answer may be among the actions.
    ///
    /// One that was refused before and comes back keeps the age it had.
    pub fn enter(&mut self, now: Millis, mut request: Descriptor) -> (RequestKey, Vec<DispatchAction>) {
        self.returning.forget(now);
        if let Some(first) = self.returning.first_arrival(request.fingerprint) {
            request.arrival = request.arrival.min(first);
        }
        let expected = self.holds.expected(&request.class, &request.rule);
        let place = self.places.insert(Place { request, state: State::Waiting, expected, suspect: false });
        if let Some((code, retry)) = self.refusal(now, place) {
            if let Some(Place { request, .. }) = self.places.remove(place) {
                let until = request.arrival + request.rule.patience;
                self.returning.refused(request.fingerprint, request.arrival, until);
            }
            return (place, vec![DispatchAction::Refuse { place, code, retry }]);
        }
        if self.adopt(now, place) {
            return (place, Vec::new());
        }
        self.enqueue(place);
        (place, self.pump(now))
    }

    /// Takes over a request that another dispatcher granted; true if it runs.
    fn adopt(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(place) = self.places.get(key) else {
            return false;
        };
        let Some(name) = &place.request.holding else {
            return false;
        };
        let runner = self.pool.find(name);
        self.begin(now, key, runner, None);
        true
    }

    fn enqueue(&mut self, key: RequestKey) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let request = &place.request;
        let queue = &mut self.tiers[request.rule.tier.index()];
        queue.waiting += 1;
        queue.hold_ms += place.expected.0;
        if self.suspects.suspicion(request.fingerprint) != Suspicion::None {
            self.apart.push_back(key);
            let places = &self.places;
            let tier = |key: &RequestKey| places.get(*key).map(|place| place.request.rule.tier);
            self.apart.make_contiguous().sort_by_key(tier);
            return;
        }
        if request.admitted {
            queue.resumed.push_back(key);
            return;
        }
        queue.fair.push(&request.customer, key, request.rule.cost(request.prompt_tokens));
    }

    fn dequeued(&mut self, key: RequestKey) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let queue = &mut self.tiers[place.request.rule.tier.index()];
        queue.waiting = queue.waiting.saturating_sub(1);
        queue.hold_ms = queue.hold_ms.saturating_sub(place.expected.0);
    }

    fn is_waiting(places: &SlotMap<RequestKey, Place>, key: RequestKey) -> bool {
        places.get(key).is_some_and(|place| matches!(place.state, State::Waiting))
    }

    /// Records that a request left, by its own account of how.
    pub fn leave(&mut self, now: Millis, key: RequestKey, outcome: Outcome) -> Vec<DispatchAction> {
        let Some(place) = self.places.get(key) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        match place.state {
            State::Waiting => self.dequeued(key),
            State::Running { runner, since, preempting } => {
                actions.extend(self.judge(now, key, runner, outcome));
                self.end(key, runner, since, preempting, now, outcome);
            }
        }
        self.places.remove(key);
        actions.extend(self.pump(now));
        actions
    }

    /// Grants what can be granted and preempts what must be.
    fn pump(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.pump_apart(now, &mut actions);
        while self.pool.has_room() {
            let Some(key) = self.next_place(now) else {
                break;
            };
            let Some((runner, reason)) = self.choose(key) else {
                self.put_back(key);
                break;
            };
            self.dequeued(key);
            actions.extend(self.grant(now, key, runner, reason, None));
        }
        let refuse = |place| DispatchAction::Refuse { place, code: ResultCode::PatienceOver, retry: Millis(0) };
        actions.extend(self.hopeless.drain(..).map(refuse));
        self.preempt(now, &mut actions);
        actions
    }

    /// Lets a request that could not be granted after all go first next time.
    fn put_back(&mut self, key: RequestKey) {
        if let Some(place) = self.places.get(key) {
            self.tiers[place.request.rule.tier.index()].resumed.push_front(key);
        }
    }

    /// Runs suspects: those of one crash on runners without another, the others without companions.
    fn pump_apart(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let mut isolated = 0;
        for key in std::mem::take(&mut self.apart) {
            let Some(place) = self.places.get(key).filter(|place| matches!(place.state, State::Waiting)) else {
                continue;
            };
            let urgent = place.request.rule.tier.is_urgent();
            let alone = self.suspects.suspicion(place.request.fingerprint) == Suspicion::Alone;
            let runner = if alone { self.pool.empty_runner() } else { self.pool.least_loaded_clean(urgent) };
            let Some(runner) = runner else {
                isolated += usize::from(alone);
                self.apart.push_back(key);
                continue;
            };
            self.dequeued(key);
            self.pool.count_suspect(runner, true);
            if let Some(place) = self.places.get_mut(key) {
                place.suspect = true;
            }
            let until = alone.then_some(now + self.settings.alone_for);
            actions.extend(self.grant(now, key, runner, "suspect runs apart", until));
        }
        let most = (self.pool.len() / 4).max(1);
        self.pool.reserve(isolated.min(most));
    }

    fn grant(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: RunnerKey,
        reason: &'static str,
        alone_until: Option<Millis>,
    ) -> Option<DispatchAction> {
        let info = self.pool.info(runner)?.clone();
        let request = &self.places.get(key)?.request;
        let waited = now.since(request.arrival);
        self.prefixes.set(request.prefix, runner);
        self.grants += 1;
        self.begin(now, key, Some(runner), alone_until);
        Some(DispatchAction::Grant { place: key, runner: info, waited, reason })
    }

    fn begin(&mut self, now: Millis, key: RequestKey, runner: Option<RunnerKey>, alone_until: Option<Millis>) {
        let Some(place) = self.places.get_mut(key) else {
            return;
        };
        place.state = State::Running { runner, since: now, preempting: false };
        let tier = place.request.rule.tier;
        self.running.insert((tier, now, key));
        self.lesser += u32::from(!tier.is_urgent());
        if let Some(runner) = runner {
            self.pool.begin(runner, tier.is_urgent(), alone_until);
        }
    }
}
