//! The metrics of the orders for runners.

use std::collections::BTreeMap;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use teaselcroft_parts::{ModelName, ZoneName};
use teaselcroft_policy::RunnerKind;
use teaselcroft_policy::scaling::{ZoneOrder, ZoneRunners};

use super::ScaledService;

/// Labels of a number of runners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RunnerLabels {
    service: String,
    zone: String,
    kind: String,
}

/// The metrics of the orders for runners; empty on daemons that do not hold the duties.
#[derive(Debug, Default)]
pub struct ScalingGauges {
    wanted: Family<RunnerLabels, Gauge>,
    ordered: Family<RunnerLabels, Gauge>,
    present: Family<RunnerLabels, Gauge>,
}

fn labels(service: &ModelName, zone: &ZoneName, kind: RunnerKind) -> RunnerLabels {
    RunnerLabels { service: service.to_string(), zone: zone.to_string(), kind: kind.to_string() }
}

impl ScalingGauges {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("runners_wanted", "Runners that the holder of the duties wants", self.wanted.clone());
        registry.register("runners_ordered", "Runners in the last order that was accepted", self.ordered.clone());
        registry.register("runners_present", "Runners that take requests", self.present.clone());
    }

    /// Shows what is wanted and what is there.
    pub fn show(&self, name: &ModelName, service: &ScaledService, runners: &BTreeMap<ZoneName, ZoneRunners>) {
        for zone in service.rule().zone_prices.keys() {
            let present = runners.get(zone).copied().unwrap_or_default();
            for (kind, count) in
                [(RunnerKind::OnDemand, present.on_demand), (RunnerKind::Preemptible, present.preemptible)]
            {
                let labels = labels(name, zone, kind);
                self.present.get_or_create(&labels).set(count.into());
                self.wanted.get_or_create(&labels).set(service.wanted(zone, kind).into());
            }
        }
    }

    /// Shows an order that was accepted.
    pub fn accepted(&self, name: &ModelName, order: &ZoneOrder) {
        self.ordered.get_or_create(&labels(name, &order.zone, order.kind)).set(order.count.into());
    }

    /// Removes all, when this daemon no longer holds the duties.
    pub fn clear(&self) {
        [&self.wanted, &self.ordered, &self.present].into_iter().for_each(Family::clear);
    }
}
