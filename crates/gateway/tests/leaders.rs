//! Which daemon leads placement after all VMs of a fleet lost power and start again, on a virtual clock.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_gateway::Roster;
use teaselcroft_gateway::heartbeat::{MemberRecord, Phase};
use teaselcroft_parts::Millis;

const ZONES: [&str; 5] = ["fayon", "caspe", "mequinenza", "riba-roja", "flix"];

/// All VMs are back within this time.
const START_SPREAD: u64 = 300;

/// A daemon has the list of daemons this long after its start.
const LIST_TIME: Millis = Millis(60);

/// Daemons have the configuration within this time after their starts.
const MAX_CONFIGURATION_TIME: u64 = 400;

const TICK: Millis = Millis(20);

/// The goal of the users' letter on large fleets: all serve as before within 3 s; agreeing is the first part of that.
const AGREEMENT_TIME: Millis = Millis(1_000);

fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{index:03}"),
        incarnation,
        zone: ZONES[index % ZONES.len()].to_owned(),
        ip: format!("10.0.{}.{}", index / 200, index % 200 + 1),
        front_port: 7_101,
        peer_port: 7_104,
        phase: Phase::Starting.into(),
        cpu_milli: if index.is_multiple_of(20) { 500 } else { 120 },
        is_settled: false,
        period_ms: 0,
    }
}

struct Daemon {
    roster: Roster,
    started: Millis,
    configured: Millis,
    next_round: Millis,
    round: usize,
}

/// The daemons that start again at random times, each of which finds the entries of all former starts in the store.
struct Model {
    daemons: Vec<Daemon>,
}

impl Model {
    fn new(count: usize, seed: u64) -> Model {
        let mut random = fastrand::Rng::with_seed(seed);
        let start = |index| {
            let started = Millis(random.u64(..START_SPREAD));
            let configured = started + LIST_TIME + Millis(random.u64(..MAX_CONFIGURATION_TIME));
            Daemon { roster: Roster::new(record(index, 2)), started, configured, next_round: started, round: 0 }
        };
        Model { daemons: (0..count).map(start).collect() }
    }

    fn step(&mut self, now: Millis) {
        let count = self.daemons.len();
        let mut sent: Vec<(MemberRecord, String)> = Vec::new();
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.started <= now) {
            let age = now.since(daemon.started);
            if age >= LIST_TIME && !daemon.roster.is_listed() {
                (0..count).for_each(|index| {
                    daemon.roster.learn(record(index, 1), true, now);
                });
                let names: Vec<String> = (0..count).map(|index| record(index, 1).name).collect();
                daemon.roster.set_registered(&names);
            }
            if now >= daemon.configured {
                daemon.roster.become_ready();
            }
            let told = daemon.roster.take_untold().into_iter().map(|peer| peer.name);
            sent.extend(told.map(|name| (daemon.roster.me.clone(), name)));
            if now >= daemon.next_round {
                let is_far = |zone: &str| zone != daemon.roster.me.zone;
                let has_far_round = daemon.roster.far_period(now) == daemon.roster.heartbeat_interval();
                let due = daemon.roster.peers().enumerate().filter(|(index, peer)| {
                    !is_far(&peer.record.zone) || has_far_round || index % 3 == daemon.round % 3
                });
                sent.extend(due.map(|(_, peer)| (daemon.roster.me.clone(), peer.record.name.clone())));
                daemon.round += 1;
                daemon.next_round = now + daemon.roster.heartbeat_interval();
            }
        }
        for (mut sender, target) in sent {
            let index: usize = target.rsplit('-').next().unwrap().parse().unwrap();
            let daemon = &mut self.daemons[index];
            if daemon.started <= now {
                sender.period_ms = 3_000;
                daemon.roster.heard(sender, now);
            }
        }
    }

    /// The leaders that ready daemons follow, and how many follow each.
    fn leaders(&self, now: Millis) -> BTreeMap<String, usize> {
        let mut leaders = BTreeMap::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.started <= now) {
            *leaders.entry(daemon.roster.placement_leader(now).name.clone()).or_default() += 1;
        }
        leaders
    }
}

/// At 300 daemons rounds of heartbeats are 3 s apart, to other zones 9 s. Daemons that do not know that the first candidate
/// is ready follow another one, and each of several leaders knows only a part of the runners' loads and caches.
#[test]
fn after_a_power_loss_all_daemons_follow_one_leader_within_a_second() {
    for (count, seed) in [(6, 1), (60, 2), (300, 3), (400, 4)] {
        let mut model = Model::new(count, seed);
        let mut now = Millis(0);
        let end = Millis(START_SPREAD) + AGREEMENT_TIME;

        while now <= end {
            model.step(now);
            now = now + TICK;
        }

        let leaders = model.leaders(now);
        assert_eq!(leaders.len(), 1, "{count} daemons: {leaders:?}");
    }
}

#[test]
fn a_peer_is_told_each_phase_once_and_again_after_its_restart() {
    let mut roster = Roster::new(record(0, 1));
    let names =
        |roster: &mut Roster| -> BTreeSet<String> { roster.take_untold().into_iter().map(|peer| peer.name).collect() };
    roster.learn(record(1, 1), true, Millis(0));

    let while_starting = names(&mut roster);
    roster.become_ready();
    let (ready, again) = (names(&mut roster), names(&mut roster));
    roster.heard(record(1, 2), Millis(10));
    roster.heard(record(2, 1), Millis(10));
    let restarted = names(&mut roster);
    roster.me.phase = Phase::Leaving.into();
    let leaving = names(&mut roster);

    let both = BTreeSet::from(["entry-001".to_owned(), "entry-002".to_owned()]);
    assert_eq!((while_starting.len(), ready.len(), again.len()), (0, 1, 0));
    assert_eq!((restarted, leaving), (both.clone(), both));
}

/// One daemon reads what all runners have cached; it must not be many.
#[test]
fn only_the_first_candidate_of_a_fleet_without_a_settled_daemon_reads_caches() {
    let now = Millis(100);
    let roster = |index: usize| {
        let mut roster = Roster::new(record(index, 2));
        (0..45).for_each(|other| {
            roster.learn(record(other, 1), true, now);
        });
        roster.set_registered(&[]);
        roster
    };

    let readers: Vec<usize> = (0..45).filter(|index| roster(*index).is_unsettled_leader(now)).collect();
    let mut with_settled = roster(40);
    with_settled.heard(MemberRecord { is_settled: true, ..record(3, 2) }, now);
    let mut without_list = Roster::new(record(40, 2));
    without_list.heard(record(3, 2), now);

    assert_eq!(readers, [40], "the last name of those on the largest VMs");
    assert!(!with_settled.is_unsettled_leader(now));
    assert!(!without_list.is_unsettled_leader(now));
}
