//! Grants the runners of one shard to the requests that wait for them.
//!
//! The dispatcher sees descriptors, never content. Entry daemons keep a place open for as long as
//! a request lives, so a new dispatcher learns everything from them and nothing has to be stored.

use std::collections::{BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{CustomerName, Fingerprint, Millis, RunnerName};

use crate::{
    Descriptor, DispatchSettings, EndKind, FairQueue, HoldTimes, LoadReport, Outcome, PrefixMap, ResultCode, Returning,
    RunnerInfo, RunnerKey, RunnerPool, Suspects, Suspicion, Tier,
};

const MIN_RETRY: Millis = Millis(200);
const MAX_RETRY: Millis = Millis(10_000);
/// Expected time at a runner that must be left of the patience of a request that begins, in percent.
const HOPELESS_PERCENT: u64 = 200;

const PREEMPT_SHARE: u32 = 8;

/// The remembered peak of urgent requests falls by one part in this many a tick.
const PEAK_DECAY: u64 = 200;

new_key_type! {
    /// Identifies a request within one dispatcher.
    pub struct PlaceKey;
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Tell the request to run.
    Grant {
        /// The request.
        place: PlaceKey,
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
        place: PlaceKey,
        /// Why.
        code: ResultCode,
        /// When to try again.
        retry: Millis,
    },
    /// Tell the running request to give up its runner and come back.
    Preempt {
        /// The request.
        place: PlaceKey,
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
    resumed: VecDeque<PlaceKey>,
    fair: FairQueue<PlaceKey>,
    late: VecDeque<PlaceKey>,
    waiting: u32,
    hold_ms: u64,
}

/// Grants runners to requests.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    started: Millis,
    pool: RunnerPool,
    places: SlotMap<PlaceKey, Place>,
    tiers: [TierQueue; Tier::COUNT],
    apart: VecDeque<PlaceKey>,
    running: BTreeSet<(Tier, Millis, PlaceKey)>,
    lesser: u32,
    preempting: u32,
    holds: HoldTimes,
    prefixes: PrefixMap,
    suspects: Suspects,
    grants: u64,
    refused_at: Option<Millis>,
    urgent_milli: u64,
    hopeless: Vec<PlaceKey>,
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

    /// Keeps runners fast for as many urgent requests as ran or waited at once lately.
    fn keep_fast(&mut self) {
        let urgent = Tier::all().filter(|tier| tier.is_urgent()).map(|tier| self.tiers[tier.index()].waiting);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX) - self.lesser;
        let now_milli = u64::from(urgent.sum::<u32>() + running) * 1_000;
        let fallen = self.urgent_milli - self.urgent_milli / PEAK_DECAY;
        self.urgent_milli = now_milli.max(fallen);
        self.pool.keep_fast(u32::try_from(self.urgent_milli / 1_000).unwrap_or(u32::MAX));
    }

    /// Takes in a request; the answer may be among the actions.
    ///
    /// One that was refused before and comes back keeps the age it had.
    pub fn enter(&mut self, now: Millis, mut request: Descriptor) -> (PlaceKey, Vec<DispatchAction>) {
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

    fn refusal(&mut self, now: Millis, key: PlaceKey) -> Option<(ResultCode, Millis)> {
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
    fn expected_wait(&self, tier: Tier, customer: &CustomerName) -> Millis {
        let more_urgent: u64 = self.tiers.iter().take(tier.index()).map(|queue| queue.hold_ms).sum();
        let queue = &self.tiers[tier.index()];
        let mean = queue.hold_ms / u64::from(queue.waiting.max(1));
        let share = mean.saturating_mul(queue.fair.ahead(customer) as u64);
        Millis((more_urgent + queue.hold_ms.min(share)) / u64::from(self.pool.places().max(1)))
    }

    /// Takes over a request that another dispatcher granted; true if it runs.
    fn adopt(&mut self, now: Millis, key: PlaceKey) -> bool {
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

    fn enqueue(&mut self, key: PlaceKey) {
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
            let tier = |key: &PlaceKey| places.get(*key).map(|place| place.request.rule.tier);
            self.apart.make_contiguous().sort_by_key(tier);
            return;
        }
        if request.admitted {
            queue.resumed.push_back(key);
            return;
        }
        queue.fair.push(&request.customer, key, request.rule.cost(request.prompt_tokens));
    }

    fn dequeued(&mut self, key: PlaceKey) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let queue = &mut self.tiers[place.request.rule.tier.index()];
        queue.waiting = queue.waiting.saturating_sub(1);
        queue.hold_ms = queue.hold_ms.saturating_sub(place.expected.0);
    }

    fn is_waiting(places: &SlotMap<PlaceKey, Place>, key: PlaceKey) -> bool {
        places.get(key).is_some_and(|place| matches!(place.state, State::Waiting))
    }

    /// Records that a request left, by its own account of how.
    pub fn leave(&mut self, now: Millis, key: PlaceKey, outcome: Outcome) -> Vec<DispatchAction> {
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

    fn end(
        &mut self,
        key: PlaceKey,
        runner: Option<RunnerKey>,
        since: Millis,
        preempting: bool,
        now: Millis,
        outcome: Outcome,
    ) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let tier = place.request.rule.tier;
        self.running.remove(&(tier, since, key));
        self.lesser -= u32::from(!tier.is_urgent());
        self.preempting -= u32::from(preempting);
        if outcome.kind == EndKind::Done {
            self.holds.record(&place.request.class, now.since(since));
        }
        if let Some(runner) = runner {
            self.pool.end(runner, tier.is_urgent());
            if place.suspect {
                self.pool.count_suspect(runner, false);
            }
        }
    }

    /// Draws conclusions about the runner and the request from how it ended.
    fn judge(
        &mut self,
        now: Millis,
        key: PlaceKey,
        runner: Option<RunnerKey>,
        outcome: Outcome,
    ) -> Option<DispatchAction> {
        let fingerprint = self.places.get(key)?.request.fingerprint;
        match outcome.kind {
            EndKind::Done => self.suspects.cleared(fingerprint),
            EndKind::Refused => self.pool.down(runner?, now + self.settings.down_for),
            EndKind::Broken => return self.judge_break(now, runner?, fingerprint),
            EndKind::Cancelled | EndKind::Silent => {}
        }
        None
    }

    fn judge_break(&mut self, now: Millis, runner: RunnerKey, fingerprint: Fingerprint) -> Option<DispatchAction> {
        let alone = self.pool.note_break(now, runner) == 1;
        self.pool.down(runner, now + self.settings.down_for);
        let condemned = self.suspects.crashed(fingerprint, alone, self.settings.alone_crashes);
        condemned.then_some(DispatchAction::Condemn { fingerprint })
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
    fn put_back(&mut self, key: PlaceKey) {
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

    /// The request that goes next: urgent ones, then those that ran before, then by tier.
    ///
    /// Requests that can no longer meet their target go after all that can. An aged one goes first
    /// now and then.
    fn next_place(&mut self, now: Millis) -> Option<PlaceKey> {
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
    fn next_of_any(&mut self, now: Millis, wanted: impl Fn(&Tier) -> bool) -> Option<PlaceKey> {
        let tiers = || Tier::all().filter(&wanted);
        let resumed = tiers().find_map(|tier| self.next_resumed(tier));
        let on_time = resumed.or_else(|| tiers().find_map(|tier| self.next_on_time(now, tier)));
        on_time.or_else(|| tiers().find_map(|tier| self.next_late(now, tier)))
    }

    fn next_aged(&mut self, now: Millis) -> Option<PlaceKey> {
        let held = self.refused_at.is_some_and(|at| now.since(at) < self.settings.refusal_hold);
        if held || !self.grants.is_multiple_of(self.settings.aged_every) {
            return None;
        }
        Tier::all().rev().filter(|tier| !tier.is_urgent()).find_map(|tier| self.oldest_aged(now, tier))
    }

    fn oldest_aged(&mut self, now: Millis, tier: Tier) -> Option<PlaceKey> {
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

    fn next_resumed(&mut self, tier: Tier) -> Option<PlaceKey> {
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
    fn next_on_time(&mut self, now: Millis, tier: Tier) -> Option<PlaceKey> {
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

    fn next_late(&mut self, now: Millis, tier: Tier) -> Option<PlaceKey> {
        while let Some(key) = self.tiers[tier.index()].late.pop_front() {
            if Dispatcher::is_waiting(&self.places, key) && !self.is_hopeless(now, key) {
                return Some(key);
            }
        }
        None
    }

    /// Whether a request would outlast its caller's patience; it is refused then.
    fn is_hopeless(&mut self, now: Millis, key: PlaceKey) -> bool {
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

    fn choose(&self, key: PlaceKey) -> Option<(RunnerKey, &'static str)> {
        let request = &self.places.get(key)?.request;
        let cached = self.prefixes.get(request.prefix).filter(|runner| !self.is_avoided(*runner, request));
        let urgent = request.rule.tier.is_urgent();
        let cached = cached.and_then(|runner| self.pool.within_mean(runner, urgent, self.settings.affinity_percent));
        if let Some(runner) = cached {
            return Some((runner, "prompt prefix cached"));
        }
        let runner = self.pool.least_loaded(urgent, &request.zone, request.avoid.as_ref())?;
        Some((runner, "least loaded, own zone first"))
    }

    fn is_avoided(&self, runner: RunnerKey, request: &Descriptor) -> bool {
        self.pool.info(runner).is_some_and(|info| Some(&info.name) == request.avoid.as_ref())
    }

    fn grant(
        &mut self,
        now: Millis,
        key: PlaceKey,
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

    fn begin(&mut self, now: Millis, key: PlaceKey, runner: Option<RunnerKey>, alone_until: Option<Millis>) {
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

    /// Takes runners back from the least urgent, newest first, for urgent requests that wait.
    fn preempt(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let urgent = self.overdue_urgent(now);
        let most = (self.pool.places() / PREEMPT_SHARE).max(1);
        let mut wanted = urgent.saturating_sub(self.preempting).min(most);
        let lesser = self.running.iter().rev().take_while(|(tier, ..)| !tier.is_urgent());
        let newest_first: Vec<PlaceKey> = lesser.map(|(.., key)| *key).take(most as usize * 2).collect();
        for key in newest_first {
            if wanted == 0 {
                return;
            }
            let Some(Place { state: State::Running { preempting, .. }, .. }) = self.places.get_mut(key) else {
                continue;
            };
            if *preempting {
                continue;
            }
            *preempting = true;
            self.preempting += 1;
            wanted -= 1;
            actions.push(DispatchAction::Preempt { place: key });
        }
    }

    /// How many urgent requests wait, if the oldest has waited for too much of its target.
    fn overdue_urgent(&mut self, now: Millis) -> u32 {
        if self.lesser == 0 || self.pool.has_room() {
            return 0;
        }
        let places = &self.places;
        let mut overdue = 0;
        for tier in Tier::all().filter(|tier| tier.is_urgent()) {
            let queue = &mut self.tiers[tier.index()];
            let Some(key) = queue.fair.oldest(|key| Dispatcher::is_waiting(places, key)) else {
                continue;
            };
            let request = &places[key].request;
            let span = Millis(request.rule.target.0 * self.settings.preempt_percent / 100);
            if now.since(request.arrival) >= span {
                overdue += queue.waiting;
            }
        }
        overdue
    }
}
