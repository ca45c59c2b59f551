//! The runners of one shard, indexed by load.

use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Millis, RunnerName, ZoneName};

use crate::runner::Runner;
use crate::{DispatchSettings, LoadReport, RunnerInfo};

/// Share of fast runners' places that urgent work is expected to take, in percent.
const FAST_PERCENT: u32 = 65;

/// How many urgent requests a lesser one counts for on a fast runner.
const LESSER_WEIGHT: u32 = 4;

/// Fast runners beyond the need that are kept, so that runners do not change sides all the time.
const SPARE_FAST: usize = 1;

const NEAR_CANDIDATES: usize = 4;
const CRASH_WINDOW: Millis = Millis(500);

new_key_type! {
    /// Identifies a runner within one dispatcher.
    pub struct RunnerKey;
}

/// The place of a runner with room in its index: by load.
type Room = (u32, RunnerKey);

/// Runners with room, ordered by load, and those kept apart.
///
/// Some runners are kept fast: they get urgent work only, so that long prompts of lesser work do
/// not stretch the time between an urgent answer's tokens.
#[derive(Debug)]
pub struct RunnerPool {
    runners: SlotMap<RunnerKey, Runner>,
    names: HashMap<RunnerName, RunnerKey>,
    open_fast: BTreeSet<Room>,
    open_shared: BTreeSet<Room>,
    fast: usize,
    reserved: usize,
    places: u32,
    own: u32,
    trust_reports: bool,
}

impl Default for RunnerPool {
    fn default() -> RunnerPool {
        RunnerPool {
            runners: SlotMap::with_key(),
            names: HashMap::new(),
            open_fast: BTreeSet::new(),
            open_shared: BTreeSet::new(),
            fast: 0,
            reserved: 0,
            places: 0,
            own: 0,
            trust_reports: true,
        }
    }
}

impl RunnerPool {
    /// Changes one runner and keeps the index in step.
    fn update<R>(&mut self, key: RunnerKey, change: impl FnOnce(&mut Runner) -> R) -> Option<R> {
        let trust = self.trust_reports;
        let runner = self.runners.get_mut(key)?;
        let before = room(runner, key, trust);
        self.open_fast.remove(&before);
        self.open_shared.remove(&before);
        let usable_before = usable_places(runner);
        let own_before = runner.own;
        let result = change(runner);
        self.places = self.places - usable_before + usable_places(runner);
        self.own = self.own - own_before + runner.own;
        if runner.is_open(trust) {
            let index = if runner.fast { &mut self.open_fast } else { &mut self.open_shared };
            index.insert(room(runner, key, trust));
        }
        Some(result)
    }

    /// Replaces the list of runners; those no longer listed count as leaving.
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
                runner.allowed = runner.allowed.min(info.places);
                runner.info = info;
            });
            return;
        }
        let name = info.name.clone();
        let mut closed = Runner::new(info);
        closed.info.leaving = true;
        let key = self.runners.insert(closed);
        self.names.insert(name, key);
        self.update(key, |runner| runner.info.leaving = false);
    }

    /// Ends the time in which load reports outweigh own counts.
    pub fn trust_own_counts(&mut self) {
        if !self.trust_reports {
            return;
        }
        self.trust_reports = false;
        self.open_fast.clear();
        self.open_shared.clear();
        for (key, runner) in self.runners.iter().filter(|(_, runner)| runner.is_open(false)) {
            let index = if runner.fast { &mut self.open_fast } else { &mut self.open_shared };
            index.insert(room(runner, key, false));
        }
    }

    /// The runner called `name`.
    pub fn find(&self, name: &RunnerName) -> Option<RunnerKey> {
        self.names.get(name).copied()
    }

    /// What the platform says of a runner.
    pub fn info(&self, key: RunnerKey) -> Option<&RunnerInfo> {
        self.runners.get(key).map(|runner| &runner.info)
    }

    /// Places at all usable runners.
    pub const fn places(&self) -> u32 {
        self.places
    }

    /// Requests that this dispatcher has granted and that have not ended.
    pub const fn granted(&self) -> u32 {
        self.own
    }

    /// Runners known, usable or not.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether no runner is known.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Whether any runner has room.
    pub fn has_room(&self) -> bool {
        !self.open_fast.is_empty() || !self.open_shared.is_empty()
    }

    /// Whether a runner has room that lesser work may use.
    pub fn has_shared_room(&self) -> bool {
        !self.open_shared.is_empty()
    }

    /// The least loaded runner with room: in `zone` if one there is as free, and never `avoid`
    /// if there is another. Urgent work goes to a fast runner while one has room.
    pub fn least_loaded(&self, urgent: bool, zone: &ZoneName, avoid: Option<&RunnerName>) -> Option<RunnerKey> {
        let fast = urgent && !self.open_fast.is_empty();
        let index = if fast { &self.open_fast } else { &self.open_shared };
        let near = index.iter().take(NEAR_CANDIDATES);
        let best = near.min_by_key(|(load, key)| {
            let info = self.info(*key);
            let avoided = info.is_some_and(|info| Some(&info.name) == avoid);
            let remote = info.is_some_and(|info| info.zone != *zone);
            (avoided, *load, remote)
        });
        best.map(|(_, key)| *key)
    }

    /// The least loaded runner with room and no suspect.
    pub fn least_loaded_clean(&self, urgent: bool) -> Option<RunnerKey> {
        let clean = |(_, key): &&Room| self.runners.get(*key).is_some_and(|runner| runner.suspects == 0);
        let fast = if urgent { self.open_fast.iter().find(clean) } else { None };
        fast.or_else(|| self.open_shared.iter().find(clean)).map(|(_, key)| *key)
    }

    /// Counts a suspect at `key`, or one fewer.
    pub fn count_suspect(&mut self, key: RunnerKey, more: bool) {
        self.update(key, |runner| {
            runner.suspects = if more { runner.suspects + 1 } else { runner.suspects.saturating_sub(1) };
        });
    }

    /// Keeps as many runners fast as `urgent` urgent requests at once need.
    pub fn keep_fast(&mut self, urgent: u32) {
        let usable = self.runners.values().filter(|runner| runner.is_usable()).count();
        let each = (self.places / u32::try_from(usable.max(1)).unwrap_or(u32::MAX)).max(1);
        let needed = (urgent * 100).div_ceil((each * FAST_PERCENT).max(1)) as usize;
        let wanted = needed.min(usable.saturating_sub(1));
        while self.fast < wanted && self.change_fast(true) {}
        while self.fast > wanted + SPARE_FAST && self.change_fast(false) {}
    }

    /// Makes one more runner fast, or one fewer; the one with the least lesser work.
    fn change_fast(&mut self, fast: bool) -> bool {
        let candidates = self.runners.iter().filter(|(_, runner)| runner.fast != fast && (!fast || runner.is_usable()));
        let Some(key) = candidates.min_by_key(|(_, runner)| runner.lesser).map(|(key, _)| key) else {
            return false;
        };
        self.update(key, |runner| runner.fast = fast);
        self.fast = if fast { self.fast + 1 } else { self.fast - 1 };
        true
    }

    /// `key` if it has room and its load is within `percent` of the mean.
    ///
    /// Lesser work never goes to a fast runner, nor urgent work to a shared one if there are fast
    /// ones.
    pub fn within_mean(&self, key: RunnerKey, urgent: bool, percent: u32) -> Option<RunnerKey> {
        let runner = self.runners.get(key)?;
        if runner.fast != (urgent && self.fast > 0) {
            return None;
        }
        let count = u32::try_from(self.names.len()).unwrap_or(u32::MAX).max(1);
        let bound = (self.own / count + 1) * percent / 100 + 1;
        let fits = runner.is_open(self.trust_reports) && runner.load(self.trust_reports) < bound;
        fits.then_some(key)
    }

    /// Counts a granted request at `key`, without companions until `alone_until` if that is set.
    pub fn begin(&mut self, key: RunnerKey, urgent: bool, alone_until: Option<Millis>) {
        self.update(key, |runner| {
            runner.own += 1;
            runner.lesser += u32::from(!urgent);
            if alone_until.is_some() {
                runner.alone_until = alone_until;
                runner.reserved = false;
            }
        });
    }

    /// Counts the end of a granted request at `key`.
    pub fn end(&mut self, key: RunnerKey, urgent: bool) {
        self.update(key, |runner| {
            runner.lesser = runner.lesser.saturating_sub(u32::from(!urgent));
            runner.own = runner.own.saturating_sub(1);
            if runner.own == 0 {
                runner.alone_until = None;
            }
        });
    }

    /// Takes a runner out of use until a report arrives after `until`.
    pub fn down(&mut self, key: RunnerKey, until: Millis) {
        self.update(key, |runner| runner.down_until = Some(until));
    }

    /// Counts a broken connection; returns how many requests shared the runner.
    pub fn note_break(&mut self, now: Millis, key: RunnerKey) -> u32 {
        self.update(key, |runner| runner.note_break(now, CRASH_WINDOW)).unwrap_or(1)
    }

    /// Takes in a runner's load report.
    pub fn report(&mut self, now: Millis, key: RunnerKey, report: LoadReport) {
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

    /// A runner that is empty and may be given to a suspect.
    pub fn empty_runner(&self) -> Option<RunnerKey> {
        let empty = |runner: &Runner| runner.is_usable() && runner.load(true) == 0 && runner.alone_until.is_none();
        let mut candidates = self.runners.iter().filter(|(_, runner)| empty(runner));
        candidates.next().map(|(key, _)| key)
    }

    /// Keeps up to `wanted` runners free of new work so that they empty.
    pub fn reserve(&mut self, wanted: usize) {
        if self.reserved == 0 && wanted == 0 {
            return;
        }
        let reserved: Vec<RunnerKey> = self.keys_where(|runner| runner.reserved);
        for key in reserved.iter().skip(wanted) {
            self.update(*key, |runner| runner.reserved = false);
        }
        for _ in reserved.len()..wanted {
            let Some((_, key)) = self.open_shared.first().copied() else {
                break;
            };
            self.update(key, |runner| runner.reserved = true);
        }
        self.reserved = self.keys_where(|runner| runner.reserved).len();
    }

    fn keys_where(&self, test: impl Fn(&Runner) -> bool) -> Vec<RunnerKey> {
        self.runners.iter().filter(|(_, runner)| test(runner)).map(|(key, _)| key).collect()
    }

    /// Ends expired isolation, and slows or readmits stragglers; returns names newly ejected.
    pub fn tick(&mut self, now: Millis, settings: &DispatchSettings) -> Vec<RunnerName> {
        let expired = self.keys_where(|runner| runner.alone_until.is_some_and(|until| now >= until));
        for key in expired {
            self.update(key, |runner| runner.alone_until = None);
        }
        self.judge_speed(settings)
    }

    fn judge_speed(&mut self, settings: &DispatchSettings) -> Vec<RunnerName> {
        let mut steps: Vec<u64> = self.runners.values().map(|runner| runner.step_us).filter(|us| *us > 0).collect();
        if steps.len() < 3 {
            return Vec::new();
        }
        steps.sort_unstable();
        let median = steps[steps.len() / 2];
        let slow =
            self.keys_where(|runner| runner.allowed > 1 && runner.step_us * 100 > median * settings.eject_percent);
        let fair = self.keys_where(|runner| {
            runner.allowed < runner.info.places && runner.step_us * 100 <= median * settings.readmit_percent
        });
        for key in &slow {
            self.update(*key, |runner| runner.allowed = 1);
        }
        for key in fair {
            self.update(key, |runner| runner.allowed = (runner.allowed * 2).min(runner.info.places));
        }
        slow.iter().filter_map(|key| self.info(*key).map(|info| info.name.clone())).collect()
    }
}

/// Where a runner stands in its index: a fast one that still has lesser work comes late.
fn room(runner: &Runner, key: RunnerKey, trust_reports: bool) -> Room {
    let penalty = if runner.fast { runner.lesser * LESSER_WEIGHT } else { 0 };
    (runner.load(trust_reports) + penalty, key)
}

fn usable_places(runner: &Runner) -> u32 {
    if runner.is_usable() { runner.allowed } else { 0 }
}
