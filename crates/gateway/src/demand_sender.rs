//! Sends what callers asked for to the holder of the duties.

use std::sync::Arc;

use async_io::Timer;
use teaselcroft_parts::{Millis, ModelName};

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::{Content, DemandReport, ServiceLoad, send};

/// The time between reports: several in the 2 s over which the holder averages the demand.
const REPORT_INTERVAL: Millis = Millis(250);

/// Sends this daemon's counts to the holder of the duties and the next candidate while they change. The placement leader
/// sends them in any case, as it counts the prompts of all daemons: without its reports the demand is not known. Never
/// returns.
pub async fn report_demand<D: Dialect>(gateway: Arc<Gateway<D>>) {
    loop {
        Timer::after(REPORT_INTERVAL.into()).await;
        let now = gateway.now();
        let (is_leader, incarnation) = {
            let roster = gateway.roster();
            (roster.placement_leader(now).name == roster.me.name, roster.me.incarnation)
        };
        let (counts, changed) = gateway.demand().own_counts();
        if !changed && !is_leader {
            continue;
        }
        let loads = if is_leader { loads(&gateway) } else { Vec::new() };
        let report = DemandReport { daemon: gateway.settings.daemon.to_string(), incarnation, counts, loads };
        let bytes = Content::Demand(report.clone()).into_bytes();
        gateway.demand().apply(report, now);
        let Some(socket) = gateway.placer.socket() else {
            continue;
        };
        for target in gateway.duty_addresses() {
            send(socket, &bytes, target).await;
        }
    }
}

/// The requests at the runners of each service for which runners are ordered, as the placement leader counts them.
fn loads<D: Dialect>(gateway: &Gateway<D>) -> Vec<ServiceLoad> {
    let Some(configuration) = gateway.configuration() else {
        return Vec::new();
    };
    let scaled = configuration.services.iter().filter(|(_, service)| service.scaling.is_some());
    let fleet = gateway.fleet();
    let load = |service: &ModelName| {
        let (busy, slots) = fleet.slots_in_use(service);
        ServiceLoad { service: service.to_string(), busy, slots }
    };
    scaled.map(|(service, _)| load(service)).collect()
}
