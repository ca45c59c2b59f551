//! Tests of single decisions of the dispatcher under a virtual clock.

#![allow(clippy::expect_used)]

use teaselcroft_parts::{Fingerprint, Millis, RunnerName};
use teaselcroft_policy::{
    ClassRule, Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, LoadReport, Outcome, RequestKey,
    ResultCode, RunnerInfo, Tier, UpstreamKind,
};

const PLACES: u32 = 4;

fn rule(tier: u8) -> ClassRule {
    ClassRule {
        tier: Tier(tier),
        kind: UpstreamKind::Model,
        upstream: "assistant".parse().expect("a name"),
        target: Millis(if tier <= 1 { 4_000 } else { 60_000 }),
        patience: Millis(if tier <= 1 { 20_000 } else { 200_000 }),
        never_repeat: false,
        prompt_tokens: 100,
        output_tokens: 50,
        queue_limit: 10_000,
    }
}

fn request(id: u64, customer: &str, tier: u8, arrival: Millis) -> Descriptor {
    Descriptor {
        request: format!("r{id}").parse().expect("a name"),
        customer: customer.parse().expect("a name"),
        class: format!("class-{tier}").parse().expect("a name"),
        rule: rule(tier),
        fingerprint: Fingerprint(id),
        prefix: Fingerprint(id),
        prompt_tokens: 100,
        arrival,
        holding: None,
        admitted: false,
        avoid: None,
        zone: "fayon".parse().expect("a name"),
    }
}

fn runner(number: usize) -> RunnerInfo {
    RunnerInfo {
        name: format!("assistant-{number:02}").parse().expect("a name"),
        zone: "fayon".parse().expect("a name"),
        address: format!("10.0.0.{number}:80"),
        places: PLACES,
        leaving: false,
    }
}

fn dispatcher(runners: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), Millis(0));
    dispatcher.set_runners(Millis(0), (0..runners).map(runner).collect());
    dispatcher.tick(Millis(10_000));
    dispatcher
}

fn grants(actions: &[DispatchAction]) -> Vec<(RequestKey, RunnerName)> {
    let grants = actions.iter().filter_map(|action| match action {
        DispatchAction::Grant { request_key, runner, .. } => Some((*request_key, runner.name.clone())),
        _ => None,
    });
    grants.collect()
}

fn refused(actions: &[DispatchAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Refuse { code, .. } => Some(*code),
        _ => None,
    })
}

fn bare(kind: EndKind) -> Outcome {
    Outcome::bare(kind)
}

#[test]
fn a_leaving_runner_gets_no_new_requests() {
    let mut dispatcher = dispatcher(2);
    let leaving = RunnerInfo { leaving: true, ..runner(0) };

    dispatcher.set_runners(Millis(10_000), vec![leaving, runner(1)]);
    let granted: Vec<RunnerName> = (0..8)
        .flat_map(|id| grants(&dispatcher.add(Millis(10_000), request(id, "c1", 1, Millis(10_000))).1))
        .map(|(_, name)| name)
        .collect();

    assert_eq!(granted.len(), PLACES as usize);
    assert!(granted.iter().all(|name| *name == runner(1).name));
}

#[test]
fn a_more_urgent_request_is_granted_first() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let running: Vec<RequestKey> = (0..4).map(|id| dispatcher.add(now, request(id, "c1", 1, now)).0).collect();
    let (lower, _) = dispatcher.add(now, request(10, "c1", 3, now));
    let (urgent, _) = dispatcher.add(now, request(11, "c1", 1, now));

    let actions = dispatcher.remove(Millis(11_000), running[0], bare(EndKind::Done));

    let granted: Vec<RequestKey> = grants(&actions).into_iter().map(|(request_key, _)| request_key).collect();
    assert_eq!(granted, [urgent]);
    assert!(!granted.contains(&lower));
}

#[test]
fn a_large_customer_does_not_starve_a_small_one() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let running: Vec<RequestKey> = (0..4).map(|id| dispatcher.add(now, request(id, "large", 1, now)).0).collect();
    for id in 10..60 {
        dispatcher.add(now, request(id, "large", 1, now));
    }
    let (small, _) = dispatcher.add(now, request(99, "small", 1, now));

    let mut granted = Vec::new();
    for request_key in &running[..2] {
        granted.extend(grants(&dispatcher.remove(Millis(10_100), *request_key, bare(EndKind::Done))));
    }

    assert!(granted.iter().any(|(request_key, _)| *request_key == small));
}

#[test]
fn an_aged_request_is_granted_while_more_urgent_ones_wait() {
    let mut dispatcher = dispatcher(4);
    let mut now = Millis(10_000);
    let mut running: Vec<RequestKey> = (0..13).map(|id| dispatcher.add(now, request(id, "c1", 2, now)).0).collect();
    let (aged, _) = dispatcher.add(now, request(100, "c2", 4, now));
    let mut aged_granted = false;

    for id in 200..600 {
        now = now + Millis(500);
        dispatcher.add(now, request(id, "c1", 2, now));
        let request_key = running.remove(0);
        for (granted, _) in grants(&dispatcher.remove(now, request_key, bare(EndKind::Done))) {
            aged_granted = aged_granted || granted == aged;
            running.push(granted);
        }
        if aged_granted || running.is_empty() {
            break;
        }
    }

    assert!(aged_granted);
}

#[test]
fn no_lower_tier_is_granted_while_urgent_requests_are_refused() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let running: Vec<RequestKey> = (0..4).map(|id| dispatcher.add(now, request(id, "c1", 1, now)).0).collect();
    for id in 10..20 {
        dispatcher.add(now, request(id, "c2", 4, Millis(0)));
    }
    let mut refusals = 0;
    for id in 100..200 {
        let (_, actions) = dispatcher.add(now, request(id, "c1", 1, now));
        refusals += u32::from(refused(&actions) == Some(ResultCode::Overloaded));
    }

    let actions = dispatcher.remove(Millis(10_050), running[0], bare(EndKind::Done));

    let lower = dispatcher.stats().waiting[4];
    assert!(refusals > 0);
    assert_eq!(grants(&actions).len(), 1);
    assert_eq!(lower, 10);
}

#[test]
fn an_overdue_urgent_request_preempts_a_lower_tier() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let low_tier: Vec<RequestKey> = (0..3).map(|id| dispatcher.add(now, request(id, "c1", 4, now)).0).collect();
    dispatcher.add(now, request(10, "c1", 1, now));
    let (waiting, _) = dispatcher.add(now, request(11, "c1", 1, now));

    let later = Millis(11_000);
    let actions = dispatcher.tick(later);
    let preempted = actions.iter().find_map(|action| match action {
        DispatchAction::Preempt { request_key } => Some(*request_key),
        _ => None,
    });
    let after_preemption =
        dispatcher.remove(later, preempted.expect("a low-tier request is preempted"), bare(EndKind::Cancelled));

    assert!(low_tier.contains(&preempted.expect("a low-tier request is preempted")));
    assert_eq!(grants(&after_preemption), [(waiting, runner(0).name)]);
}

#[test]
fn a_request_that_ran_before_is_granted_before_new_ones_of_its_tier() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let running: Vec<RequestKey> = (0..3).map(|id| dispatcher.add(now, request(id, "c1", 3, now)).0).collect();
    dispatcher.add(now, request(10, "c2", 3, now));
    let again = Descriptor { admitted: true, ..request(11, "c1", 3, now) };
    let (resumed, _) = dispatcher.add(now, again);

    let actions = dispatcher.remove(Millis(10_500), running[0], bare(EndKind::Done));

    assert_eq!(grants(&actions).first().map(|(request_key, _)| *request_key), Some(resumed));
}

#[test]
fn a_request_that_would_end_after_its_callers_patience_is_refused() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    let running: Vec<RequestKey> = (0..4).map(|id| dispatcher.add(now, request(id, "c1", 1, now)).0).collect();
    let (low_tier, _) = dispatcher.add(now, request(10, "c2", 4, now));

    let late = now + Millis(199_900);
    let actions = dispatcher.remove(late, running[0], bare(EndKind::Done));

    assert_eq!(refused(&actions), Some(ResultCode::PatienceOver));
    assert!(grants(&actions).iter().all(|(request_key, _)| *request_key != low_tier));
}

/// Runs `poison`, which crashes every runner, beside `others` until it is condemned; returns the
/// number of crashes.
fn crash_until_condemned(dispatcher: &mut Dispatcher, poison: u64, others: &[u64]) -> u32 {
    let mut now = Millis(10_000);
    let mut running: Vec<(u64, RequestKey, RunnerName)> = Vec::new();
    let mut waiting: Vec<(u64, RequestKey)> = Vec::new();
    let mut crashes = 0;
    let mut arrivals: Vec<u64> = others.to_vec();
    arrivals.push(poison);
    let mut actions = Vec::new();
    for _ in 0..200 {
        now = now + Millis(100);
        for id in std::mem::take(&mut arrivals) {
            let admitted = crashes > 0;
            let (request_key, more) = dispatcher.add(now, Descriptor { admitted, ..request(id, "c1", 1, now) });
            if refused(&more) == Some(ResultCode::Condemned) {
                assert_eq!(id, poison, "a request that crashes nothing was condemned");
                return crashes;
            }
            waiting.push((id, request_key));
            actions.extend(more);
        }
        for number in 0..2 {
            actions.extend(dispatcher.apply_report(now, &runner(number).name, LoadReport { running: 0, step_us: 0 }));
        }
        actions.extend(dispatcher.tick(now));
        for (request_key, name) in grants(&std::mem::take(&mut actions)) {
            let index = waiting.iter().position(|(_, key)| *key == request_key).expect("a known key");
            let (id, _) = waiting.remove(index);
            running.push((id, request_key, name));
        }
        let Some(index) = running.iter().position(|(id, ..)| *id == poison) else {
            for (_, request_key, _) in std::mem::take(&mut running) {
                actions.extend(dispatcher.remove(now, request_key, bare(EndKind::Done)));
            }
            continue;
        };
        crashes += 1;
        let crashed = running[index].2.clone();
        let (broken, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|(.., name)| *name == crashed);
        running = rest;
        for (id, request_key, _) in broken {
            actions.extend(dispatcher.remove(now, request_key, bare(EndKind::Broken)));
            arrivals.push(id);
        }
    }
    panic!("the request that crashes its runners was never condemned");
}

#[test]
fn only_the_request_that_crashes_its_runners_is_condemned() {
    let mut dispatcher = dispatcher(2);

    let crashes = crash_until_condemned(&mut dispatcher, 666, &[1, 2, 3, 4, 5]);

    assert!(crashes <= 3, "it crashed {crashes} runners");
    assert_eq!(dispatcher.condemned(), [Fingerprint(666)]);
}

#[test]
fn the_requests_of_one_crash_rerun_at_once_on_separate_runners() {
    let mut dispatcher = dispatcher(6);
    let now = Millis(10_000);
    let same_prefix = |id| Descriptor { prefix: Fingerprint(5), ..request(id, "c1", 3, now) };
    let entered: Vec<RequestKey> = (0..4).map(|id| dispatcher.add(now, same_prefix(id)).0).collect();
    for request_key in entered {
        dispatcher.remove(now, request_key, bare(EndKind::Broken));
    }

    let again = |id| Descriptor { admitted: true, ..same_prefix(id) };
    let granted: Vec<RunnerName> =
        (0..4).flat_map(|id| grants(&dispatcher.add(Millis(10_050), again(id)).1)).map(|(_, name)| name).collect();

    let mut distinct = granted.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!((granted.len(), distinct.len()), (4, 4));
}

#[test]
fn content_condemned_by_another_dispatcher_is_refused() {
    let mut dispatcher = dispatcher(1);

    dispatcher.condemn(Fingerprint(7));
    let (_, actions) = dispatcher.add(Millis(10_000), request(7, "c1", 1, Millis(10_000)));

    assert_eq!(refused(&actions), Some(ResultCode::Condemned));
}

#[test]
fn a_straggler_is_ejected_and_readmitted() {
    let mut dispatcher = dispatcher(4);
    let report = |step_us| LoadReport { running: 1, step_us };
    let now = Millis(10_000);
    for number in 0..4 {
        let step_us = if number == 2 { 200_000 } else { 25_000 };
        dispatcher.apply_report(now, &runner(number).name, report(step_us));
    }

    let actions = dispatcher.tick(Millis(10_100));
    let places_ejected = dispatcher.stats().places;
    dispatcher.apply_report(Millis(11_000), &runner(2).name, report(26_000));
    for tick in 1..6 {
        dispatcher.tick(Millis(11_000 + tick * 100));
    }

    assert!(actions.contains(&DispatchAction::Eject { runner: runner(2).name }));
    assert_eq!(places_ejected, PLACES * 3 + 1);
    assert_eq!(dispatcher.stats().places, PLACES * 4);
}

#[test]
fn a_new_dispatcher_counts_the_grants_of_the_old_one() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), Millis(0));
    dispatcher.set_runners(Millis(0), vec![runner(0)]);
    for id in 0..4 {
        let already_running = Descriptor { holding: Some(runner(0).name), ..request(id, "c1", 1, Millis(0)) };
        dispatcher.add(Millis(100), already_running);
    }

    let (_, actions) = dispatcher.add(Millis(200), request(9, "c1", 1, Millis(200)));

    assert_eq!(grants(&actions), []);
    assert_eq!(dispatcher.stats().running, 4);
}

#[test]
fn own_counts_override_lagging_load_reports() {
    let mut dispatcher = dispatcher(2);
    let now = Millis(20_000);
    for id in 0..4 {
        dispatcher.add(now, request(id, "c1", 1, now));
    }

    dispatcher.apply_report(now, &runner(0).name, LoadReport { running: 0, step_us: 0 });
    dispatcher.apply_report(now, &runner(1).name, LoadReport { running: 4, step_us: 0 });
    let granted = (10..14).flat_map(|id| grants(&dispatcher.add(now, request(id, "c1", 1, now)).1)).count();

    assert_eq!(granted, 4);
}

#[test]
fn prefix_affinity_yields_when_the_cached_runner_is_overloaded() {
    let mut dispatcher = dispatcher(4);
    let now = Millis(10_000);
    let same_prefix = |id| Descriptor { prefix: Fingerprint(77), ..request(id, "c1", 3, now) };

    let granted: Vec<RunnerName> =
        (0..8).flat_map(|id| grants(&dispatcher.add(now, same_prefix(id)).1)).map(|(_, name)| name).collect();

    let most = (0..4).map(|number| granted.iter().filter(|name| **name == runner(number).name).count()).max();
    assert_eq!(granted[0], granted[1]);
    assert!(most < Some(8));
}

#[test]
fn a_retry_of_a_refused_request_keeps_its_age() {
    let mut dispatcher = dispatcher(1);
    let now = Millis(10_000);
    for id in 0..4 {
        dispatcher.add(now, request(id, "c1", 1, now));
    }
    let mut refused_id = None;
    for id in 100..300 {
        let (_, actions) = dispatcher.add(now, request(id, "c1", 1, now));
        if refused(&actions).is_some() {
            refused_id = Some(id);
            break;
        }
    }
    let id = refused_id.expect("the queue fills");

    let later = Millis(13_900);
    let (_, actions) = dispatcher.add(later, request(id, "c1", 1, later));

    assert_eq!(refused(&actions), Some(ResultCode::Overloaded));
}
