//! The runners that are silent, and which of them may have fallen silent together.

use std::collections::BTreeMap;

use teaselcroft_parts::{Millis, RunnerName};

use super::pending_crash::PendingCrash;
use super::silence::Silence;
use super::silent_runner::SilentRunner;

/// Of more silent runners not so many are explained that few would be left.
const MAX_EXPLAINED: usize = 16;

/// The runners whose entries vanished lately, and those that owe an answer.
#[derive(Debug, Default)]
pub struct SilentRunners<'a>(BTreeMap<&'a RunnerName, SilentRunner>);

impl<'a> SilentRunners<'a> {
    /// Adds what shows that a runner fell silent: an answer that it owes, or that its entry vanished at `removed_at`.
    pub fn add(&mut self, name: &'a RunnerName, started_at: Option<i64>, silence: Silence, removed_at: Option<Millis>) {
        let runner = self.0.entry(name).or_insert(SilentRunner { started_at, silence, removed_at });
        runner.silence.by = runner.silence.by.min(silence.by).max(silence.after);
        runner.removed_at = runner.removed_at.max(removed_at);
    }

    /// The latest moment at which a runner fell silent; `None` if it is not silent.
    pub fn silent_by(&self, name: &RunnerName) -> Option<Millis> {
        self.0.get(name).map(|runner| runner.silence.by)
    }

    /// Whether a runner's entry vanished lately.
    pub fn is_removed(&self, name: &RunnerName) -> bool {
        self.0.get(name).is_some_and(|runner| runner.removed_at.is_some())
    }

    /// How many other runners may have fallen silent together with the one that may have crashed.
    pub fn count_silent(&self, crash: &PendingCrash, is_counted: impl Fn(&PendingCrash) -> bool) -> usize {
        let Some(own) = self.0.get(&crash.runner) else {
            return 0;
        };
        let others = self.others(crash, |runner| runner.silence.may_coincide(own.silence));
        unexplained(crash, others, is_counted).len()
    }

    /// The same, but only of runners whose entries vanished: the most within the time in which those of runners that fell
    /// silent together do, this one's among them.
    pub fn count_removed(&self, crash: &PendingCrash, is_counted: impl Fn(&PendingCrash) -> bool) -> usize {
        let Some(own) = self.0.get(&crash.runner) else {
            return 0;
        };
        let others =
            self.others(crash, |runner| runner.silence.may_coincide(own.silence) && runner.is_removed_near(own));
        let others = unexplained(crash, others, is_counted);
        let starts = others.iter().chain([&own]).filter_map(|runner| runner.removed_at);
        let starts = starts.filter(|start| own.is_removed_within(*start));
        let within = starts.map(|start| others.iter().filter(|runner| runner.is_removed_within(start)).count());
        within.max().unwrap_or(0)
    }

    fn others(
        &self,
        crash: &PendingCrash,
        is_related: impl Fn(&SilentRunner) -> bool,
    ) -> Vec<(&RunnerName, &SilentRunner)> {
        let others = self.0.iter().filter(|(name, runner)| **name != &crash.runner && is_related(runner));
        others.map(|(name, runner)| (*name, runner)).collect()
    }
}

/// The runners for whose silence no crash is counted against the same request. If there are many, they are not looked at.
fn unexplained<'a>(
    crash: &PendingCrash,
    others: Vec<(&RunnerName, &'a SilentRunner)>,
    is_counted: impl Fn(&PendingCrash) -> bool,
) -> Vec<&'a SilentRunner> {
    let is_small = others.len() <= MAX_EXPLAINED;
    let is_explained = |name: &RunnerName, runner: &SilentRunner| {
        let crash_of = |started_at| PendingCrash { runner: name.clone(), started_at, ..crash.clone() };
        is_small && runner.started_at.map(crash_of).is_some_and(|crash| is_counted(&crash))
    };
    others.into_iter().filter(|(name, runner)| !is_explained(name, runner)).map(|(_, runner)| runner).collect()
}
