//! The runners of one shard, indexed by load.

use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Millis, RunnerName, ZoneName};

use crate::runner::Runner;
use crate::{DispatchSettings, LoadReport, RunnerInfo};

/// Planned utilization of dedicated runners by urgent requests, in percent of their places.
const DEDICATED_PERCENT: u32 = 65;

/// The extra load, in requests, that each non-urgent request adds to a dedicated runner.
const NON_URGENT_WEIGHT: u32 = 4;

/// Surplus dedicated runners that are kept, so that runners do not flip between the two groups.
const SPARE_DEDICATED: usize = 1;

/// The number of least loaded runners from which one is chosen by zone and by the runner to avoid.
const ZONE_CANDIDATES: usize = 4;
/// Connections to one runner that break within this time count as one crash.
const CRASH_WINDOW: Millis = Millis(500);

new_key_type! {
    /// Identifies a runner within one dispatcher.
    pub struct RunnerKey;
}

/// The sort key of a runner in an index: its weighted load, then its key.
type LoadRank = (u32, RunnerKey);

/// The runners of one shard; those with room are indexed by load.
///
/// Some runners are dedicated to urgent requests, so that long prompts of other tiers do not
/// increase the time between the tokens of an urgent answer. The others are shared by all tiers.
#[derive(Debug)]
pub struct RunnerPool {
    runners: SlotMap<RunnerKey, Runner>,
    names: HashMap<RunnerName, RunnerKey>,
    open_dedicated: BTreeSet<LoadRank>,
    open_shared: BTreeSet<LoadRank>,
    dedicated: usize,
    draining: usize,
    places: u32,
    granted: u32,
    trust_reports: bool,
}

impl Default for RunnerPool {
    fn default() -> RunnerPool {
        RunnerPool {
            runners: SlotMap::with_key(),
            names: HashMap::new(),
            open_dedicated: BTreeSet::new(),
            open_shared: BTreeSet::new(),
            dedicated: 0,
            draining: 0,
            places: 0,
            granted: 0,
            trust_reports: true,
        }
    }
}

impl RunnerPool {
    /// Changes one runner, and updates the indexes and totals.
    fn update<R>(&mut self, key: RunnerKey, change: impl FnOnce(&mut Runner) -> R) -> Option<R> {
        let trust = self.trust_reports;
        let runner = self.runners.get_mut(key)?;
        let before = load_rank(runner, key, trust);
        self.open_dedicated.remove(&before);
        self.open_shared.remove(&before);
        let usable_before = usable_places(runner);
        let granted_before = runner.granted;
        let result = change(runner);
        self.places = self.places - usable_before + usable_places(runner);
        self.granted = self.granted - granted_before + runner.granted;
        if runner.is_open(trust) {
            let index = if runner.dedicated { &mut self.open_dedicated } else { &mut self.open_shared };
            index.insert(load_rank(runner, key, trust));
        }
        Some(result)
    }

    /// Replaces the list of runners; those no longer listed are marked as leaving.
    pub fn set_runners(&mut self, list: Vec<RunnerInfo>) {
        let listed: BTreeSet<RunnerName> = list.iter().map(|info| info.name.clone()).collect();
        for info in list {
            self.set_runner(info);
        }
        let gone = self.names.iter().filter(|(name, _)| !listed.contains(name));
        let gone: Vec<RunnerKey> = gone.map(|(_, key)| *key).collect();
        for key in gone {
            self.update(key, |runner| runner.info.leaving = true);
        }
    }

    fn set_runner(&mut self, info: RunnerInfo) {
        if let Some(key) = self.names.get(&info.name).copied() {
            self.update(key, |runner| {
                runner.place_limit = runner.place_limit.min(info.places);
                runner.info = info;
            });
            return;
        }
        let name = info.name.clone();
        // Inserted as unusable, so that `update` adds its places and its index entry once.
        let mut new_runner = Runner::new(info);
        new_runner.info.leaving = true;
        let key = self.runners.insert(new_runner);
        self.names.insert(name, key);
        self.update(key, |runner| runner.info.leaving = false);
    }

    /// Ends the startup time in which a load report above the own count sets a runner's load.
    pub fn trust_own_counts(&mut self) {
        if !self.trust_reports {
            return;
        }
        self.trust_reports = false;
        self.open_dedicated.clear();
        self.open_shared.clear();
        for (key, runner) in self.runners.iter().filter(|(_, runner)| runner.is_open(false)) {
            let index = if runner.dedicated { &mut self.open_dedicated } else { &mut self.open_shared };
            index.insert(load_rank(runner, key, false));
        }
    }

    /// The key of the runner called `name`, also of one that left.
    pub fn find(&self, name: &RunnerName) -> Option<RunnerKey> {
        self.names.get(name).copied()
    }

    /// The runner as the VM list last described it.
    pub fn info(&self, key: RunnerKey) -> Option<&RunnerInfo> {
        self.runners.get(key).map(|runner| &runner.info)
    }

    /// The number of requests that all usable runners may run at once.
    pub const fn places(&self) -> u32 {
        self.places
    }

    /// Requests that this dispatcher has granted and that have not ended.
    pub const fn granted(&self) -> u32 {
        self.granted
    }

    /// The number of known runners, usable or not.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether no runner is known.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Whether any runner has room.
    pub fn has_room(&self) -> bool {
        !self.open_dedicated.is_empty() || !self.open_shared.is_empty()
    }

    /// Whether any shared runner has room.
    pub fn has_shared_room(&self) -> bool {
        !self.open_shared.is_empty()
    }

    /// The least loaded runner with room; among a few candidates of equal load, one in `zone`.
    ///
    /// `avoid` is only chosen if it is the sole candidate. Urgent requests go to dedicated runners
    /// while one of them has room.
    pub fn least_loaded(&self, urgent: bool, zone: &ZoneName, avoid: Option<&RunnerName>) -> Option<RunnerKey> {
        let dedicated = urgent && !self.open_dedicated.is_empty();
        let index = if dedicated { &self.open_dedicated } else { &self.open_shared };
        let candidates = index.iter().take(ZONE_CANDIDATES);
        let best = candidates.min_by_key(|(load, key)| {
            let info = self.info(*key);
            let avoided = info.is_some_and(|info| Some(&info.name) == avoid);
            let remote = info.is_some_and(|info| info.zone != *zone);
            (avoided, *load, remote)
        });
        best.map(|(_, key)| *key)
    }

    /// The least loaded runner with room that runs no crash suspect.
    pub fn least_loaded_without_suspects(&self, urgent: bool) -> Option<RunnerKey> {
        let no_suspects = |(_, key): &&LoadRank| self.runners.get(*key).is_some_and(|runner| runner.suspects == 0);
        let dedicated = if urgent { self.open_dedicated.iter().find(no_suspects) } else { None };
        dedicated.or_else(|| self.open_shared.iter().find(no_suspects)).map(|(_, key)| *key)
    }

    /// Adds a crash suspect to the count of `key` if `is_added`, else takes one away.
    pub fn count_suspect(&mut self, key: RunnerKey, is_added: bool) {
        self.update(key, |runner| {
            runner.suspects = if is_added { runner.suspects + 1 } else { runner.suspects.saturating_sub(1) };
        });
    }

    /// Dedicates as many runners as `urgent` concurrent urgent requests need; at least one usable
    /// runner stays shared.
    pub fn set_dedicated(&mut self, urgent: u32) {
        let usable = self.runners.values().filter(|runner| runner.is_usable()).count();
        let mean_places = (self.places / u32::try_from(usable.max(1)).unwrap_or(u32::MAX)).max(1);
        let needed = (urgent * 100).div_ceil((mean_places * DEDICATED_PERCENT).max(1)) as usize;
        let wanted = needed.min(usable.saturating_sub(1));
        while self.dedicated < wanted && self.change_dedicated(true) {}
        while self.dedicated > wanted + SPARE_DEDICATED && self.change_dedicated(false) {}
    }

    /// Adds a dedicated runner or, if `dedicated` is false, returns one to the shared ones; false
    /// if there is none. The runner with the fewest non-urgent requests changes.
    fn change_dedicated(&mut self, dedicated: bool) -> bool {
        let candidates = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.dedicated != dedicated && (!dedicated || runner.is_usable()));
        let Some(key) = candidates.min_by_key(|(_, runner)| runner.non_urgent).map(|(key, _)| key) else {
            return false;
        };
        self.update(key, |runner| runner.dedicated = dedicated);
        self.dedicated = if dedicated { self.dedicated + 1 } else { self.dedicated - 1 };
        true
    }

    /// Returns `key` if it has room and its load is at most about `percent` of the mean.
    ///
    /// Non-urgent requests never go to a dedicated runner, nor urgent ones to a shared runner while
    /// there are dedicated ones.
    pub fn if_near_mean(&self, key: RunnerKey, urgent: bool, percent: u32) -> Option<RunnerKey> {
        let runner = self.runners.get(key)?;
        if runner.dedicated != (urgent && self.dedicated > 0) {
            return None;
        }
        let count = u32::try_from(self.names.len()).unwrap_or(u32::MAX).max(1);
        let load_bound = (self.granted / count + 1) * percent / 100 + 1;
        let fits = runner.is_open(self.trust_reports) && runner.load(self.trust_reports) < load_bound;
        fits.then_some(key)
    }

    /// Counts a granted request at `key`; if `isolated_until` is set, no other request joins it
    /// until then or until it ends.
    pub fn record_grant(&mut self, key: RunnerKey, urgent: bool, isolated_until: Option<Millis>) {
        self.update(key, |runner| {
            runner.granted += 1;
            runner.non_urgent += u32::from(!urgent);
            if isolated_until.is_some() {
                runner.isolated_until = isolated_until;
                runner.draining = false;
            }
        });
    }

    /// Counts the end of a granted request at `key`.
    pub fn record_end(&mut self, key: RunnerKey, urgent: bool) {
        self.update(key, |runner| {
            runner.non_urgent = runner.non_urgent.saturating_sub(u32::from(!urgent));
            runner.granted = runner.granted.saturating_sub(1);
            if runner.granted == 0 {
                runner.isolated_until = None;
            }
        });
    }

    /// Takes a runner out of use until a load report arrives at `until` or later.
    pub fn mark_down(&mut self, key: RunnerKey, until: Millis) {
        self.update(key, |runner| runner.down_until = Some(until));
    }

    /// Records a broken connection as a crash; returns how many requests ran on the runner then.
    pub fn record_crash(&mut self, now: Millis, key: RunnerKey) -> u32 {
        self.update(key, |runner| runner.record_crash(now, CRASH_WINDOW)).unwrap_or(1)
    }

    /// Applies a runner's load report.
    pub fn apply_report(&mut self, now: Millis, key: RunnerKey, report: LoadReport) {
        self.update(key, |runner| {
            runner.reported = report.running;
            if report.step_us > 0 {
                runner.step_us = report.step_us;
            }
            if runner.down_until.is_some_and(|until| now >= until) {
                runner.down_until = None;
            }
        });
    }

    /// A usable runner without requests, for a crash suspect that has to run alone.
    pub fn empty_runner(&self) -> Option<RunnerKey> {
        let empty = |runner: &Runner| runner.is_usable() && runner.load(true) == 0 && runner.isolated_until.is_none();
        let mut candidates = self.runners.iter().filter(|(_, runner)| empty(runner));
        candidates.next().map(|(key, _)| key)
    }

    /// Drains up to `wanted` shared runners, the least loaded first, for suspects that have to run
    /// alone.
    pub fn drain(&mut self, wanted: usize) {
        if self.draining == 0 && wanted == 0 {
            return;
        }
        let draining: Vec<RunnerKey> = self.keys_where(|runner| runner.draining);
        for key in draining.iter().skip(wanted) {
            self.update(*key, |runner| runner.draining = false);
        }
        for _ in draining.len()..wanted {
            let Some((_, key)) = self.open_shared.first().copied() else {
                break;
            };
            self.update(key, |runner| runner.draining = true);
        }
        self.draining = self.keys_where(|runner| runner.draining).len();
    }

    fn keys_where(&self, predicate: impl Fn(&Runner) -> bool) -> Vec<RunnerKey> {
        self.runners.iter().filter(|(_, runner)| predicate(runner)).map(|(key, _)| key).collect()
    }

    /// Ends expired isolation, and ejects or readmits stragglers; returns the newly ejected.
    pub fn tick(&mut self, now: Millis, settings: &DispatchSettings) -> Vec<RunnerName> {
        let expired = self.keys_where(|runner| runner.isolated_until.is_some_and(|until| now >= until));
        for key in expired {
            self.update(key, |runner| runner.isolated_until = None);
        }
        self.update_stragglers(settings)
    }

    /// Ejects runners with much longer token steps than the median, down to one request at a time,
    /// and raises the limit of ejected ones that have recovered.
    fn update_stragglers(&mut self, settings: &DispatchSettings) -> Vec<RunnerName> {
        let mut steps: Vec<u64> = self.runners.values().map(|runner| runner.step_us).filter(|us| *us > 0).collect();
        if steps.len() < 3 {
            return Vec::new();
        }
        steps.sort_unstable();
        let median = steps[steps.len() / 2];
        let stragglers =
            self.keys_where(|runner| runner.place_limit > 1 && runner.step_us * 100 > median * settings.eject_percent);
        let recovered = self.keys_where(|runner| {
            runner.place_limit < runner.info.places && runner.step_us * 100 <= median * settings.readmit_percent
        });
        for key in &stragglers {
            self.update(*key, |runner| runner.place_limit = 1);
        }
        for key in recovered {
            self.update(key, |runner| runner.place_limit = (runner.place_limit * 2).min(runner.info.places));
        }
        stragglers.iter().filter_map(|key| self.info(*key).map(|info| info.name.clone())).collect()
    }
}

/// The sort key of a runner; a dedicated one that still has non-urgent requests ranks behind.
fn load_rank(runner: &Runner, key: RunnerKey, trust_reports: bool) -> LoadRank {
    let penalty = if runner.dedicated { runner.non_urgent * NON_URGENT_WEIGHT } else { 0 };
    (runner.load(trust_reports) + penalty, key)
}

fn usable_places(runner: &Runner) -> u32 {
    if runner.is_usable() { runner.place_limit } else { 0 }
}
