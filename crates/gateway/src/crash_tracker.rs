//! Tracks what the requests carried after which runners crashed, so that it does not crash further runners.

mod suspect;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use teaselcroft_parts::Millis;

use crate::heartbeat::{Clearance, Crash, CrashList};
pub use suspect::Suspect;

/// A suspect is blocked once it crashed this many runners.
const MAX_CRASHES: usize = 3;

/// Of these crashes, at least this many have no other explanation.
const MIN_UNEXPLAINED: usize = 2;

/// How long a crash counts, unless an answer clears the suspect before.
pub const CRASH_TTL: Millis = Millis(600_000);

/// For this long after a request was answered, the parts of its prompt are known to be harmless.
const ANSWER_TTL: Millis = Millis(10_000);

/// The time between removals of what has expired.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// The shortest time for which heartbeats repeat a crash or a clearance; several heartbeats, since datagrams get lost.
const MIN_REPORT_TTL: Millis = Millis(3_000);

/// The most crashes, and the most clearances, in one heartbeat.
const MAX_REPORTED: usize = 128;

/// The most suspects tracked; beyond that, those with the fewest crashes are dropped, the oldest first.
const MAX_SUSPECTS: usize = 4_096;

/// How many suspects are dropped at once, so that the next drop is some time off.
const DROPPED_SUSPECTS: usize = 512;

/// The most answered prompt parts that are remembered; later ones are not until others expire.
const MAX_ANSWERED: usize = 16_384;

/// A crash of one runner start with the suspect at it.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    runner: u64,
    at: Millis,
    /// Whether this daemon saw it.
    is_own: bool,
}

/// When a suspect was last answered.
#[derive(Debug, Clone, Copy)]
struct Answered {
    at: Millis,
    /// Whether this daemon saw the answer.
    is_own: bool,
}

/// Tracks by content and by prompt part the requests after which runners crashed.
///
/// All unanswered requests at a runner are suspects of its crash. An answer that has begun clears the parts that it was
/// made for, a whole one the content too, here and at peers. What crashes runners is never answered, so its crashes add
/// up; a harmless part that always comes together with it is told apart by requests that carry only one of the two, which
/// are admitted.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<Suspect, Vec<Sighting>>,
    /// The suspects of each runner start's crash.
    crashes: HashMap<u64, Vec<Suspect>>,
    answered: HashMap<Suspect, Answered>,
    /// The suspects that answers cleared; crashes before that do not count.
    cleared: HashMap<Suspect, Answered>,
    /// The suspects whose crashes the store has, or is about to get.
    stored: HashSet<Suspect>,
    /// The digest of crashes and clearances, unless they changed since it was computed.
    digest: Option<u64>,
    expired_at: Millis,
}

impl CrashTracker {
    /// Records a crash, once per runner start; `is_own` says that this daemon saw it itself.
    pub fn note(&mut self, crash: Crash, is_own: bool, now: Millis) {
        self.expire(now);
        let suspect = Suspect::from(crash);
        let at = now.since(Millis(crash.age_ms.into()));
        if self.cleared.get(&suspect).is_some_and(|cleared| cleared.at > at) {
            return;
        }
        match self.answered.get(&suspect) {
            Some(answer) if answer.is_own && self.is_harmless(suspect, now) => return self.report_clear(suspect, now),
            _ if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect) => {
                self.drop_least_suspect()
            }
            _ => {}
        }
        let sightings = self.suspects.entry(suspect).or_default();
        if sightings.iter().all(|known| known.runner != crash.runner) {
            sightings.push(Sighting { runner: crash.runner, at, is_own });
            self.digest = None;
            self.crashes.entry(crash.runner).or_default().push(suspect);
        }
    }

    /// Records that a request is being answered, which clears its prompt's `parts` of all crashes. Its content is not
    /// cleared until the answer is whole: it may crash the runner later on. Returns the parts that had crashes.
    pub fn note_answered(&mut self, parts: &[Suspect], now: Millis) -> Vec<Suspect> {
        self.expire(now);
        for part in parts.iter().copied() {
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(&part) {
                self.answered.insert(part, Answered { at: now, is_own: true });
            }
        }
        parts.iter().copied().filter(|part| self.clear(*part, now)).collect()
    }

    /// Records that a runner sent a whole answer that judges the request, which clears its `content` of earlier crashes. Later
    /// ones count. Returns whether it had any.
    pub fn note_complete(&mut self, content: Suspect, now: Millis) -> bool {
        self.clear(content, now)
    }

    /// Records that a peer saw a suspect answered.
    pub fn note_clearance(&mut self, clearance: Clearance, now: Millis) {
        let suspect = Suspect::from(clearance);
        let at = now.since(Millis(clearance.age_ms.into()));
        self.remove(suspect, at);
        if self.cleared.get(&suspect).is_none_or(|known| known.at < at) {
            self.cleared.insert(suspect, Answered { at, is_own: false });
            self.digest = None;
        }
        let is_own = self.answered.get(&suspect).is_some_and(|answer| answer.is_own && self.is_harmless(suspect, now));
        if suspect.is_part() && !is_own && self.answered.len() < MAX_ANSWERED {
            self.answered.insert(suspect, Answered { at, is_own: false });
        }
    }

    /// Whether a request that carries these suspects must not be sent to a runner.
    pub fn is_blocked(&self, carried: &[Suspect], now: Millis) -> bool {
        carried.iter().any(|suspect| self.is_proven(*suspect, carried, now))
    }

    /// Whether a prompt part may have crashed a runner: no request with it was answered lately.
    pub fn is_suspicious(&self, part: Suspect, now: Millis) -> bool {
        !self.is_harmless(part, now)
    }

    /// Whether a crash of this runner start is counted against a suspect.
    pub fn is_counted(&self, suspect: Suspect, runner: u64) -> bool {
        self.crashes.get(&runner).is_some_and(|suspects| suspects.contains(&suspect))
    }

    /// Whether one more crash may block a suspect, so that peers should be told at once.
    pub fn is_nearly_proven(&self, suspect: Suspect) -> bool {
        self.suspects.get(&suspect).is_some_and(|sightings| sightings.len() + 1 >= MAX_CRASHES)
    }

    /// The recent crashes that this daemon saw itself, for peers that get a heartbeat every `period`.
    pub fn recent_crashes(&self, period: Millis, now: Millis) -> Vec<Crash> {
        let ttl = Millis(period.0 * 2).max(MIN_REPORT_TTL);
        let recent = self.suspects.iter().flat_map(|(suspect, sightings)| {
            let own = sightings.iter().filter(|sighting| sighting.is_own && now.since(sighting.at) < ttl);
            own.map(|sighting| Crash { age_ms: age(sighting.at, now), ..suspect.crash_of(sighting.runner) })
        });
        let mut crashes: Vec<Crash> = recent.collect();
        crashes.sort_by_cached_key(|crash| {
            let seen = self.suspects.get(&Suspect::from(*crash)).map_or(0, Vec::len);
            (Reverse(seen), crash.age_ms)
        });
        crashes.truncate(MAX_REPORTED);
        crashes
    }

    /// The suspects that answers seen by this daemon cleared recently, for peers that get a heartbeat every `period`.
    pub fn recent_clearances(&self, period: Millis, now: Millis) -> Vec<Clearance> {
        let ttl = Millis(period.0 * 2).max(MIN_REPORT_TTL);
        let recent = self.cleared.iter().filter(|(_, answer)| answer.is_own && now.since(answer.at) < ttl);
        recent.map(|(suspect, answer)| suspect.clearance(age(answer.at, now))).take(MAX_REPORTED).collect()
    }

    /// The suspects among `carried` that are blocked, of whose crashes this daemon saw one, and that the store does not have
    /// yet. A part must be blocked for requests that carry nothing else of this; a content always comes with its parts.
    pub fn unstored(&self, carried: &[Suspect], now: Millis) -> Vec<Suspect> {
        let is_own =
            |suspect: &Suspect| self.suspects.get(suspect).is_some_and(|seen| seen.iter().any(|one| one.is_own));
        let is_due = |suspect: &&Suspect| {
            let beside = if suspect.is_part() { std::slice::from_ref(*suspect) } else { carried };
            !self.stored.contains(*suspect) && is_own(suspect) && self.is_proven(**suspect, beside, now)
        };
        carried.iter().filter(is_due).copied().collect()
    }

    /// Records that the store has a suspect's crashes, or is about to get them.
    pub fn set_stored(&mut self, suspect: Suspect) {
        self.stored.insert(suspect);
    }

    /// Records that the store may have lost the crashes that it had; those of blocked suspects are due again.
    pub fn forget_stored(&mut self) {
        self.stored.clear();
    }

    /// Records that the store has these crashes.
    pub fn note_stored(&mut self, crashes: &[Crash]) {
        self.stored.extend(crashes.iter().map(|crash| Suspect::from(*crash)));
    }

    /// The known crashes of a suspect.
    pub fn crashes_of(&self, suspect: Suspect, now: Millis) -> Vec<Crash> {
        let sightings = self.suspects.get(&suspect).map_or(&[][..], Vec::as_slice);
        let crash = |sighting: &Sighting| Crash { age_ms: age(sighting.at, now), ..suspect.crash_of(sighting.runner) };
        sightings.iter().map(crash).collect()
    }

    /// All known crashes and clearances, for a peer that may have missed some.
    pub fn all(&self, now: Millis) -> CrashList {
        let crashes = self.suspects.keys().flat_map(|suspect| self.crashes_of(*suspect, now));
        let cleared = self.cleared.iter().map(|(suspect, answer)| suspect.clearance(age(answer.at, now)));
        CrashList { crashes: crashes.collect(), cleared: cleared.collect() }
    }

    /// A hash of the known crashes and clearances without their times, 0 if there are none.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let crashes = self
            .suspects
            .iter()
            .flat_map(|(suspect, sightings)| sightings.iter().map(|sighting| hash_of(*suspect, Some(sighting.runner))));
        let cleared = self.cleared.keys().map(|suspect| hash_of(*suspect, None));
        let digest = crashes.chain(cleared).fold(0, |sum, hash| sum ^ hash);
        self.digest = Some(digest);
        digest
    }

    /// Whether `suspect` crashes runners, as far as a request that carries `carried` is concerned. A crash for which another
    /// part is a candidate that this request does not carry says little: only such requests tell the two apart. A part is
    /// not blocked while all its crashes are those of one content.
    fn is_proven(&self, suspect: Suspect, carried: &[Suspect], now: Millis) -> bool {
        if !self.is_candidate(suspect, now) || suspect.is_part() && self.has_one_content(suspect, carried) {
            return false;
        }
        let is_explained = |sighting: &&Sighting| {
            let others = self.crashes.get(&sighting.runner).map_or(&[][..], Vec::as_slice);
            others.iter().any(|other| other.is_part() && !carried.contains(other) && self.is_candidate(*other, now))
        };
        let sightings = self.suspects.get(&suspect).map_or(&[][..], Vec::as_slice);
        sightings.len() - sightings.iter().filter(is_explained).count() >= MIN_UNEXPLAINED
    }

    /// Whether one content that is not among the `carried` suspects was at all runners that crashed with `part`.
    fn has_one_content(&self, part: Suspect, carried: &[Suspect]) -> bool {
        let suspects_at = |sighting: &Sighting| self.crashes.get(&sighting.runner).map_or(&[][..], Vec::as_slice);
        let Some((first, later)) = self.suspects.get(&part).and_then(|sightings| sightings.split_first()) else {
            return false;
        };
        let others = suspects_at(first).iter().filter(|other| !other.is_part() && !carried.contains(other));
        others.into_iter().any(|other| later.iter().all(|sighting| suspects_at(sighting).contains(other)))
    }

    fn is_candidate(&self, suspect: Suspect, now: Millis) -> bool {
        let crashes = self.suspects.get(&suspect).map_or(0, Vec::len);
        crashes >= MAX_CRASHES && !self.is_harmless(suspect, now)
    }

    fn is_harmless(&self, suspect: Suspect, now: Millis) -> bool {
        self.answered.get(&suspect).is_some_and(|answer| now.since(answer.at) < ANSWER_TTL)
    }

    fn drop_least_suspect(&mut self) {
        let last_at = |sightings: &[Sighting]| sightings.iter().map(|sighting| sighting.at).max();
        let mut ranked: Vec<(usize, Option<Millis>, Suspect)> =
            self.suspects.iter().map(|(suspect, seen)| (seen.len(), last_at(seen), *suspect)).collect();
        ranked.select_nth_unstable_by_key(DROPPED_SUSPECTS, |(count, at, _)| (*count, *at));
        ranked.truncate(DROPPED_SUSPECTS);
        for (_, at, suspect) in ranked {
            self.remove(suspect, at.unwrap_or_default());
        }
        log::debug!("dropped {DROPPED_SUSPECTS} suspects of crashes; {} are left", self.suspects.len());
    }

    /// Removes the crashes of a suspect, here and at peers; returns whether there were any.
    fn clear(&mut self, suspect: Suspect, now: Millis) -> bool {
        let had_crashes = self.remove(suspect, now);
        if had_crashes {
            self.report_clear(suspect, now);
        }
        had_crashes
    }

    fn report_clear(&mut self, suspect: Suspect, now: Millis) {
        self.cleared.insert(suspect, Answered { at: now, is_own: true });
        self.digest = None;
    }

    /// Removes the crashes of a suspect up to `at`; returns whether there were any.
    fn remove(&mut self, suspect: Suspect, at: Millis) -> bool {
        let Some(sightings) = self.suspects.get_mut(&suspect) else {
            return false;
        };
        let removed: Vec<Sighting> = sightings.extract_if(.., |sighting| sighting.at <= at).collect();
        if sightings.is_empty() {
            self.suspects.remove(&suspect);
        }
        self.digest = None;
        for sighting in &removed {
            if let Some(others) = self.crashes.get_mut(&sighting.runner) {
                others.retain(|other| *other != suspect);
            }
        }
        !removed.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.digest = None;
        self.answered.retain(|_, answer| now.since(answer.at) < ANSWER_TTL);
        self.cleared.retain(|_, answer| now.since(answer.at) < CRASH_TTL);
        self.suspects.retain(|_, sightings| {
            sightings.retain(|sighting| now.since(sighting.at) < CRASH_TTL);
            !sightings.is_empty()
        });
        let suspects = &self.suspects;
        self.stored.retain(|suspect| suspects.contains_key(suspect));
        self.crashes.retain(|runner, others| {
            let is_seen = |other: &Suspect| {
                suspects.get(other).is_some_and(|sightings| sightings.iter().any(|sighting| sighting.runner == *runner))
            };
            others.retain(is_seen);
            !others.is_empty()
        });
    }
}

/// How long ago `at` was, in milliseconds.
fn age(at: Millis, now: Millis) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}

/// The hash of a crash at `runner`, or of a clearance.
fn hash_of(suspect: Suspect, runner: Option<u64>) -> u64 {
    let (Suspect::Content(id) | Suspect::Part(id)) = suspect;
    let kind = u64::from(suspect.is_part()) + u64::from(runner.is_some()) * 2;
    let bytes = [id, runner.unwrap_or(0), kind].map(u64::to_le_bytes);
    rapidhash::v3::rapidhash_v3(bytes.as_flattened())
}
