//! Placement of requests: each test replays the load that a rule is made for and checks the runners' load.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use teaselcroft_gateway::fleet::{Choice, Fleet, Placement, PlacementRequest, runner_hash};
use teaselcroft_gateway::heartbeat::RunnerLoad;
use teaselcroft_gateway::store::Revision;
use teaselcroft_gateway::{CachedPart, Priority, Prompt, PromptPart, RunnerRecord};
use teaselcroft_parts::{Millis, ModelName, RunnerName, ZoneName};

const INTERACTIVE_PAUSE: Option<Millis> = Some(Millis(250));
const PATIENT_PAUSE: Option<Millis> = Some(Millis(1_000));

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn service() -> ModelName {
    "engines".parse().unwrap()
}

fn runner(number: usize, zone_name: &str, slots: u32) -> RunnerRecord {
    RunnerRecord {
        name: format!("i-{number}").parse().unwrap(),
        started_at: 1,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 8_000)),
        zone: zone(zone_name),
        slots,
        is_ready: true,
        is_preemptible: false,
    }
}

fn fleet(runners: usize) -> Fleet {
    let mut fleet = Fleet::new(zone("fayon"));
    (0..runners).for_each(|number| assert!(fleet.upsert(runner(number, "fayon", 64), Revision(1))));
    fleet
}

/// A prompt with one part that other prompts share and one of its own.
fn prompt(shared_id: u64, shared_tokens: u32, own_tokens: u32) -> Prompt {
    let parts = vec![
        PromptPart { id: shared_id, tokens: shared_tokens },
        PromptPart { id: shared_id ^ 0xffff_0000, tokens: own_tokens },
    ];
    Prompt { model: "m".into(), input_tokens: shared_tokens + own_tokens, output_tokens: 100, parts }
}

fn choice(fleet: &Fleet, prompt: &Prompt, pause: Option<Millis>, priority: u8, now: Millis) -> Choice {
    choice_for(fleet, prompt, pause, (priority, Millis(2_000)), now)
}

fn choice_for(
    fleet: &Fleet,
    prompt: &Prompt,
    pause: Option<Millis>,
    (priority, target): (u8, Millis),
    now: Millis,
) -> Choice {
    let service = service();
    let priority = Priority(priority);
    fleet.choose(
        &PlacementRequest {
            service: &service,
            prompt: Some(prompt),
            longest_pause: pause,
            priority,
            target,
            tried: &[],
            uses_limited: false,
            is_placed: false,
        },
        now,
    )
}

fn choose(fleet: &Fleet, prompt: &Prompt, pause: Option<Millis>, now: Millis) -> Option<Placement> {
    match choice(fleet, prompt, pause, 0, now) {
        Choice::Placed(placement) => Some(placement),
        Choice::Full | Choice::NoRunner => None,
    }
}

/// Places a request and counts it as running at its runner.
fn send(fleet: &mut Fleet, prompt: &Prompt, pause: Option<Millis>, now: Millis) -> Placement {
    let placement = choose(fleet, prompt, pause, now).unwrap();
    fleet.begin(placement.key, placement.prefill_tokens, now);
    fleet.note_cached(placement.key, prompt, now);
    placement
}

#[test]
fn requests_with_a_shared_prefix_go_to_one_runner() {
    let mut fleet = fleet(18);
    let first = send(&mut fleet, &prompt(7, 13_300, 3_000), PATIENT_PAUSE, Millis(0));

    let second = send(&mut fleet, &prompt(7, 13_300, 2_000), PATIENT_PAUSE, Millis(100));

    assert_eq!((first.record.name.clone(), first.prefill_tokens), (second.record.name.clone(), 16_300));
    assert_eq!((second.prefill_tokens, second.fetch_from), (2_000, None));
}

#[test]
fn a_request_whose_prefix_is_on_a_busy_runner_goes_elsewhere_and_fetches_it() {
    let mut fleet = fleet(18);
    let holder = send(&mut fleet, &prompt(7, 13_300, 3_000), PATIENT_PAUSE, Millis(0));
    fleet.end_prefill(holder.key, holder.prefill_tokens, Millis(0));
    fleet.begin(holder.key, 200_000, Millis(0));

    let other = choose(&fleet, &prompt(7, 13_300, 2_000), PATIENT_PAUSE, Millis(1_000)).unwrap();

    assert_ne!(other.record.name, holder.record.name);
    assert_eq!((other.fetch_from, other.prefill_tokens), (Some(holder.record.address), 2_000));
}

#[test]
fn a_burst_of_uncached_long_prompts_spreads_evenly_and_avoids_interactive_runners() {
    let mut fleet = fleet(18);
    let interactive = send(&mut fleet, &prompt(1_000, 350, 1_110), INTERACTIVE_PAUSE, Millis(0));

    let mut tokens = std::collections::HashMap::new();
    for number in 0..70 {
        let placement = send(&mut fleet, &prompt(number, 13_300, 3_720), PATIENT_PAUSE, Millis(number));
        *tokens.entry(placement.record.name.clone()).or_insert(0) += placement.prefill_tokens;
        assert_ne!(placement.record.name, interactive.record.name);
    }

    let (most, least) = (tokens.values().max().unwrap(), tokens.values().min().unwrap());
    assert_eq!(tokens.len(), 14, "a fifth of the runners is reserved for interactive requests");
    assert!(most - least <= 2 * 17_020, "{least} to {most} tokens");
}

#[test]
fn interactive_requests_stay_on_the_interactive_runners() {
    let mut fleet = fleet(18);
    for number in 0..100 {
        send(&mut fleet, &prompt(number, 13_300, 3_720), PATIENT_PAUSE, Millis(number));
    }

    let mut used: Vec<RunnerName> = (0..80)
        .map(|number| {
            send(&mut fleet, &prompt(5_000 + number, 350, 1_110), INTERACTIVE_PAUSE, Millis(200)).record.name.clone()
        })
        .collect();
    used.sort_unstable();
    used.dedup();

    assert_eq!(used.len(), 4);
}

/// A deployment whose events hold many tokens has longer target pauses; long prompts delay its short requests all the same.
#[test]
fn short_requests_with_pauses_of_half_a_second_are_kept_apart_from_long_prompts() {
    let mut fleet = fleet(18);
    let mut long: Vec<RunnerName> = Vec::new();
    let mut short = Vec::new();

    for number in 0..60 {
        let now = Millis(number * 10);
        long.push(send(&mut fleet, &prompt(number, 13_300, 3_720), Some(Millis(2_000)), now).record.name.clone());
        long.push(send(&mut fleet, &prompt(1_000 + number, 6_300, 2_890), Some(Millis(800)), now).record.name.clone());
        short.push(send(&mut fleet, &prompt(5_000 + number, 350, 1_110), Some(Millis(500)), now).record.name.clone());
    }

    let mixed = short.iter().filter(|name| long.contains(name)).count();
    assert_eq!(mixed, 0, "short requests on runners with long prompts: {short:?}");
    long.sort_unstable();
    long.dedup();
    assert_eq!(long.len(), 14, "long prompts, also those with short pauses, use all other runners");
}

#[test]
fn a_runner_that_refuses_connections_is_avoided_for_the_returned_time() {
    let mut fleet = fleet(2);
    let now = Millis(5_000);
    let first = choose(&fleet, &prompt(7, 100, 100), PATIENT_PAUSE, now).unwrap();

    let span = fleet.avoid(first.key, now);

    let other = choose(&fleet, &prompt(7, 100, 100), PATIENT_PAUSE, now).unwrap();
    let again = choose(&fleet, &prompt(7, 100, 100), PATIENT_PAUSE, now + span + Millis(1)).unwrap();
    assert_ne!(other.record.name, first.record.name);
    assert_eq!(again.record.name, first.record.name);
}

#[test]
fn a_grant_counts_until_the_peers_own_report_includes_it() {
    let mut fleet = fleet(1);
    let now = Millis(1_000);
    let placement = choose(&fleet, &prompt(7, 0, 500), PATIENT_PAUSE, now).unwrap();
    let load = |fleet: &Fleet| choose(fleet, &prompt(8, 0, 0), PATIENT_PAUSE, now).unwrap().load.requests;
    let reported = RunnerLoad {
        runner: runner_hash(&placement.record.name, 1),
        requests: 1,
        reading: 500,
        ..RunnerLoad::default()
    };

    fleet.granted("entry-2", 41, placement.key, 500, now);
    assert_eq!(load(&fleet), 1);
    fleet.set_peer_loads("entry-2", Some(40), Vec::new(), now);
    assert_eq!(load(&fleet), 1, "the report is older than the grant");
    fleet.set_peer_loads("entry-2", Some(41), vec![reported], now);
    assert_eq!(load(&fleet), 1, "counted once");
    fleet.drop_peer_loads("entry-2");
    assert_eq!(load(&fleet), 0);
}

#[test]
fn a_reported_departure_stops_placement_at_peers_until_the_runner_restarts() {
    let (mut one, mut two) = (fleet(1), fleet(1));
    let name: RunnerName = "i-0".parse().unwrap();

    one.note_departure(&name, Revision(2), Millis(0));
    let news = one.recent_departures(Millis(120), Millis(100));
    news.iter().for_each(|left| assert!(two.apply_departure(*left, Millis(100)).is_some()));

    assert!(choose(&two, &prompt(7, 100, 100), PATIENT_PAUSE, Millis(100)).is_none());
    assert!(two.upsert(RunnerRecord { started_at: 2, ..runner(0, "fayon", 64) }, Revision(3)));
    news.iter().for_each(|left| assert!(two.apply_departure(*left, Millis(100)).is_none()));
    assert!(choose(&two, &prompt(7, 100, 100), PATIENT_PAUSE, Millis(100)).is_some());
    assert!(one.recent_departures(Millis(120), Millis(9_000)).is_empty());
}

#[test]
fn a_runner_that_says_that_it_leaves_is_used_again_only_after_a_restart() {
    let (mut one, mut two) = (fleet(1), fleet(1));
    let name: RunnerName = "i-0".parse().unwrap();
    let record = runner(0, "fayon", 64);
    let takes = |fleet: &Fleet| fleet.find(&name).is_some_and(|(_, record, _)| record.is_ready);

    let (is_news, is_repeated) = (one.note_leaving(&record, Millis(0)), one.note_leaving(&record, Millis(10)));
    let news = one.recent_departures(Millis(120), Millis(100));
    two.upsert(RunnerRecord { slots: 7, ..runner(0, "fayon", 64) }, Revision(9));
    news.iter().for_each(|left| assert!(two.apply_departure(*left, Millis(100)).is_some()));
    for fleet in [&mut one, &mut two] {
        fleet.upsert(RunnerRecord { slots: 8, ..runner(0, "fayon", 64) }, Revision(10));
        fleet.remove_runner(&name);
        fleet.upsert(runner(0, "fayon", 64), Revision(11));
    }
    let after_return = [takes(&one), takes(&two)];
    one.upsert(RunnerRecord { started_at: 2, ..runner(0, "fayon", 64) }, Revision(12));

    assert_eq!((is_news, is_repeated, news.len()), (true, false, 1));
    assert_eq!(after_return, [false; 2]);
    assert!(takes(&one), "another start under the same name");
}

#[test]
fn a_runner_that_says_that_it_leaves_while_its_entry_is_absent_is_not_used_when_it_returns() {
    let (mut one, mut two) = (fleet(1), fleet(1));
    let record = runner(0, "fayon", 64);
    let takes = |fleet: &Fleet| fleet.find(&record.name).is_some_and(|(_, record, _)| record.is_ready);
    one.remove_runner(&record.name);

    one.note_leaving(&record, Millis(0));
    let news = one.recent_departures(Millis(120), Millis(100));
    news.iter().for_each(|left| assert!(two.apply_departure(*left, Millis(100)).is_some()));
    one.upsert(record.clone(), Revision(2));
    two.upsert(record.clone(), Revision(2));

    assert_eq!((takes(&one), takes(&two)), (false, false));
}

#[test]
fn only_a_later_start_replaces_a_known_one() {
    let mut fleet = fleet(1);
    let record = runner(0, "fayon", 64);
    let started = |start| RunnerRecord { started_at: start, ..record.clone() };
    fleet.upsert(RunnerRecord { is_ready: false, ..started(5) }, Revision(2));

    let is_changed = fleet.upsert(started(4), Revision(3));
    let (_, after_late, _) = fleet.find(&record.name).unwrap();
    fleet.upsert(started(6), Revision(4));

    assert!(!is_changed && fleet.is_outdated(&started(5)));
    assert_eq!((after_late.started_at, after_late.is_ready), (5, false));
    assert_eq!(*fleet.find(&record.name).unwrap().1, started(6));
}

#[test]
fn a_departure_older_than_the_runners_latest_entry_is_ignored() {
    let (mut one, mut two) = (fleet(1), fleet(1));
    let name: RunnerName = "i-0".parse().unwrap();
    one.note_departure(&name, Revision(5), Millis(0));
    let news = one.recent_departures(Millis(120), Millis(100));

    assert!(!two.upsert(runner(0, "fayon", 64), Revision(6)), "nothing but the entry's revision is new");
    news.iter().for_each(|left| assert!(two.apply_departure(*left, Millis(100)).is_none()));

    assert!(choose(&two, &prompt(7, 100, 100), PATIENT_PAUSE, Millis(100)).is_some());
}

#[test]
fn a_restarted_runner_has_an_empty_cache() {
    let mut fleet = fleet(3);
    let holder = send(&mut fleet, &prompt(7, 13_300, 100), PATIENT_PAUSE, Millis(0));
    fleet.end(holder.key);

    assert!(fleet.upsert(RunnerRecord { started_at: 2, ..(*holder.record).clone() }, Revision(2)));

    let next = choose(&fleet, &prompt(7, 13_300, 100), PATIENT_PAUSE, Millis(50)).unwrap();
    assert_eq!((next.prefill_tokens, next.fetch_from), (13_400, None));
}

#[test]
fn plain_requests_go_to_the_least_occupied_runner_and_prefer_their_zone() {
    let mut fleet = Fleet::new(zone("fayon"));
    [(0, "caspe"), (1, "fayon"), (2, "caspe")].into_iter().for_each(|(number, zone_name)| {
        fleet.upsert(runner(number, zone_name, 6), Revision(1));
    });
    let service = service();
    let (priority, target) = (Priority(2), Millis(300));
    let plain = PlacementRequest {
        service: &service,
        prompt: None,
        longest_pause: None,
        priority,
        target,
        tried: &[],
        uses_limited: false,
        is_placed: false,
    };
    let choose_plain = |fleet: &Fleet| match fleet.choose(&plain, Millis(0)) {
        Choice::Placed(placement) => placement,
        other => panic!("{other:?}"),
    };

    let first = choose_plain(&fleet);
    fleet.begin(first.key, 0, Millis(0));
    let second = choose_plain(&fleet);

    assert_eq!(first.record.name.as_str(), "i-1");
    assert_ne!(second.record.name.as_str(), "i-1");
}

#[test]
fn a_burst_of_low_priority_requests_leaves_slots_for_urgent_ones() {
    let mut fleet = fleet(6);
    let mut taken = 0;
    while let Choice::Placed(placement) = choice(&fleet, &prompt(taken, 0, 10), PATIENT_PAUSE, 2, Millis(taken)) {
        fleet.begin(placement.key, placement.prefill_tokens, Millis(taken));
        taken += 1;
    }

    let next = |priority| choice(&fleet, &prompt(9, 0, 10), PATIENT_PAUSE, priority, Millis(taken));

    assert_eq!(taken, 6 * 58, "nine tenths of each runner's 64 slots");
    assert!(matches!(next(2), Choice::Full));
    assert!(matches!(next(0), Choice::Placed(_)));
}

/// Sends long prompts to one runner at `rate` times its prefill rate for twenty seconds; returns the share admitted.
fn admitted(rate: f64, priority: u8, target: Millis) -> f64 {
    let mut fleet = fleet(1);
    let (mut placed, mut sent) = (0, 0);
    let tokens = 4_000;
    let pause = (f64::from(tokens) / 50.0 / rate) as usize;
    for now in (0..20_000).step_by(pause) {
        let now = Millis(now as u64);
        sent += 1;
        if let Choice::Placed(placement) =
            choice_for(&fleet, &prompt(now.0, 0, tokens), PATIENT_PAUSE, (priority, target), now)
        {
            fleet.begin(placement.key, placement.prefill_tokens, now);
            fleet.end_prefill(placement.key, placement.prefill_tokens, now);
            fleet.end(placement.key);
            placed += 1;
        }
    }
    f64::from(placed) / f64::from(sent)
}

#[test]
fn sustained_prefill_overload_sheds_patient_requests_and_admits_urgent_ones() {
    let patient = Millis(2_000);
    assert!(admitted(0.5, 2, patient) > 0.99, "a load that leaves time for the running streams is admitted");
    let low = admitted(2.0, 2, patient);
    assert!((0.3..=0.4).contains(&low), "six tenths of the prefill rate, and the initial burst: {low}");
    assert!(admitted(2.0, 1, patient) > low);
    for (priority, target) in [(0, patient), (1, Millis(800)), (4, Millis(800))] {
        assert!(admitted(2.0, priority, target) > 0.99, "{priority} within {target}");
    }
}

#[test]
fn placement_without_a_known_runner_finds_none() {
    let fleet = fleet(0);

    assert!(matches!(choice(&fleet, &prompt(1, 0, 100), PATIENT_PAUSE, 0, Millis(0)), Choice::NoRunner));
}

#[test]
fn a_prefix_whose_prefill_is_still_running_is_not_fetched() {
    let mut fleet = fleet(18);
    let holder = send(&mut fleet, &prompt(7, 13_300, 3_000), PATIENT_PAUSE, Millis(0));
    fleet.begin(holder.key, 60_000, Millis(0));

    let soon = choose(&fleet, &prompt(7, 13_300, 2_000), PATIENT_PAUSE, Millis(50)).unwrap();
    let later = choose(&fleet, &prompt(7, 13_300, 2_000), PATIENT_PAUSE, Millis(5_000)).unwrap();

    assert_eq!(soon.fetch_from, None);
    assert_eq!((later.fetch_from, later.prefill_tokens), (Some(holder.record.address), 2_000));
}

fn cached(id: u64, tokens: u32) -> CachedPart {
    CachedPart { model: "m".into(), id, tokens }
}

/// All daemons lost power, the runners did not: without their lists each shared part would be prefilled once more.
#[test]
fn prompts_go_to_the_runners_that_list_their_shared_parts() {
    let (mut fleet, now) = (fleet(60), Millis(400));
    let key = |fleet: &Fleet, number: u64| fleet.find(&format!("i-{number}").parse().unwrap()).unwrap().0;
    for number in 0..60 {
        let key = key(&fleet, number);
        fleet.note_listed_caches(key, &[cached(number, 13_300), cached(number ^ 0xffff_0000, 3_720)], now);
    }

    let mut reads = 0;
    for number in 0..60 {
        let prompt = prompt(number, 13_300, 3_000);
        fleet.adopt_listed_caches(&prompt, now);
        reads += send(&mut fleet, &prompt, PATIENT_PAUSE, now).prefill_tokens;
    }

    assert_eq!(reads, 60 * 3_000, "nothing but each prompt's own part is prefilled");
}

#[test]
fn a_listed_part_counts_only_whole_for_its_model_behind_the_parts_before_it_and_for_a_while() {
    let now = Millis(400);
    let parts =
        vec![PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 8_000 }, PromptPart { id: 3, tokens: 100 }];
    let prompt = Prompt { model: "m".into(), input_tokens: 8_600, output_tokens: 10, parts };
    let reads = |listed: &[CachedPart], at: Millis| {
        let mut fleet = fleet(1);
        let key = fleet.find(&"i-0".parse().unwrap()).unwrap().0;
        fleet.note_listed_caches(key, listed, now);
        fleet.adopt_listed_caches(&prompt, at);
        choose(&fleet, &prompt, PATIENT_PAUSE, at).unwrap().prefill_tokens
    };

    assert_eq!(reads(&[cached(1, 500), cached(2, 8_000)], now), 100);
    assert_eq!(reads(&[cached(1, 500), cached(2, 7_999)], now), 8_100, "partly evicted");
    assert_eq!(reads(&[cached(2, 8_000)], now), 8_600, "the part before it is missing");
    let other = CachedPart { model: "n".into(), ..cached(1, 500) };
    assert_eq!(reads(&[other, cached(2, 8_000)], now), 8_600, "for another model");
    assert_eq!(reads(&[cached(1, 500), cached(2, 8_000)], Millis(60_000)), 8_600, "likely evicted by now");
}

/// With 300 daemons heartbeats are 3 s apart, and the next placement leader knows caches and loads from them alone.
#[test]
fn caches_and_loads_in_heartbeats_last_until_the_next_heartbeat() {
    let (mut sender, mut receiver) = (fleet(5), fleet(5));
    let period = Millis(2_950);
    let placement = send(&mut sender, &prompt(7, 13_300, 100), PATIENT_PAUSE, Millis(0));

    let news = sender.recent_cache_news(period, Millis(2_900));
    receiver.apply_peer_caches(&news, Millis(2_900));
    receiver.set_peer_loads("entry-2", None, sender.own_loads(Millis(2_900)), Millis(2_900));
    receiver.sweep(period, Millis(2_900) + period);

    let next = choose(&receiver, &prompt(7, 13_300, 200), PATIENT_PAUSE, Millis(2_900) + period).unwrap();
    assert_eq!((next.record.name.clone(), next.prefill_tokens), (placement.record.name.clone(), 200));
    assert_eq!(next.load.requests, 1);
    assert!(sender.recent_cache_news(Millis(120), Millis(5_000)).is_empty());
}

/// Fails if heartbeats grow with the number of runners that leave, until they no longer fit into a datagram.
#[test]
fn a_heartbeat_names_a_bounded_number_of_departures_and_the_latest_first() {
    let mut fleet = fleet(120);
    for number in 0..120 {
        let name = runner(number, "fayon", 64).name;
        fleet.note_departure(&name, Revision(number as u64 + 2), Millis(number as u64));
    }

    let departures = fleet.recent_departures(Millis(1_000), Millis(200));

    assert_eq!(departures.len(), 64);
    assert_eq!(departures[0].revision, 121);
}
