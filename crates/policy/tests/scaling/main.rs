//! Orders for runners: callers' attainment and the price, against a fleet that stays as it is and a plain rule.

#![allow(clippy::unwrap_used)]

mod limits;
mod model;
mod provider;

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use model::{Control, Model, rule, scaler, zone};
use teaselcroft_parts::Millis;
use teaselcroft_policy::scaling::{OrderResult, Scaler, ScalingRecord, ScalingSettings, ZoneOrder, ZoneRunners};
use teaselcroft_policy::{RunnerKind, ScalingRule};

/// The price of preemptible runners.
const CHEAP: Option<f64> = Some(0.18);

/// 45% of what the runners at the start can do, with a wave of another phase in each of three zones.
fn waves(seconds: f64) -> f64 {
    (0..3).map(|index| 21.0 * (1.0 + 0.27 * ((seconds / 11.0 + f64::from(index) * 0.2) * TAU).sin())).sum()
}

/// The same demand with one phase in all zones.
fn single_wave(seconds: f64) -> f64 {
    63.0 * (1.0 + 0.27 * (seconds / 11.0 * TAU).sin())
}

fn burst(seconds: f64) -> f64 {
    2.6 * waves(seconds)
}

/// Runs the scenario with the decision, with all runners always on and with the plain rule, and prints the figures.
fn compare(name: &str, control: Control, scenario: impl Fn(&mut Model)) -> [Model; 3] {
    [("decision", control), ("always on", Control::AlwaysOn), ("plain rule", Control::Utilisation)].map(
        |(label, control)| {
            let mut model = Model::new(control);
            scenario(&mut model);
            let (outcome, seconds) = (&model.outcome, model.now as f64 / 1_000.0);
            println!("{name}: {label}: {:.4} at {:.1} a second", outcome.attainment(), outcome.cost / seconds);
            model
        },
    )
}

fn double_burst(model: &mut Model) {
    model.run(120_000, waves);
    model.run(127_000, burst);
    model.run(140_000, waves);
    model.run(149_000, burst);
    model.run(240_000, waves);
}

#[test]
fn a_double_burst_is_served_for_less() {
    let [decision, always_on, plain] = compare("double burst", scaler(CHEAP), double_burst);

    assert!(decision.outcome.attainment() > 0.999, "{}", decision.outcome.attainment());
    assert!(decision.outcome.attainment() > always_on.outcome.attainment().max(plain.outcome.attainment()));
    assert!(decision.outcome.cost < 0.7 * always_on.outcome.cost.min(plain.outcome.cost));
}

#[test]
fn on_demand_runners_alone_lose_a_third_of_what_a_plain_rule_loses_in_a_double_burst() {
    let [decision, always_on, plain] = compare("double burst, on-demand", scaler(None), double_burst);

    let lost = |model: &Model| 1.0 - model.outcome.attainment();
    assert!(lost(&decision) < lost(&always_on).min(lost(&plain)) / 3.0);
    assert!(decision.outcome.cost < 1.05 * plain.outcome.cost);
    assert!(decision.outcome.orders.iter().all(|(_, order)| order.kind == RunnerKind::OnDemand));
}

#[test]
fn on_demand_runners_alone_serve_waves_for_less_than_a_plain_rule() {
    let [decision, _, plain] = compare("waves, on-demand", scaler(None), |model| model.run(400_000, single_wave));

    assert!(decision.outcome.attainment() > 0.9999);
    assert!(decision.outcome.cost < plain.outcome.cost);
}

#[test]
fn waves_of_different_phases_are_served_for_less_with_few_orders() {
    let [decision, always_on, plain] = compare("waves", scaler(CHEAP), |model| model.run(400_000, waves));

    assert!(decision.outcome.attainment() > 0.9999);
    assert!(decision.outcome.cost < 0.7 * always_on.outcome.cost.min(plain.outcome.cost));
    assert!(decision.changes_since(200_000).is_empty(), "{:?}", decision.changes_since(200_000));
}

#[test]
fn a_reclaim_within_a_burst_is_replaced_at_once_and_returns_without_flapping() {
    let reclaims = |model: &mut Model| {
        model.run(120_000, waves);
        model.run(121_000, burst);
        model.zones.get_mut(&zone("b")).unwrap().reclaim(11_000, model.now);
        model.run(129_000, burst);
        model.run(132_000, waves);
        model.zones.get_mut(&zone("a")).unwrap().reclaim(9_000, model.now);
        model.run(300_000, waves);
    };

    let [decision, always_on, plain] = compare("reclaims", scaler(CHEAP), reclaims);

    assert!(decision.outcome.attainment() > 0.998, "{}", decision.outcome.attainment());
    assert!(decision.outcome.attainment() > always_on.outcome.attainment().max(plain.outcome.attainment()));
    assert!(decision.outcome.cost < 0.7 * always_on.outcome.cost.min(plain.outcome.cost));
    let runners = decision.runners();
    assert!(runners.values().all(|zone| zone.preemptible >= 50), "{runners:?}");
    let late: Vec<_> = decision.changes_since(200_000);
    assert!(late.len() <= 3, "{late:?}");
}

#[test]
fn overlapping_reclaims_of_two_zones_within_a_burst_leave_most_callers_served() {
    let reclaims = |model: &mut Model| {
        model.run(120_000, waves);
        model.run(121_000, burst);
        model.zones.get_mut(&zone("b")).unwrap().reclaim(11_000, model.now);
        model.run(124_000, burst);
        model.zones.get_mut(&zone("a")).unwrap().reclaim(11_000, model.now);
        model.run(129_000, burst);
        model.run(240_000, waves);
    };

    let [decision, always_on, plain] = compare("overlapping reclaims", scaler(CHEAP), reclaims);

    assert!(decision.outcome.attainment() > 0.97, "{}", decision.outcome.attainment());
    assert!(decision.outcome.cost < 0.7 * always_on.outcome.cost.min(plain.outcome.cost));
}

#[test]
fn replacements_are_ordered_in_the_other_zones_with_the_first_step_after_a_reclaim() {
    let mut model = Model::sized(scaler(CHEAP), [20, 20, 20]);
    model.run(60_000, |_| 0.0);
    model.zones.get_mut(&zone("b")).unwrap().reclaim(11_000, model.now);

    model.run(60_500, |_| 0.0);

    let orders = model.changes_since(60_000);
    let zones: Vec<&str> = orders.iter().map(|(_, order)| order.zone.as_str()).collect();
    assert_eq!(zones, ["a", "c"], "{orders:?}");
    assert!(orders.iter().all(|(_, order)| order.kind == RunnerKind::Preemptible));
}

#[test]
fn a_cheap_zone_without_preemptible_runners_is_made_up_for_elsewhere() {
    let scenario = |model: &mut Model| {
        model.zones.get_mut(&zone("b")).unwrap().withhold(600_000);
        model.run(120_000, waves);
        model.run(128_000, burst);
        model.run(300_000, waves);
    };

    let [decision, always_on, plain] = compare("none in the cheap zone", scaler(CHEAP), scenario);

    assert!(decision.outcome.attainment() > 0.998, "{}", decision.outcome.attainment());
    assert!(decision.outcome.attainment() > always_on.outcome.attainment().max(plain.outcome.attainment()));
    assert!(decision.outcome.cost < 0.7 * always_on.outcome.cost.min(plain.outcome.cost));
    let orders = decision.outcome.orders.iter();
    let tries: Vec<u64> = orders
        .filter(|(_, order)| order.zone == zone("b") && order.kind == RunnerKind::Preemptible)
        .map(|(at, _)| *at)
        .collect();
    assert!(tries.windows(2).all(|pair| pair[1] - pair[0] >= 5_000), "{tries:?}");
}

#[test]
fn the_orders_of_a_holder_that_died_before_it_sent_them_are_sent_by_its_successor() {
    let mut model = Model::new(scaler(CHEAP));
    model.sends = false;
    model.run(5_000, waves);
    let Control::Scaler(first) = &model.control else { unreachable!() };
    let record = first.record();
    assert!(model.runners().values().all(|zone| zone.preemptible == 0));

    model.control = Control::Scaler(Box::new(Scaler::resume(rule(CHEAP), ScalingSettings::default(), &record)));
    model.sends = true;
    model.outcome.orders.clear();
    model.run(5_500, waves);

    let sent = |order: &ZoneOrder| order.count == record.orders[&order.zone].preemptible;
    let orders = model.outcome.orders.iter().filter(|(_, order)| order.kind == RunnerKind::Preemptible);
    assert_eq!(orders.filter(|(_, order)| sent(order)).count(), 3, "{:?}", model.outcome.orders);
    model.run(200_000, waves);
    assert!(model.outcome.attainment() > 0.9999);
    assert!(
        model.runners().values().all(|zone| zone.on_demand <= 16 && zone.preemptible >= 50),
        "{:?}",
        model.runners()
    );
}

#[test]
fn a_successor_without_the_last_orders_keeps_the_runners_that_they_brought() {
    let mut model = Model::new(scaler(CHEAP));
    model.run(200_000, waves);
    let Control::Scaler(first) = &model.control else { unreachable!() };
    let record = ScalingRecord { orders: BTreeMap::new(), ..first.record() };
    let count = |model: &Model| model.runners().values().map(|zone| zone.on_demand + zone.preemptible).sum::<u32>();
    let before = count(&model);

    model.control = Control::Scaler(Box::new(Scaler::resume(rule(CHEAP), ScalingSettings::default(), &record)));
    model.run(215_000, waves);

    assert!(count(&model) >= before, "{} of {before}", count(&model));
    model.run(400_000, waves);
    assert!(model.outcome.attainment() > 0.9999);
}

#[test]
fn orders_stay_still_in_an_hour_of_noise() {
    let mut model = Model::new(scaler(CHEAP));
    let mut noise = fastrand::Rng::with_seed(7);
    let values: Vec<f64> = (0..36_000).map(|_| 0.7 + 0.6 * noise.f64()).collect();

    model.run(3_600_000, |seconds| waves(seconds) * values[(seconds * 10.0) as usize % values.len()]);

    assert!(model.outcome.attainment() > 0.9999);
    let changes = model.changes_since(240_000);
    assert!(changes.len() <= 6, "{} {:?}", changes.len(), changes.first());
}

#[test]
fn without_demand_data_the_capacity_is_kept_and_moved_to_preemptible_runners() {
    let (mut model, mut always_on) = (Model::new(scaler(CHEAP)), Model::new(Control::AlwaysOn));
    always_on.run(120_000, |_| 0.0);

    while model.now < 120_000 {
        model.run(model.now + 500, |_| 0.0);
        assert!(model.ready() >= 140, "{} at {}", model.ready(), model.now);
    }

    assert!(model.outcome.cost < 0.75 * always_on.outcome.cost);
    let runners = model.runners();
    let preemptible: Vec<u32> = runners.values().map(|zone| zone.preemptible).collect();
    let most = preemptible.iter().max().unwrap();
    assert!(preemptible.iter().all(|count| count + 1 >= *most && *count >= 47), "{runners:?}");
    // The capacity of the start is there without the preemptible runners of any one zone, too.
    assert!(runners.values().map(|zone| zone.on_demand + zone.preemptible).sum::<u32>() - most >= 140);
}

#[test]
fn runners_whose_entries_state_no_kind_are_told_apart_by_the_orders() {
    let mut model = Model::new(scaler(CHEAP));
    model.states_kinds = false;

    model.run(200_000, waves);

    assert!(model.outcome.attainment() > 0.9999);
    let runners = model.runners();
    assert!(runners.values().all(|zone| zone.on_demand <= 16 && zone.preemptible >= 50), "{runners:?}");
}

#[test]
fn nothing_is_ordered_down_while_the_store_or_the_api_is_away() {
    let mut model = Model::new(scaler(CHEAP));
    model.is_away = true;

    model.run(60_000, waves);

    let runners = model.runners();
    assert!(runners.values().all(|zone| zone.on_demand >= 46 && zone.preemptible >= 47), "{runners:?}");
    model.is_away = false;
    model.run(120_000, waves);
    assert!(model.runners().values().all(|zone| zone.on_demand < 46));
}

/// Guards against a first count of few runners, after which the others would count as surplus.
#[test]
fn runners_that_register_one_after_another_at_the_start_are_all_kept() {
    let mut scaler = Scaler::new(rule(None), ScalingSettings::default());
    let runners = |on_demand| [(zone("a"), ZoneRunners { on_demand, ..ZoneRunners::default() })].into();

    for at in 0..20_u32 {
        scaler.observe_runners(&runners(10 + at.min(5) * 5), Millis(u64::from(at) * 500));
        scaler.step(false, Millis(u64::from(at) * 500));
    }

    assert_eq!(scaler.ordered(&zone("a"), RunnerKind::OnDemand), 35);
}

/// Guards against zones that stay above a maximum that the operators lowered, and against a drop by more than a tenth.
#[test]
fn a_lower_maximum_is_reached_in_steps_of_a_tenth() {
    let mut model = Model::new(scaler(None));
    model.run(10_000, |_| 0.0);
    let Control::Scaler(scaler) = &mut model.control else { unreachable!() };
    scaler.set_rule(ScalingRule { max: 30, ..rule(None) });

    model.run(60_000, |_| 0.0);

    let counts: Vec<u32> = model.changes_since(10_000).iter().map(|(_, order)| order.count).collect();
    assert_eq!(counts.iter().max(), Some(&43), "{counts:?}");
    assert!(model.runners().values().all(|zone| zone.on_demand == 30), "{:?}", model.runners());
}

/// Guards against an order down that is sent long after it was decided.
#[test]
fn an_order_down_that_could_not_be_stored_is_dropped() {
    let mut model = Model::new(scaler(CHEAP));
    model.run(9_500, waves);
    let Control::Scaler(scaler) = &mut model.control else { unreachable!() };
    let counts = |scaler: &Scaler| ["a", "b", "c"].map(|name| scaler.ordered(&zone(name), RunnerKind::OnDemand));
    let mut now = Millis(model.now);
    let before = counts(scaler);
    let orders = loop {
        now = now + Millis(500);
        let runners = model.zones.iter().map(|(name, zone)| (name.clone(), zone.runners(now.0))).collect();
        scaler.observe_runners(&runners, now);
        let orders = scaler.step(false, now);
        if counts(scaler) != before {
            break orders;
        }
    };

    for order in &orders {
        scaler.apply_result(&order.zone, order.kind, order.count, OrderResult::NotSent, now);
    }

    assert_eq!(counts(scaler), before);
    assert!(scaler.step(true, now + Millis(500)).is_empty());
}

#[test]
fn a_successor_orders_nothing_down_in_its_first_three_seconds() {
    let mut model = Model::new(scaler(CHEAP));
    model.run(20_000, waves);
    let Control::Scaler(first) = &model.control else { unreachable!() };
    let successor = Scaler::resume(rule(CHEAP), ScalingSettings::default(), &first.record());
    let before: u32 = model.runners().values().map(|zone| zone.on_demand).sum();
    model.control = Control::Scaler(Box::new(successor));
    model.outcome.orders.clear();

    model.run(23_000, waves);

    let Control::Scaler(second) = &model.control else { unreachable!() };
    let ordered: u32 = ["a", "b", "c"].iter().map(|name| second.ordered(&zone(name), RunnerKind::OnDemand)).sum();
    assert_eq!(ordered, before);
    assert_eq!(second.rule().boot, Millis(4_000));
}
