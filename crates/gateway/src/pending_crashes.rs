//! Requests after which a runner may have crashed, until its store entry shows whether it did.

mod life_signs;
mod pending_crash;
mod silence;
mod silent_runner;
mod silent_runners;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use teaselcroft_parts::{Millis, RunnerName};

use crate::RunnerRecord;
use crate::crash_tracker::Suspect;
use life_signs::LifeSigns;
pub use pending_crash::PendingCrash;
use silence::Silence;
use silent_runners::SilentRunners;

/// A runner that crashed registers its next start within this time: a few seconds until it serves, and its first write.
const RESTART_TIME: Millis = Millis(6_000);

/// The removal of an entry is evidence only after this time, unless the runner is known to have fallen silent by itself: it
/// may still serve, its entry may return, and the entries of other runners that are cut off vanish within it.
const REMOVAL_TIME: Millis = Millis(2_000);

/// The shortest time after which it is evidence: entries of runners that live on may vanish and return at once.
const MIN_REMOVAL_TIME: Millis = Millis(500);

/// How long a removal may become evidence, as the silence of other runners is explained.
const MAX_REMOVAL_TIME: Millis = Millis(4_000);

/// How long a vanished entry is remembered: until none that vanished together with it may become evidence.
const REMOVAL_TTL: Millis = Millis(6_000);

/// If more runners may have fallen silent at the same moment, they were cut off or released together, which says nothing of
/// the requests that they had. Fewer than it takes to block a request.
const MAX_SILENT_TOGETHER: usize = 2;

/// For this long after a request without a body was answered, the same one is not suspected: many callers send it alike,
/// so that runners which end together may all have it.
const ANSWER_TTL: Millis = Millis(10_000);

/// The most requests, and the most answers, that are remembered; the oldest requests are dropped first.
const MAX_PENDING: usize = 4_096;

/// Identifies a request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingId(u64);

/// A runner's entry that vanished.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Removal {
    at: Millis,
    runner: RunnerName,
    /// The time of the runner's start, if the entry told it.
    started_at: Option<i64>,
}

#[derive(Debug)]
struct Pending {
    crash: PendingCrash,
    /// Whether its answer never came. An answer that ended like a whole one may have been cut all the same.
    is_unanswered: bool,
    /// When its answer should have begun.
    due_at: Millis,
    /// When the daemon stopped to wait for the answer, or the answer ended.
    ended_at: Option<Millis>,
    /// When the runner's entry vanished.
    removed_at: Option<Millis>,
    /// Whether the entry is not expected to return.
    is_gone: bool,
    /// Until when news of the runner is evidence.
    until: Millis,
}

/// Requests after which a runner may have crashed. That a request gets no answer in time is no evidence, since the path to
/// the runner may be cut. A later start of the runner is, and for requests without an answer the removal of its entry. An
/// answer to a later request, and the runner's announcement that it leaves, show that it did not crash.
#[derive(Debug, Default)]
pub struct PendingCrashes {
    pending: BTreeMap<PendingId, Pending>,
    next_id: u64,
    /// The runners whose entries vanished lately, oldest first.
    removals: VecDeque<Removal>,
    /// The contents of requests without a body that were answered lately.
    answered: HashMap<Suspect, Millis>,
    life_signs: LifeSigns,
    /// The requests for which the removal of the runner's entry showed nothing.
    disregarded: Vec<PendingCrash>,
}

impl PendingCrashes {
    /// Adds a request that is sent at `now`. Its answer should begin by `due_at`, and is waited for until `deadline`.
    pub fn begin(&mut self, crash: PendingCrash, due_at: Millis, deadline: Millis, now: Millis) -> PendingId {
        let until = deadline.max(now + RESTART_TIME);
        self.add(Pending {
            crash,
            is_unanswered: true,
            due_at,
            ended_at: None,
            removed_at: None,
            is_gone: false,
            until,
        })
    }

    /// Adds a request whose answer ended at `now` in a way that may have been a crash.
    pub fn add_ended(&mut self, crash: PendingCrash, now: Millis) {
        let (ended_at, until) = (Some(now), now + RESTART_TIME);
        let is_unanswered = false;
        self.add(Pending { crash, is_unanswered, due_at: now, ended_at, removed_at: None, is_gone: false, until });
    }

    /// Records that a runner was heard: an answer or an event arrived.
    pub fn note_alive(&mut self, record: &RunnerRecord, now: Millis) {
        self.life_signs.note(record, now);
    }

    /// Forgets a request whose answer came, or whose connection broke.
    pub fn finish(&mut self, id: PendingId) {
        self.pending.remove(&id);
    }

    /// Records that the daemon no longer waits for a request's answer.
    pub fn give_up(&mut self, id: PendingId, now: Millis) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.ended_at = Some(now);
        }
    }

    /// Records that a runner answered a request that was sent at `sent_at`, so that it had not crashed before.
    pub fn note_answer(&mut self, record: &RunnerRecord, sent_at: Millis) {
        let has_ended = |pending: &Pending| pending.ended_at.is_some_and(|ended_at| ended_at < sent_at);
        self.pending.retain(|_, pending| !pending.crash.is_at(record) || !has_ended(pending));
    }

    /// Records that a request without a body was answered, whose `content` many callers may send alike.
    pub fn note_common(&mut self, content: Suspect, now: Millis) {
        if self.answered.len() >= MAX_PENDING {
            self.answered.retain(|_, at| now.since(*at) < ANSWER_TTL);
        }
        if self.answered.len() < MAX_PENDING {
            self.answered.insert(content, now);
        }
    }

    /// Whether a request with this content, which has no body, was answered lately.
    pub fn is_common(&self, content: Suspect, now: Millis) -> bool {
        self.answered.get(&content).is_some_and(|at| now.since(*at) < ANSWER_TTL)
    }

    /// Records a runner's entry; returns the requests after which the runner crashed.
    pub fn note_entry(&mut self, record: &RunnerRecord, now: Millis) -> Vec<PendingCrash> {
        self.expire(now);
        for pending in self.pending.values_mut().filter(|pending| pending.crash.is_at(record)) {
            (pending.removed_at, pending.is_gone) = (None, false);
        }
        if !record.is_ready {
            // Its end, and the start that may follow, are planned.
            self.pending.retain(|_, pending| !pending.crash.is_at(record));
        }
        let is_later = |crash: &PendingCrash| crash.runner == record.name && crash.started_at < record.started_at;
        self.take(|pending| is_later(&pending.crash))
    }

    /// Records that the entry of a runner's start vanished at `now`.
    pub fn note_removal(&mut self, runner: &RunnerName, started_at: Option<i64>, now: Millis) {
        self.expire(now);
        self.removals.push_back(Removal { at: now, runner: runner.clone(), started_at });
        let is_at = |pending: &&mut Pending| pending.is_unanswered && pending.crash.runner == *runner;
        for pending in self.pending.values_mut().filter(is_at) {
            pending.removed_at = pending.removed_at.or(Some(now));
        }
    }

    /// Records that a runner's entry, which vanished, is not expected to return.
    pub fn note_gone(&mut self, runner: &RunnerName) {
        let is_at = |pending: &&mut Pending| pending.removed_at.is_some() && pending.crash.runner == *runner;
        self.pending.values_mut().filter(is_at).for_each(|pending| pending.is_gone = true);
    }

    /// Returns the requests after which the runner's entry vanished for good, while the runner fell silent by itself.
    /// `is_counted` says whether a runner's crash is counted already against what a request carries, which explains its
    /// silence.
    pub fn take_removed(&mut self, is_counted: impl Fn(&PendingCrash) -> bool, now: Millis) -> Vec<PendingCrash> {
        let (mut crashes, mut disregarded, mut resolved) = (Vec::new(), Vec::new(), BTreeSet::new());
        let removed = self.pending.iter().filter_map(|(id, pending)| Some((*id, pending, pending.removed_at?)));
        let removed: Vec<_> = removed.filter(|(.., at)| now.since(*at) >= MIN_REMOVAL_TIME).collect();
        let silent = if removed.is_empty() { SilentRunners::default() } else { self.silent_runners(now) };
        for (id, pending, removed_at) in removed {
            let crash = &pending.crash;
            let is_alone = if now.since(removed_at) >= REMOVAL_TIME {
                silent.count_removed(crash, &is_counted) < MAX_SILENT_TOGETHER
            } else {
                silent.count_silent(crash, &is_counted) < MAX_SILENT_TOGETHER && self.is_heard_around(crash, &silent)
            };
            let is_alone = is_alone && pending.is_gone;
            if is_alone {
                crashes.push(crash.clone());
            } else if now.since(removed_at) >= MAX_REMOVAL_TIME {
                disregarded.push(crash.clone());
            } else {
                continue;
            }
            resolved.insert(id);
        }
        self.pending.retain(|id, _| !resolved.contains(id));
        self.disregarded.append(&mut disregarded);
        self.expire(now);
        crashes
    }

    /// Returns the requests for which the removal of the runner's entry showed nothing, as others fell silent with it.
    pub fn take_disregarded(&mut self) -> Vec<PendingCrash> {
        std::mem::take(&mut self.disregarded)
    }

    /// The runners whose entries vanished lately, and those that owe an answer.
    fn silent_runners(&self, now: Millis) -> SilentRunners<'_> {
        let mut silent = SilentRunners::default();
        for pending in self.pending.values().filter(|pending| pending.is_unanswered && pending.due_at < now) {
            let crash = &pending.crash;
            let silence = Silence { after: self.life_signs.last_at(&crash.runner), by: pending.due_at };
            if silence.after <= silence.by {
                silent.add(&crash.runner, Some(crash.started_at), silence, None);
            }
        }
        for Removal { at, runner, started_at } in &self.removals {
            let silence = Silence { after: self.life_signs.last_at(runner), by: *at };
            silent.add(runner, *started_at, silence, Some(*at));
        }
        silent
    }

    /// Whether most of the runners that the daemon uses beside this one were heard after it had fallen silent.
    fn is_heard_around(&self, crash: &PendingCrash, silent: &SilentRunners<'_>) -> bool {
        let is_asked = |name: &RunnerName| *name != crash.runner && !silent.is_removed(name);
        let silent_by = silent.silent_by(&crash.runner);
        silent_by.is_some_and(|by| self.life_signs.are_most_heard(&crash.service, is_asked, by))
    }

    fn add(&mut self, pending: Pending) -> PendingId {
        let id = PendingId(self.next_id);
        self.next_id += 1;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_first();
        }
        self.pending.insert(id, pending);
        id
    }

    /// Removes and returns the requests for which `is_taken` holds.
    fn take(&mut self, is_taken: impl Fn(&Pending) -> bool) -> Vec<PendingCrash> {
        self.pending.extract_if(.., |_, pending| is_taken(pending)).map(|(_, pending)| pending.crash).collect()
    }

    fn expire(&mut self, now: Millis) {
        self.pending.retain(|_, pending| pending.until > now || pending.removed_at.is_some());
        while self.removals.front().is_some_and(|removal| now.since(removal.at) > REMOVAL_TTL) {
            self.removals.pop_front();
        }
    }
}
