//! The runners of one shard, indexed by load.

use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};
use teaselcroft_parts::{Millis, RunnerName, ZoneName};

use crate::runner::Runner;
use crate::{DispatchSettings, LoadReport, RunnerInfo};

const NEAR_CANDIDATES: usize = 4;
const CRASH_WINDOW: Millis = Millis(500);

new_key_type! {
    /// Identifies a runner within one dispatcher.
    pub struct RunnerKey;
}

/// Runners with room, ordered by load, and those kept apart.
#[derive(Debug)]
pub struct RunnerPool {
    runners: SlotMap<RunnerKey, Runner>,
    names: HashMap<RunnerName, RunnerKey>,
    open: BTreeSet<(u32, RunnerKey)>,
    places: u32,
    own: u32,
    trust_reports: bool,
}

impl Default for RunnerPool {
    fn default() -> RunnerPool {
        RunnerPool {
            runners: SlotMap::with_key(),
            names: HashMap::new(),
            open: BTreeSet::new(),
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
        if runner.is_open(trust) {
            self.open.remove(&(runner.load(trust), key));
        }
        let usable_before = usable_places(runner);
        let own_before = runner.own;
        let result = change(runner);
        self.places = self.places - usable_before + usable_places(runner);
        self.own = self.own - own_before + runner.own;
        if runner.is_open(trust) {
            self.open.insert((runner.load(trust), key));
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
        let open = self.runners.iter().filter(|(_, runner)| runner.is_open(false));
        self.open = open.map(|(key, runner)| (runner.load(false), key)).collect();
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
        !self.open.is_empty()
    }

    /// The least loaded runner with room: in `zone` if one there is as free, and never `avoid`
    /// if there is another.
    pub fn least_loaded(&self, zone: &ZoneName, avoid: Option<&RunnerName>) -> Option<RunnerKey> {
        let near = self.open.iter().take(NEAR_CANDIDATES);
        let best = near.min_by_key(|(load, key)| {
            let info = self.info(*key);
            let avoided = info.is_some_and(|info| Some(&info.name) == avoid);
            let remote = info.is_some_and(|info| info.zone != *zone);
            (avoided, *load, remote)
        });
        best.map(|(_, key)| *key)
    }

    /// `key` if it has room and its load is within `percent` of the mean.
    pub fn within_mean(&self, key: RunnerKey, percent: u32) -> Option<RunnerKey> {
        let runner = self.runners.get(key)?;
        let count = u32::try_from(self.names.len()).unwrap_or(u32::MAX).max(1);
        let bound = (self.own / count + 1) * percent / 100 + 1;
        let fits = runner.is_open(self.trust_reports) && runner.load(self.trust_reports) < bound;
        fits.then_some(key)
    }

    /// Counts a granted request at `key`, without companions until `alone_until` if that is set.
    pub fn begin(&mut self, key: RunnerKey, alone_until: Option<Millis>) {
        self.update(key, |runner| {
            runner.own += 1;
            if alone_until.is_some() {
                runner.alone_until = alone_until;
                runner.reserved = false;
            }
        });
    }

    /// Counts the end of a granted request at `key`.
    pub fn end(&mut self, key: RunnerKey) {
        self.update(key, |runner| {
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
        let reserved: Vec<RunnerKey> = self.keys_where(|runner| runner.reserved);
        for key in reserved.iter().skip(wanted) {
            self.update(*key, |runner| runner.reserved = false);
        }
        for _ in reserved.len()..wanted {
            let Some((_, key)) = self.open.first().copied() else {
                return;
            };
            self.update(key, |runner| runner.reserved = true);
        }
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

fn usable_places(runner: &Runner) -> u32 {
    if runner.is_usable() { runner.allowed } else { 0 }
}
