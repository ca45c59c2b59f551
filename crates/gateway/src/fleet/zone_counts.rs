//! The runners of a service by zone and kind, for the orders.

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{ModelName, ZoneName};
use teaselcroft_policy::scaling::ZoneRunners;

use super::Fleet;

impl Fleet {
    /// The runners of a service by zone and kind.
    pub fn zone_counts(&self, service: &ModelName) -> BTreeMap<ZoneName, ZoneRunners> {
        let mut zones = BTreeMap::new();
        for (_, state) in self.runners.of_service(service) {
            let record = state.record();
            let counts: &mut ZoneRunners = zones.entry(record.zone.clone()).or_default();
            match (record.is_ready, record.is_preemptible) {
                (false, _) => counts.leaving += 1,
                (true, true) => counts.preemptible += 1,
                (true, false) => counts.on_demand += 1,
            }
        }
        zones
    }

    /// The zones that have runners, of any service.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        self.runners.states().map(|state| state.record().zone.clone()).collect()
    }

    /// The requests at the ready runners of a service, and how many these serve at once.
    pub fn slots_in_use(&self, service: &ModelName) -> (u32, u32) {
        let ready = self.runners.of_service(service).map(|(_, state)| state).filter(|state| state.record().is_ready);
        ready.fold((0, 0), |(busy, slots), state| (busy + state.load().requests, slots + state.record().slots))
    }
}
