//! Decides how many runners of a service are ordered in each zone, of the on-demand and of the preemptible kind.

mod capacity_estimate;
mod demand_history;
mod demand_sample;
mod kind_order;
mod order_inputs;
mod order_reason;
mod order_result;
mod scaling_record;
mod settings;
mod spread;
mod zone_order;
mod zone_runners;
mod zone_state;

use std::collections::BTreeMap;

use teaselcroft_parts::{Millis, ZoneName};

use crate::{RunnerKind, ScalingRule};
use capacity_estimate::CapacityEstimate;
use demand_history::{DemandHistory, DemandRates};
pub use demand_sample::DemandSample;
pub use order_inputs::OrderInputs;
pub use order_reason::OrderReason;
pub use order_result::OrderResult;
pub use scaling_record::{OrderedCounts, ScalingRecord};
pub use settings::ScalingSettings;
use spread::spread;
pub use zone_order::ZoneOrder;
pub use zone_runners::ZoneRunners;
use zone_state::ZoneState;

/// Decides the orders for one service. It is told the runners and the demand, and stepped with time.
#[derive(Debug)]
pub struct Scaler {
    rule: ScalingRule,
    settings: ScalingSettings,
    zones: BTreeMap<ZoneName, ZoneState>,
    demand: DemandHistory,
    capacity: CapacityEstimate,
    /// The capacity to keep until there is demand data of a whole window, in runners.
    kept: Option<f64>,
    /// The need of runners by the share of slots in use.
    busy: f64,
    /// Whether it goes on from a predecessor's record.
    is_resumed: bool,
    /// Since when the demand and the runners are known; downs wait until this is old enough.
    known_since: Option<Millis>,
    /// When the runners were last at their capacity.
    full_at: Option<Millis>,
    /// When preemptible runners were last ordered up or down.
    shed_at: Millis,
    /// When a zone last lost its preemptible runners.
    reclaimed_at: Option<Millis>,
    inputs: OrderInputs,
}

/// The on-demand runners with which the most urgent work is served even if two zones lose their preemptible ones.
fn urgent_base(urgent: Option<f64>, target: f64, zones: f64, settings: &ScalingSettings) -> f64 {
    // Of preemptible runners for the target without one zone, this share of the rest is left without another one.
    let left = (zones - 2.0).max(0.0) / (zones - 1.0);
    let needed = urgent.unwrap_or(0.0) * settings.headroom;
    (needed - target * left).max(0.0) / (1.0 - left)
}

impl Scaler {
    /// A decision without knowledge of earlier orders: the runners that are there count as ordered.
    pub fn new(rule: ScalingRule, settings: ScalingSettings) -> Scaler {
        Scaler::resume(rule, settings, &ScalingRecord::default())
    }

    /// Goes on from a predecessor's record. Its orders are repeated, since it may have died before it sent them.
    pub fn resume(rule: ScalingRule, settings: ScalingSettings, record: &ScalingRecord) -> Scaler {
        let zones = record.orders.iter().map(|(zone, counts)| (zone.clone(), ZoneState::ordered(*counts))).collect();
        Scaler {
            capacity: CapacityEstimate::new(record.capacity, &settings),
            kept: Some(record.target).filter(|target| target.is_finite() && *target > 0.0),
            rule,
            settings,
            zones,
            demand: DemandHistory::default(),
            busy: 0.0,
            is_resumed: !record.orders.is_empty(),
            known_since: None,
            full_at: None,
            shed_at: Millis(0),
            reclaimed_at: None,
            inputs: OrderInputs::default(),
        }
    }

    /// Replaces the operators' rule.
    pub fn set_rule(&mut self, rule: ScalingRule) {
        self.rule = rule;
    }

    /// The operators' rule.
    pub fn rule(&self) -> &ScalingRule {
        &self.rule
    }

    /// The figures of the last step.
    pub fn inputs(&self) -> OrderInputs {
        self.inputs
    }

    /// What a successor needs.
    pub fn record(&self) -> ScalingRecord {
        let counts = |state: &ZoneState| OrderedCounts {
            on_demand: state.on_demand.count,
            preemptible: state.preemptible.count,
        };
        ScalingRecord {
            orders: self.zones.iter().map(|(zone, state)| (zone.clone(), counts(state))).collect(),
            target: self.inputs.target,
            capacity: Some(self.capacity.work()),
        }
    }

    /// The number ordered of a kind in a zone.
    pub fn ordered(&self, zone: &ZoneName, kind: RunnerKind) -> u32 {
        self.zones.get(zone).map_or(0, |state| state.kind(kind).count)
    }

    /// Notes all runners of the service, by zone. Zones without a price are left out.
    pub fn observe_runners(&mut self, runners: &BTreeMap<ZoneName, ZoneRunners>, now: Millis) {
        let is_counting = self.is_counting(now);
        for zone in self.rule.zone_prices.keys() {
            let present = runners.get(zone).copied().unwrap_or_default();
            let state = self.zones.entry(zone.clone()).or_insert_with(|| ZoneState::present(present));
            if is_counting {
                state.adopt(present);
            }
            if state.observe(present, &self.settings, now) {
                self.reclaimed_at = Some(now);
            }
        }
        let prices = &self.rule.zone_prices;
        self.zones.retain(|zone, _| prices.contains_key(zone));
        if is_counting {
            self.kept = Some(self.kept.unwrap_or(0.0).max(f64::from(self.ready())));
        }
        self.known_since.get_or_insert(now);
    }

    /// Notes what callers asked for from `start` to `end`, and how many requests of how many slots the runners had.
    pub fn observe_demand(&mut self, sample: &DemandSample, busy: u32, slots: u32, start: Millis, end: Millis) {
        self.demand.add(sample, start, end, &self.settings);
        let ready = f64::from(self.ready());
        let busy_share = if slots > 0 { f64::from(busy) / f64::from(slots) } else { 0.0 };
        self.busy = ready * busy_share / self.settings.busy_share;
        let seconds = end.since(start).0 as f64 / 1_000.0;
        let asked = sample.prompt_tokens + sample.output_tokens * self.settings.output_weight;
        if ready == 0.0 || seconds <= 0.0 || asked <= 0.0 {
            return;
        }
        let tokens = (sample.prompt_tokens + sample.output_tokens).max(1.0);
        let refused = (sample.refused_tokens / tokens).clamp(0.0, 1.0);
        let is_full = refused > self.settings.refused_share || busy_share > 1.0;
        let rates = self.demand.rates(self.settings.min_knowledge, end).unwrap_or_default();
        if is_full {
            self.full_at = Some(end);
        }
        // A burst shows in the latest sample at once, and in the rate only later.
        let done = if is_full { asked / seconds * (1.0 - refused) } else { rates.latest };
        self.capacity.learn(done / ready, busy_share / self.settings.busy_share, is_full, &self.settings);
    }

    /// Notes the result of an order that `step` returned.
    pub fn apply_result(&mut self, zone: &ZoneName, kind: RunnerKind, count: u32, result: OrderResult, now: Millis) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.kind_mut(kind).apply(count, result, &self.settings, now);
        }
    }

    /// Decides what to order now. `is_away` says that the store or the API is unavailable: then nothing is ordered down.
    pub fn step(&mut self, is_away: bool, now: Millis) -> Vec<ZoneOrder> {
        if self.zones.is_empty() || self.is_counting(now) {
            return Vec::new();
        }
        let rates = self.demand.rates(self.settings.min_knowledge, now);
        self.compute_inputs(rates, now);
        let mut reasons = BTreeMap::new();
        self.repeat_ignored(&mut reasons, now);
        self.raise_base(&mut reasons, now);
        if self.uses_preemptible() {
            self.raise_preemptible(&mut reasons, now);
            self.fill_shortage(rates, &mut reasons, now);
        }
        self.raise_minimum(&mut reasons, now);
        let is_known = self.known_since.is_some_and(|since| now.since(since) >= self.settings.min_knowledge);
        if is_known && !is_away {
            self.lower_to_max(&mut reasons, now);
            self.lower_on_demand(&mut reasons, now);
            self.shed_preemptible(&mut reasons, now);
        }
        self.take_due(&reasons, now)
    }

    /// Whether the runners that are there are still being counted. At a start without a record they may register one after
    /// another.
    fn is_counting(&self, now: Millis) -> bool {
        let is_known = self.known_since.is_some_and(|since| now.since(since) >= self.settings.min_knowledge);
        !self.is_resumed && !is_known
    }

    /// The zones that lost their preemptible runners lately.
    pub fn reclaimed(&self, now: Millis) -> impl Iterator<Item = &ZoneName> {
        self.zones.iter().filter(move |(_, state)| state.is_reclaimed(now)).map(|(zone, _)| zone)
    }

    /// Whether preemptible runners are worth their price although one zone may lose all of them.
    fn uses_preemptible(&self) -> bool {
        let zones = self.zones.len() as f64;
        let price = self.rule.preemptible_price.filter(|_| zones > 1.0);
        price.is_some_and(|price| price * zones / (zones - 1.0) < 1.0)
    }

    fn ready(&self) -> u32 {
        self.zones.values().map(ZoneState::ready).sum()
    }

    fn on_demand(&self) -> u32 {
        self.zones.values().map(|state| state.on_demand.count).sum()
    }

    fn boot(&self) -> Millis {
        self.rule.boot + self.settings.boot_slack
    }

    fn compute_inputs(&mut self, rates: Option<DemandRates>, now: Millis) {
        let settings = &self.settings;
        let in_runners = |work: f64| work / self.capacity.work();
        let mean = rates.map(|rates| in_runners(rates.mean));
        let peak = rates.map(|rates| in_runners(rates.peak).max(self.busy));
        let urgent = rates.map(|rates| in_runners(rates.urgent));
        let needed = mean.map_or(0.0, |mean| mean * settings.burst).max(peak.unwrap_or(0.0) * settings.headroom);
        let is_full = self.full_at.is_some_and(|at| now.since(at) < settings.window);
        let is_complete = rates.is_some() && self.demand.is_complete(settings.window, now);
        // Without recent data the last target stays, whatever it came from.
        let kept = match (rates, is_complete) {
            (_, true) => 0.0,
            (Some(_), false) => self.kept.unwrap_or(0.0),
            (None, _) => self.kept.unwrap_or(0.0).max(self.inputs.target),
        };
        // Operators sized what is there at the start; before the runners' capacity is learned, only runners at their
        // capacity justify more at the full price.
        let needed = if self.uses_preemptible() || is_complete || is_full { needed } else { 0.0 };
        let zones = self.zones.len() as f64;
        let most = zones * f64::from(self.rule.max);
        let target = needed.max(kept).max(zones * f64::from(self.rule.min)).min(most);
        let (base, preemptible) = if self.uses_preemptible() {
            let carried = if is_complete { mean.unwrap_or(0.0) } else { target / settings.burst };
            let base = (carried * settings.base_share).max(urgent_base(urgent, target, zones, settings)).min(target);
            (base, (target - base) * zones / (zones - 1.0))
        } else {
            (target, 0.0)
        };
        let ready = self.ready();
        self.inputs =
            OrderInputs { mean, peak, urgent, capacity: self.capacity.work(), target, base, preemptible, ready };
    }

    /// Repeats orders that had no effect, and at once those whose runners are being reclaimed.
    fn repeat_ignored(&mut self, reasons: &mut Reasons, now: Millis) {
        let boot = self.boot();
        for (zone, state) in &mut self.zones {
            if state.is_reclaimed(now) {
                state.preemptible.repeat(now);
            }
            for kind in [RunnerKind::OnDemand, RunnerKind::Preemptible] {
                if state.kind_mut(kind).repeat_if_ignored(boot, now) {
                    reasons.insert((zone.clone(), kind), OrderReason::Repeat);
                }
            }
        }
    }

    /// Raises the on-demand runners to the base, evenly over the zones.
    fn raise_base(&mut self, reasons: &mut Reasons, now: Millis) {
        if f64::from(self.on_demand()) >= self.inputs.base.floor() {
            return;
        }
        // Where all runners are on-demand ones the margin is kept for orders down only, since it costs the full price.
        let margin = if self.uses_preemptible() { self.settings.raise_margin } else { 0.0 };
        let wanted = (self.inputs.base * (1.0 + margin)).ceil() as u32;
        self.raise(RunnerKind::OnDemand, wanted, OrderReason::Need, reasons, now);
    }

    /// Raises the preemptible runners to their share, evenly over the zones that have them.
    fn raise_preemptible(&mut self, reasons: &mut Reasons, now: Millis) {
        let expected = |state: &ZoneState| if state.is_reclaimed(now) { 0 } else { state.preemptible.count };
        let ordered: u32 = self.zones.values().map(expected).sum();
        let is_reclaimed = self.zones.values().any(|state| state.is_reclaimed(now));
        if f64::from(ordered) >= self.inputs.preemptible.floor() && !self.is_uneven(now) {
            return;
        }
        let reason = match (is_reclaimed, self.demand.is_complete(self.settings.window, now)) {
            (true, _) => OrderReason::Reclaimed,
            (false, true) => OrderReason::Need,
            (false, false) => OrderReason::Replace,
        };
        let wanted = (self.inputs.preemptible * (1.0 + self.settings.raise_margin)).ceil() as u32;
        self.raise(RunnerKind::Preemptible, wanted, reason, reasons, now);
        self.shed_at = now;
    }

    /// Whether an available zone has much less than its even share of preemptible runners.
    fn is_uneven(&self, now: Millis) -> bool {
        let share = self.inputs.preemptible / self.zones.len() as f64;
        let has_few =
            |state: &ZoneState| f64::from(state.preemptible.count) < share * (1.0 - self.settings.raise_margin);
        let room = |state: &ZoneState| state.room(RunnerKind::Preemptible, self.rule.max);
        self.zones.values().any(|state| state.takes(RunnerKind::Preemptible, now) && has_few(state) && room(state) > 0)
    }

    /// Raises a kind to `wanted` runners in all, as evenly as the zones that have them and `max` allow.
    fn raise(&mut self, kind: RunnerKind, wanted: u32, reason: OrderReason, reasons: &mut Reasons, now: Millis) {
        let max = self.rule.max;
        let is_open = |state: &ZoneState| state.takes(kind, now);
        let limits: Vec<u32> = self
            .by_price()
            .iter()
            .map(|zone| &self.zones[zone])
            .map(|state| if is_open(state) { state.kind(kind).count + state.room(kind, max) } else { 0 })
            .collect();
        let is_partial = |state: &ZoneState| !is_open(state) && !state.is_reclaimed(now);
        let elsewhere: u32 =
            self.zones.values().filter(|state| is_partial(state)).map(|state| state.kind(kind).ready()).sum();
        let shares = spread(wanted.saturating_sub(elsewhere), &limits);
        for (zone, share) in self.by_price().into_iter().zip(shares) {
            let order = self.zones.get_mut(&zone).map(|state| state.kind_mut(kind));
            if let Some(order) = order.filter(|order| share > order.count) {
                order.set(share, now);
                reasons.insert((zone, kind), reason);
            }
        }
    }

    /// Orders on-demand runners where the preemptible ones that are there or come are too few for the present demand.
    fn fill_shortage(&mut self, rates: Option<DemandRates>, reasons: &mut Reasons, now: Millis) {
        let (boot, capacity) = (self.boot(), self.capacity.work());
        let Some(rates) = rates else {
            return;
        };
        let needed = (rates.latest / capacity).max(self.busy) * self.settings.headroom;
        let coming = |state: &ZoneState| state.on_demand.booting(boot, now) + state.preemptible_coming(boot, now);
        let expected = self.ready() + self.zones.values().map(coming).sum::<u32>();
        let missing = (needed.min(self.inputs.target).ceil() as u32).saturating_sub(expected);
        if missing == 0 {
            return;
        }
        let wanted = self.on_demand() + missing;
        self.raise(RunnerKind::OnDemand, wanted, OrderReason::Shortage, reasons, now);
    }

    /// Raises each zone to the operators' minimum, by the kind that is to be had.
    fn raise_minimum(&mut self, reasons: &mut Reasons, now: Millis) {
        let (min, uses_preemptible) = (self.rule.min.min(self.rule.max), self.uses_preemptible());
        for (zone, state) in &mut self.zones {
            let missing = min.saturating_sub(state.on_demand.count + state.preemptible.count);
            if missing == 0 {
                continue;
            }
            let is_cheap = uses_preemptible && state.takes(RunnerKind::Preemptible, now);
            let kind = if is_cheap { RunnerKind::Preemptible } else { RunnerKind::OnDemand };
            let count = state.kind(kind).count + missing.min(state.room(kind, self.rule.max));
            if count > state.kind(kind).count {
                state.kind_mut(kind).set(count, now);
                reasons.insert((zone.clone(), kind), OrderReason::Minimum);
            }
        }
    }

    /// Orders on-demand runners down for which others have taken over, or that are surplus; the dearest zone first.
    fn lower_on_demand(&mut self, reasons: &mut Reasons, now: Millis) {
        let settings = &self.settings;
        let is_recent = |at: Millis| now.since(at) < settings.reclaim;
        if self.reclaimed_at.is_some_and(is_recent) || f64::from(self.on_demand()) <= self.base_limit() {
            return;
        }
        let settled = |state: &ZoneState| {
            state.on_demand.settled(settings.settle, now).min(state.on_demand.count)
                + state.preemptible.settled(settings.settle, now)
        };
        let mut serving: u32 = self.zones.values().map(settled).sum();
        let base = self.inputs.base.ceil() as u32;
        let share = base.div_ceil(self.zones.len() as u32);
        let reason = if self.uses_preemptible() { OrderReason::Replaced } else { OrderReason::Surplus };
        let interval = if self.uses_preemptible() { settings.down_interval } else { settings.shed_interval };
        for zone in self.by_price().into_iter().rev() {
            let spare = self.on_demand().saturating_sub(base).min(serving.saturating_sub(self.needed_serving()));
            let is_replaced = reason == OrderReason::Replaced;
            let down_share = if is_replaced { self.settings.replace_share } else { self.settings.down_share };
            let settle = self.settings.settle;
            let Some(state) = self.zones.get_mut(&zone) else {
                continue;
            };
            let order = &state.on_demand;
            if order.lowered_at.is_some_and(|at| now.since(at) < interval) || order.ready() < order.count {
                continue;
            }
            let present = order.count + state.preemptible.count;
            let step = ((f64::from(present) * down_share) as u32).max(1);
            let floor =
                self.rule.min.saturating_sub(state.preemptible.settled(settle, now).min(state.preemptible.count));
            let lowest = share.max(floor);
            let step = step.min(spare).min(order.count.saturating_sub(lowest));
            if step > 0 {
                state.on_demand.set(order.count - step, now);
                reasons.insert((zone, RunnerKind::OnDemand), reason);
                serving -= step;
            }
        }
    }

    /// Lowers zones that have more runners than the operators allow, after they changed the rule.
    fn lower_to_max(&mut self, reasons: &mut Reasons, now: Millis) {
        let (max, settings) = (self.rule.max, &self.settings);
        for (zone, state) in &mut self.zones {
            let total = state.on_demand.count + state.preemptible.count;
            let is_larger = state.on_demand.count >= state.preemptible.count;
            let kind = if is_larger { RunnerKind::OnDemand } else { RunnerKind::Preemptible };
            let order = state.kind_mut(kind);
            if total <= max || order.lowered_at.is_some_and(|at| now.since(at) < settings.down_interval) {
                continue;
            }
            let step = ((f64::from(total) * settings.down_share) as u32).max(1).min(total - max).min(order.count);
            order.set(order.count - step, now);
            reasons.insert((zone.clone(), kind), OrderReason::Surplus);
        }
    }

    /// The runners that must serve after an on-demand one was ordered down.
    fn needed_serving(&self) -> u32 {
        self.inputs.target.ceil() as u32
    }

    /// On-demand runners are ordered down only above this, so that small changes of demand order nothing.
    fn base_limit(&self) -> f64 {
        let margins = if self.uses_preemptible() { 2.0 } else { 1.0 };
        (self.inputs.base * (1.0 + margins * self.settings.raise_margin)).ceil()
    }

    /// Orders preemptible runners down where there are far more than needed; the zone with most first.
    fn shed_preemptible(&mut self, reasons: &mut Reasons, now: Millis) {
        let settings = &self.settings;
        let is_recent = |at: Millis| now.since(at) < settings.reclaim + settings.reclaim;
        if now.since(self.shed_at) < settings.shed_interval || self.reclaimed_at.is_some_and(is_recent) {
            return;
        }
        let ordered: u32 = self.zones.values().map(|state| state.preemptible.count).sum();
        let limit = (self.inputs.preemptible * settings.shed_above).ceil() as u32;
        let spare = ordered.saturating_sub(limit);
        let spare = spare.min(self.ready().saturating_sub(self.needed_serving()));
        let most = self.zones.iter().max_by_key(|(_, state)| state.preemptible.count);
        let Some((zone, state)) = most.map(|(zone, state)| (zone.clone(), state)) else {
            return;
        };
        let count = state.preemptible.count;
        let floor = self.rule.min.saturating_sub(state.on_demand.count);
        let step = ((f64::from(count) * settings.down_share) as u32).max(1).min(spare).min(count.saturating_sub(floor));
        if step == 0 || state.preemptible.ready() < count {
            return;
        }
        if let Some(state) = self.zones.get_mut(&zone) {
            state.preemptible.set(count - step, now);
            reasons.insert((zone, RunnerKind::Preemptible), OrderReason::Surplus);
            self.shed_at = now;
        }
    }

    /// The zones, cheapest first.
    fn by_price(&self) -> Vec<ZoneName> {
        let price = |zone: &ZoneName| self.rule.zone_prices.get(zone).copied().unwrap_or(f64::MAX);
        let mut zones: Vec<ZoneName> = self.zones.keys().cloned().collect();
        zones.sort_by(|left, right| price(left).total_cmp(&price(right)));
        zones
    }

    fn take_due(&mut self, reasons: &Reasons, now: Millis) -> Vec<ZoneOrder> {
        let mut orders = Vec::new();
        let inputs = self.inputs;
        // Raised counts go out first: callers wait for them.
        for kind in [RunnerKind::Preemptible, RunnerKind::OnDemand] {
            for (zone, state) in &mut self.zones {
                if !state.kind_mut(kind).take_due(now) {
                    continue;
                }
                let reason = reasons.get(&(zone.clone(), kind)).copied().unwrap_or(OrderReason::Repeat);
                let count = state.kind(kind).count;
                orders.push(ZoneOrder { zone: zone.clone(), kind, count, reason, inputs });
            }
        }
        orders
    }
}

type Reasons = BTreeMap<(ZoneName, RunnerKind), OrderReason>;
