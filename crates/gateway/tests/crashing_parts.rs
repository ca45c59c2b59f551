//! A prompt part that crashes runners, beside sound requests that share the parts before it, on a virtual clock.

#![allow(clippy::unwrap_used)]

use teaselcroft_gateway::heartbeat::{Clearance, Crash};
use teaselcroft_gateway::{CrashTracker, Suspect};
use teaselcroft_parts::Millis;

const DAEMONS: usize = 6;
const RUNNERS: usize = 12;
const STEP: Millis = Millis(20);
const DAY: Millis = Millis(60_000);

/// When requests with the crashing part begin to come.
const TAINTED_FROM: Millis = Millis(4_000);

/// The first part of the tainted requests and of some sound ones, and the part that crashes runners.
const FIRST_PART: u64 = 1;
const CRASHING_PART: u64 = 2;

/// Other sound requests carry one of so many parts.
const OTHER_PARTS: u64 = 60;

/// How long a crashed runner is away, and how long a heartbeat takes at most to reach a peer.
const RESTART_TIME: Millis = Millis(3_000);
const HEARTBEAT_PERIOD: Millis = Millis(120);

/// How often a request whose runner crashed is sent again.
const MAX_REPEATS: u32 = 3;

/// The users' bounds: at most three tainted requests reach runners later than `CONTACT_TIME` after the fifth crash, and
/// sound ones are served at least half as often as at other times from twice that time on.
const MAX_CRASHES: usize = 5;
const CONTACT_TIME: Millis = Millis(3_000);
const MAX_LATE: usize = 3;

#[derive(Clone)]
struct Request {
    daemon: usize,
    content: u64,
    parts: Vec<u64>,
    /// How often the caller has sent it before.
    repeats: u32,
    starts_at: Millis,
    ends_at: Millis,
    /// Whether its runner fails it instead of beginning with it.
    is_failed: bool,
    is_answered: bool,
}

impl Request {
    fn suspects(&self) -> Vec<Suspect> {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        std::iter::once(Suspect::Content(self.content)).chain(parts).collect()
    }
}

struct Runner {
    /// Identifies its start.
    start: u64,
    back_at: Millis,
    requests: Vec<Request>,
}

/// Counts over one day.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<Millis>,
    /// When tainted requests were sent to runners.
    tainted: Vec<Millis>,
    /// When sound requests with the tainted ones' first part came, and whether they were sent to a runner.
    sharing: Vec<(Millis, bool)>,
    /// When other sound requests were refused.
    refused: Vec<Millis>,
}

struct Day {
    random: fastrand::Rng,
    /// Tainted requests, and sound ones that share their first part, in a thousand.
    tainted_share: u32,
    sharing_share: u32,
    /// Requests that runners fail before they begin with them, in a thousand.
    failed_share: u32,
    trackers: Vec<CrashTracker>,
    runners: Vec<Runner>,
    outcome: Outcome,
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut random = fastrand::Rng::with_seed(seed);
        let runners = (0..RUNNERS)
            .map(|start| Runner { start: start as u64, back_at: Millis(0), requests: Vec::new() })
            .collect();
        Day {
            tainted_share: random.u32(20..400),
            sharing_share: random.u32(5..200),
            // None on every other day.
            failed_share: if seed.is_multiple_of(2) { 0 } else { random.u32(100..500) },
            random,
            trackers: (0..DAEMONS).map(|_| CrashTracker::default()).collect(),
            runners,
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        for step in 0..DAY.0 / STEP.0 {
            let now = Millis(step * STEP.0);
            if self.random.u32(..100) < 60 {
                self.arrive(now);
            }
            for runner in 0..RUNNERS {
                self.run(runner, now);
            }
            if now.0.is_multiple_of(HEARTBEAT_PERIOD.0) {
                self.exchange(now);
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now: Millis) {
        let draw = self.random.u32(..1_000);
        let (tainted, sharing) = (self.tainted_share, self.tainted_share + self.sharing_share);
        let mut parts = match draw {
            _ if now < TAINTED_FROM || draw >= sharing => vec![100 + self.random.u64(..OTHER_PARTS)],
            _ if draw < tainted => vec![FIRST_PART, CRASHING_PART],
            _ => vec![FIRST_PART],
        };
        if parts[0] >= 100 && self.random.bool() {
            parts.push(1_000 + self.random.u64(..OTHER_PARTS));
        }
        let content = self.random.u64(..);
        self.send(parts, content, 0, now);
    }

    fn send(&mut self, parts: Vec<u64>, content: u64, repeats: u32, now: Millis) {
        let daemon = self.random.usize(..DAEMONS);
        let starts_at = now + Millis(self.random.u64(30..500));
        let ends_at = starts_at + Millis(self.random.u64(100..900));
        let is_failed = self.random.u32(..1_000) < self.failed_share;
        let request = Request { daemon, content, parts, repeats, starts_at, ends_at, is_failed, is_answered: false };
        let is_blocked = self.trackers[daemon].is_blocked(&request.suspects(), now);
        match request.parts[..] {
            [FIRST_PART, CRASHING_PART] if !is_blocked => self.outcome.tainted.push(now),
            [FIRST_PART] => self.outcome.sharing.push((now, !is_blocked)),
            [FIRST_PART, CRASHING_PART] => {}
            _ if is_blocked => self.outcome.refused.push(now),
            _ => {}
        }
        let up: Vec<usize> = (0..RUNNERS).filter(|runner| self.runners[*runner].back_at <= now).collect();
        if !is_blocked && !up.is_empty() {
            let runner = up[self.random.usize(..up.len())];
            self.runners[runner].requests.push(request);
        }
    }

    /// Starts and ends the requests at a runner, which crashes if it starts a tainted one.
    fn run(&mut self, index: usize, now: Millis) {
        let runner = &mut self.runners[index];
        let is_starting = |request: &Request| request.starts_at <= now;
        runner.requests.retain(|request| !(request.is_failed && is_starting(request)));
        if runner.requests.iter().any(|request| is_starting(request) && request.parts.contains(&CRASHING_PART)) {
            let lost = std::mem::take(&mut runner.requests);
            let start =
                std::mem::replace(&mut runner.start, u64::try_from(self.outcome.crashes.len()).unwrap() + 1_000);
            runner.back_at = now + RESTART_TIME;
            self.outcome.crashes.push(now);
            for request in lost.iter().filter(|request| !request.is_answered) {
                for suspect in request.suspects() {
                    self.trackers[request.daemon].note(suspect.crash_of(start), true, now);
                }
                if request.repeats < MAX_REPEATS {
                    self.send(request.parts.clone(), request.content, request.repeats + 1, now);
                }
            }
            return;
        }
        for request in runner.requests.iter_mut().filter(|request| is_starting(request) && !request.is_answered) {
            request.is_answered = true;
            let suspects = request.suspects();
            self.trackers[request.daemon].note_answered(&suspects[1..], now);
        }
        runner.requests.retain(|request| request.ends_at > now);
    }

    /// Delivers heartbeats; one in fifty is lost.
    fn exchange(&mut self, now: Millis) {
        let sent: Vec<(Vec<Crash>, Vec<Clearance>)> = self
            .trackers
            .iter_mut()
            .map(|tracker| {
                (tracker.recent_crashes(HEARTBEAT_PERIOD, now), tracker.recent_clearances(HEARTBEAT_PERIOD, now))
            })
            .collect();
        for (sender, (crashes, cleared)) in sent.iter().enumerate() {
            for receiver in (0..DAEMONS).filter(|receiver| *receiver != sender) {
                if self.random.u32(..50) == 0 {
                    continue;
                }
                crashes.iter().for_each(|crash| self.trackers[receiver].note(*crash, false, now));
                cleared.iter().for_each(|clearance| self.trackers[receiver].note_clearance(*clearance, now));
            }
        }
    }
}

const DAYS: u64 = 200;

#[test]
fn a_part_that_crashes_runners_is_blocked_after_a_few_crashes() {
    for seed in 0..DAYS {
        let outcome = Day::new(seed).play();

        let Some(fifth) = outcome.crashes.get(MAX_CRASHES - 1) else { continue };
        let late = outcome.tainted.iter().filter(|at| **at > *fifth + CONTACT_TIME).count();
        assert!(late <= MAX_LATE, "seed {seed}: {late} tainted requests sent after {} crashes", outcome.crashes.len());
    }
}

#[test]
fn sound_requests_with_the_same_first_part_as_crashing_ones_are_served() {
    for seed in 0..DAYS {
        let outcome = Day::new(seed).play();

        let settled = outcome
            .crashes
            .iter()
            .take(MAX_CRASHES)
            .next_back()
            .map_or(Millis(0), |at| *at + CONTACT_TIME + CONTACT_TIME);
        let later: Vec<bool> =
            outcome.sharing.iter().filter(|(at, _)| *at > settled).map(|(_, served)| *served).collect();
        let served = later.iter().filter(|served| **served).count();
        assert!(served * 2 >= later.len(), "seed {seed}: {served} of {} served", later.len());
        let refused = outcome.refused.iter().filter(|at| **at > settled).count();
        assert_eq!(refused, 0, "seed {seed}: other sound requests are refused after {settled}");
    }
}
