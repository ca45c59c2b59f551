//! Rate limits that runners state hold for the sum of all daemons, on a virtual clock.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use teaselcroft_gateway::fleet::{Choice, Fleet, PlacementRequest, RunnerKey, runner_hash};
use teaselcroft_gateway::heartbeat::RunnerLimit;
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{Priority, RequestRate, RunnerRecord};
use teaselcroft_parts::{Millis, ModelName, RunnerName};

const STEP: Millis = Millis(20);
const DAY: Millis = Millis(40_000);
const SCHEDULES: u64 = 300;

/// The daemons of a large fleet, and the time between two heartbeats of one in a large and in a small fleet.
const LARGE_FLEET: usize = 65;
const LARGE_PERIOD: Millis = Millis(640);
const SMALL_PERIOD: Millis = Millis(120);

/// The users' bound: from `CONTACT_TIME` after its first statement, a runner gets at most `BOUND_RATIO` of its limit and
/// `BOUND_REQUESTS` more in each `WINDOW`.
const CONTACT_TIME: Millis = Millis(3_000);
const WINDOW: Millis = Millis(4_000);
const BOUND_RATIO: f64 = 1.5;
const BOUND_REQUESTS: f64 = 5.0;

fn service() -> ModelName {
    "engines".parse().unwrap()
}

fn name(number: usize) -> RunnerName {
    format!("i-{number}").parse().unwrap()
}

fn fleet(runners: usize) -> Fleet {
    let mut fleet = Fleet::new("fayon".parse().unwrap());
    for number in 0..runners {
        let record = RunnerRecord {
            name: name(number),
            started_at: 1,
            service: service(),
            address: SocketAddr::from(([10, 0, 0, 1], 8_000 + u16::try_from(number).unwrap())),
            zone: "fayon".parse().unwrap(),
            slots: 64,
            is_ready: true,
            is_preemptible: false,
        };
        assert!(fleet.upsert(record, Revision(1)));
    }
    fleet
}

fn rate(per_second: f64) -> Option<RequestRate> {
    Some(per_second.try_into().unwrap())
}

fn choose(fleet: &Fleet, uses_limited: bool, now: Millis) -> Choice {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt: None,
        longest_pause: None,
        priority: Priority(1),
        target: Millis(300),
        tried: &[],
        uses_limited,
        is_placed: false,
    };
    fleet.choose(&request, now)
}

fn key(fleet: &Fleet, number: usize) -> RunnerKey {
    fleet.find(&name(number)).unwrap().0
}

/// A fleet of daemons whose placement leader changes.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    daemons: usize,
    /// The time between heartbeats.
    period: Millis,
    runners: usize,
    /// The limit of the first runner.
    limit: f64,
    /// Requests in each step.
    demand: usize,
    /// When the next daemon becomes the leader.
    changes: Vec<u64>,
    /// For how long both leaders place after a change.
    overlap: u64,
    /// When a daemon restarts.
    restarts: Vec<u64>,
    /// Heartbeats that are lost, in a hundred.
    lost: u32,
}

impl Schedule {
    fn random(seed: u64) -> Schedule {
        let mut random = fastrand::Rng::with_seed(seed);
        let is_large = random.u32(..20) == 0;
        Schedule {
            seed,
            daemons: if is_large { LARGE_FLEET } else { random.usize(2..9) },
            period: if is_large { LARGE_PERIOD } else { SMALL_PERIOD },
            runners: random.usize(1..5),
            limit: f64::from(random.u32(..80)) / 10.0,
            demand: random.usize(1..4),
            changes: (0..random.usize(..8)).map(|_| random.u64(..DAY.0)).collect(),
            overlap: random.u64(..1_200),
            restarts: (0..random.usize(..4)).map(|_| random.u64(..DAY.0 / STEP.0) * STEP.0).collect(),
            lost: random.u32(..30),
        }
    }
}

/// Plays a schedule; returns when requests that count were sent to the runner with the limit.
fn play(schedule: &Schedule) -> Vec<Millis> {
    let mut fleets: Vec<Fleet> = (0..schedule.daemons).map(|_| fleet(schedule.runners)).collect();
    let mut sent = Vec::new();
    // From when on the users' bound holds for each daemon: a restart excuses it.
    let mut started = vec![Millis(0); schedule.daemons];
    let mut random = fastrand::Rng::with_seed(schedule.seed);
    // Placement breaks ties by the generator of this thread.
    fastrand::seed(schedule.seed);
    for now in (0..DAY.0).step_by(STEP.0 as usize).map(Millis) {
        if schedule.restarts.contains(&now.0) {
            let daemon = random.usize(..schedule.daemons);
            (fleets[daemon], started[daemon]) = (fleet(schedule.runners), now + CONTACT_TIME);
        }
        let leader = |at: u64| schedule.changes.iter().filter(|change| **change <= at).count() % schedule.daemons;
        let leaders = [leader(now.0), leader(now.0.saturating_sub(schedule.overlap))];
        for request in 0..schedule.demand {
            let leader = leaders[request % 2];
            let leading = &mut fleets[leader];
            if let Choice::Placed(placement) = choose(leading, true, now) {
                leading.take_allowance(placement.key, now);
                if placement.record.name == name(0) {
                    if started[leader] <= now {
                        sent.push(now);
                    }
                    let answered = &mut fleets[request % schedule.daemons];
                    let first = key(answered, 0);
                    answered.note_limit(first, rate(schedule.limit), now, now);
                }
            }
        }
        if now.0.is_multiple_of(schedule.period.0) {
            let reports: Vec<_> = fleets.iter().map(|fleet| (fleet.own_limits(now), fleet.own_permits())).collect();
            for (receiver, fleet) in fleets.iter_mut().enumerate() {
                for (sender, (limits, permits)) in reports.iter().enumerate().filter(|(sender, _)| *sender != receiver)
                {
                    if random.u32(..100) < schedule.lost {
                        continue;
                    }
                    fleet.apply_peer_limits(limits, now);
                    fleet.apply_peer_permits(&sender.to_string(), permits, now);
                }
            }
        }
    }
    sent
}

fn most_in_window(sent: &[Millis]) -> usize {
    let settled: Vec<Millis> = sent.iter().copied().filter(|at| *at >= CONTACT_TIME).collect();
    let in_window = |last: &Millis| settled.iter().filter(|at| **at <= *last && last.since(**at) < WINDOW).count();
    settled.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn a_limit_holds_for_all_daemons_together_while_leaders_change() {
    for seed in 0..SCHEDULES {
        let schedule = Schedule::random(seed);

        let most = most_in_window(&play(&schedule));

        let allowed = schedule.limit * BOUND_RATIO * WINDOW.0 as f64 / 1_000.0 + BOUND_REQUESTS;
        assert!(most as f64 <= allowed, "seed {seed}: {most} requests, {allowed} are allowed: {schedule:?}");
    }
}

#[test]
fn a_limit_is_used_by_the_leader_and_what_exceeds_it_goes_elsewhere_or_is_refused() {
    let schedule = Schedule {
        seed: 0,
        daemons: 8,
        period: SMALL_PERIOD,
        runners: 1,
        limit: 10.0,
        demand: 2,
        changes: Vec::new(),
        overlap: 0,
        restarts: Vec::new(),
        lost: 0,
    };
    let mut alone = fleet(1);
    let first = key(&alone, 0);
    alone.note_limit(first, rate(2.0), Millis(0), Millis(0));

    let sent = play(&schedule).into_iter().filter(|at| *at >= CONTACT_TIME).count();
    let span = (DAY.0 - CONTACT_TIME.0) as f64 / 1_000.0;

    assert!(sent as f64 >= 0.7 * 10.0 * span, "{sent} requests in {span} s");
    assert!(matches!(choose(&alone, true, Millis(100)), Choice::Full), "no allowance yet");
    assert!(matches!(choose(&alone, true, Millis(1_000)), Choice::Placed(_)));
    assert!(matches!(choose(&alone, false, Millis(1_000)), Choice::Full), "only the leader uses it");
}

#[test]
fn a_limit_ends_with_an_answer_without_one_that_was_asked_for_later() {
    let mut fleets = [fleet(1), fleet(1)];
    let first = key(&fleets[0], 0);

    let is_new = fleets[0].note_limit(first, rate(2.0), Millis(0), Millis(500));
    let by_overtaken = fleets[0].note_limit(first, None, Millis(400), Millis(600));
    let limits = fleets[0].own_limits(Millis(700));
    let told = fleets[1].apply_peer_limits(&limits, Millis(720));
    let by_later = fleets[0].note_limit(first, None, Millis(800), Millis(900));
    let ended = fleets[1].apply_peer_limits(&fleets[0].own_limits(Millis(1_000)), Millis(1_020));
    let outdated = fleets[1].apply_peer_limits(
        &limits.iter().map(|limit| RunnerLimit { age_ms: 600, ..*limit }).collect::<Vec<_>>(),
        Millis(1_100),
    );

    assert_eq!((is_new, by_overtaken, by_later), (true, false, true));
    assert_eq!((told, ended, outdated), (vec![(name(0), rate(2.0))], vec![(name(0), None)], Vec::new()));
    assert!(matches!(choose(&fleets[1], false, Millis(1_100)), Choice::Placed(_)));
}

#[test]
fn numbers_that_are_no_rates_are_no_limits() {
    let limit = |per_second| RunnerLimit { runner: runner_hash(&name(0), 1), per_second: Some(per_second), age_ms: 0 };
    let mut fleet = fleet(1);

    let parsed = ["", "x", "-1", "nan", "inf", "1e999"].map(|text| text.parse::<RequestRate>().is_ok());
    let told = fleet.apply_peer_limits(&[limit(f64::NAN), limit(-1.0), limit(f64::INFINITY)], Millis(0));

    assert_eq!((parsed, told), ([false; 6], Vec::new()));
    assert_eq!("1.1".parse::<RequestRate>().map(RequestRate::per_second), Ok(1.1));
}

#[test]
fn a_starting_daemon_keeps_limits_that_it_hears_of_before_the_runners_entries() {
    let limit = RunnerLimit { runner: runner_hash(&name(0), 1), per_second: Some(0.2), age_ms: 0 };
    let mut starting = fleet(0);

    let told = starting.apply_peer_limits(&[limit], Millis(100));
    starting.sweep(SMALL_PERIOD, Millis(200));
    let record = fleet(1).find(&name(0)).unwrap().1;
    starting.upsert((*record).clone(), Revision(1));

    assert!(told.is_empty(), "no runner is known yet");
    assert!(matches!(choose(&starting, false, Millis(300)), Choice::Full));
}

#[test]
fn daemons_tell_one_that_starts_all_limits_but_repeat_only_their_own_in_heartbeats() {
    let (mut told, mut starting) = (fleet(1), fleet(1));
    let limit = RunnerLimit { runner: runner_hash(&name(0), 1), per_second: Some(0.2), age_ms: 300 };
    told.apply_peer_limits(&[limit], Millis(1_000));

    let repeated = told.own_limits(Millis(1_100));
    let limits = told.known_limits(Millis(1_100));
    let learned = starting.apply_peer_limits(&limits, Millis(50));

    assert!(repeated.is_empty());
    assert_eq!(limits, [RunnerLimit { age_ms: 400, ..limit }]);
    assert_eq!(learned, [(name(0), rate(0.2))]);
}

#[test]
fn a_pause_ends_no_earlier_than_the_runner_asked() {
    let mut fleet = fleet(1);
    let (key, record, _) = fleet.find(&name(0)).unwrap();

    // The clock says 10 from 10.0 to 10.999 ms.
    fleet.hold(&record, Millis(2_500), Millis(10));

    assert!(fleet.is_held(key, Millis(2_510)) && !fleet.is_held(key, Millis(2_511)));
}

#[test]
fn a_pause_outlasts_the_return_of_the_runners_entry_but_not_another_start() {
    let mut fleet = fleet(1);
    let record = (*fleet.find(&name(0)).unwrap().1).clone();
    let is_used = |fleet: &Fleet, now| matches!(choose(fleet, false, now), Choice::Placed(_));
    fleet.hold(&record, Millis(2_500), Millis(0));

    fleet.remove_runner(&record.name);
    fleet.sweep(SMALL_PERIOD, Millis(1_000));
    fleet.upsert(record.clone(), Revision(2));
    let after_return = [is_used(&fleet, Millis(1_100)), is_used(&fleet, Millis(2_501))];
    fleet.remove_runner(&record.name);
    fleet.hold(&record, Millis(9_000), Millis(3_000));
    fleet.upsert(record.clone(), Revision(3));
    let after_late_answer = is_used(&fleet, Millis(3_100));
    fleet.upsert(RunnerRecord { started_at: 2, ..record }, Revision(4));

    assert_eq!((after_return, after_late_answer), ([false, true], false));
    assert!(is_used(&fleet, Millis(3_100)), "another start did not ask for a pause");
}
