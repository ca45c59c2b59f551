//! Plays plain requests of many daemons that know the load only from the placement leader's heartbeats, with most callers
//! in one zone: without these all requests of a zone burden its own runners.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::net::SocketAddr;

use teaselcroft_gateway::fleet::{Choice, Fleet, PlacementRequest, RunnerKey};
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{Condition, Priority, RunnerRecord, Settings};
use teaselcroft_parts::{Millis, ModelName};

const REFERENCE: &str = include_str!("../../../docs/entry-settings.yaml");
const ZONES: [&str; 3] = ["caspe", "fayon", "nonaspe"];
const HOLD: Millis = Millis(60);
const MAX_BUSIEST: f64 = 1.3;

fn fleet(zone: &str, hold: Option<Millis>) -> Fleet {
    let mut fleet = Fleet::new(zone.parse().unwrap()).with_even_load(hold);
    for number in 0..6_u8 {
        let record = RunnerRecord {
            name: format!("i-{number}").parse().unwrap(),
            started_at: 1,
            service: "ledger".parse().unwrap(),
            address: SocketAddr::from(([10, 0, 0, number], 8_000)),
            zone: ZONES[usize::from(number) % 3].parse().unwrap(),
            slots: 6,
            is_ready: true,
            is_preemptible: false,
        };
        fleet.upsert(record, Revision(1));
    }
    fleet
}

fn choose(fleet: &Fleet, service: &ModelName, now: Millis) -> RunnerKey {
    let (priority, target) = (Priority(2), Millis(300));
    let request = PlacementRequest {
        service,
        prompt: None,
        longest_pause: None,
        priority,
        target,
        tried: &[],
        uses_limited: false,
        is_placed: false,
    };
    match fleet.choose(&request, now) {
        Choice::Placed(placement) => placement.key,
        other => panic!("{other:?}"),
    }
}

/// Plays ten seconds at 0.8 load, 60% of it in one zone; the first daemon leads. Returns busiest/mean of the requests that
/// runners got.
fn busiest(daemons: usize, hold: Option<Millis>) -> f64 {
    fastrand::seed(daemons as u64);
    let mut random = fastrand::Rng::with_seed(daemons as u64);
    let service: ModelName = "ledger".parse().unwrap();
    let mut fleets: Vec<Fleet> = (0..daemons).map(|index| fleet(ZONES[index % 3], hold)).collect();
    let mut ends: VecDeque<(u64, usize, RunnerKey)> = VecDeque::new();
    let mut counts = std::collections::HashMap::<RunnerKey, f64>::new();
    for now in 0..10_000 {
        while ends.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, daemon, key) = ends.pop_front().unwrap();
            fleets[daemon].end(key);
        }
        // 0.8 of 6 runners with 6 slots of 60 ms.
        let arrivals = usize::from(random.f64() < 0.48);
        for _ in 0..arrivals {
            let zone = if random.f64() < 0.6 { 0 } else { random.usize(1..3) };
            let daemon = random.usize(..daemons / 3) * 3 + zone;
            let key = choose(&fleets[daemon], &service, Millis(now));
            fleets[daemon].begin(key, 0, Millis(now));
            ends.push_back((now + HOLD.0, daemon, key));
            *counts.entry(key).or_default() += f64::from(u8::from(now >= 1_000));
        }
        if now % 40 == 0 {
            let (leader, peers) = fleets.split_first_mut().unwrap();
            for (index, peer) in peers.iter().enumerate() {
                leader.set_peer_loads(&index.to_string(), Some(0), peer.own_loads(Millis(now)), Millis(now));
            }
            if now % 200 == 0 {
                let totals = leader.plain_totals();
                peers.iter_mut().for_each(|peer| peer.apply_totals(&totals, Millis(now)));
            }
        }
    }
    counts.values().copied().fold(0.0, f64::max) * 6.0 / counts.values().sum::<f64>()
}

#[test]
fn plain_load_is_even_when_most_callers_are_in_one_zone() {
    for daemons in [88, 380] {
        let ratio = busiest(daemons, Some(HOLD));

        assert!(ratio <= MAX_BUSIEST, "{daemons} daemons: {ratio}");
    }
}

#[test]
fn own_counts_alone_burden_the_zone_with_most_callers() {
    for daemons in [88, 380] {
        let ratio = busiest(daemons, None);

        assert!(ratio > MAX_BUSIEST, "{daemons} daemons: {ratio}");
    }
}

#[test]
fn even_load_is_in_use_only_where_conditions_ask_for_it_and_the_setting_allows_it() {
    let usual = Settings::parse(REFERENCE).unwrap();
    let asked = Settings { conditions: vec![Condition::Health], ..usual.clone() };
    let mut refused = asked.clone();
    refused.balance.enabled = false;

    assert_eq!(usual.balance_hold(), None);
    assert_eq!(asked.balance_hold(), Some(Millis(100)));
    assert_eq!(refused.balance_hold(), None);
}
