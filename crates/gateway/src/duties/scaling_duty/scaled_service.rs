//! The decision for one service, with the times of its inputs.

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{Millis, ZoneName};
use teaselcroft_policy::scaling::{OrderResult, ScalingRecord, ScalingSettings, ZoneOrder, ZoneRunners};
use teaselcroft_policy::{RunnerKind, Scaler, ScalingRule};

use crate::demand::ServiceDemand;

/// The decision for one service, with the times of its inputs.
#[derive(Debug)]
pub struct ScaledService {
    scaler: Scaler,
    sampled_at: Millis,
    reclaimed: BTreeSet<ZoneName>,
}

impl ScaledService {
    /// Begins, or goes on from a predecessor's record.
    pub fn new(rule: ScalingRule, record: Option<&ScalingRecord>, now: Millis) -> ScaledService {
        let settings = ScalingSettings::default();
        let scaler = match record {
            Some(record) => Scaler::resume(rule, settings, record),
            None => Scaler::new(rule, settings),
        };
        ScaledService { scaler, sampled_at: now, reclaimed: BTreeSet::new() }
    }

    /// The operators' rule.
    pub fn rule(&self) -> &ScalingRule {
        self.scaler.rule()
    }

    /// Decides by what is known now.
    pub fn step(
        &mut self,
        rule: ScalingRule,
        runners: &BTreeMap<ZoneName, ZoneRunners>,
        demand: Option<ServiceDemand>,
        is_away: bool,
        now: Millis,
    ) -> Vec<ZoneOrder> {
        self.scaler.set_rule(rule);
        self.scaler.observe_runners(runners, now);
        // Counts that arrive after a gap in the reports are those of the whole gap.
        if let Some(demand) = demand.filter(|_| now > self.sampled_at) {
            let since = std::mem::replace(&mut self.sampled_at, now);
            self.scaler.observe_demand(&demand.sample, demand.busy, demand.slots, since, now);
        }
        self.scaler.step(is_away, now)
    }

    /// The zones that lost their preemptible runners since the last call.
    pub fn newly_reclaimed(&mut self, now: Millis) -> Vec<ZoneName> {
        let reclaimed: BTreeSet<ZoneName> = self.scaler.reclaimed(now).cloned().collect();
        let new = reclaimed.difference(&self.reclaimed).cloned().collect();
        self.reclaimed = reclaimed;
        new
    }

    /// Notes what became of an order.
    pub fn apply_result(&mut self, order: &ZoneOrder, result: OrderResult, now: Millis) {
        self.scaler.apply_result(&order.zone, order.kind, order.count, result, now);
    }

    /// The runners wanted of a kind in a zone.
    pub fn wanted(&self, zone: &ZoneName, kind: RunnerKind) -> u32 {
        self.scaler.ordered(zone, kind)
    }

    /// What a successor needs.
    pub fn record(&self) -> ScalingRecord {
        self.scaler.record()
    }
}
