//! Even load of plain services' runners, from what the placement leader stated of them some time ago.

use teaselcroft_parts::Millis;
use teaselcroft_policy::{BalanceRule, Balancer, LoadView};

use super::placement::CROSS_ZONE_COST_REQUESTS;
use super::runner_table::RunnerState;
use super::{Fleet, Load, Placement, RunnerKey};
use crate::heartbeat::RunnerTotal;

/// After this time a stated load is forgotten.
const STATED_LOAD_TTL: Millis = Millis(10_000);

/// The occupancy of the own zone's runners up to which all plain requests stay there, and from which none stays only
/// for that: half-idle runners have no queue, and traffic between zones costs. Between the two the share rises evenly, so
/// that daemons do not all change over at once.
const OWN_ZONE_OCCUPANCY: (f64, f64) = (0.4, 0.6);

impl Fleet {
    /// This fleet with even load of plain services' runners, whose requests take `hold` on average, or without; a new one
    /// has none.
    pub fn with_even_load(self, hold: Option<Millis>) -> Fleet {
        Fleet { even_hold: hold, ..self }
    }

    /// Chooses a plain service's runner so that all daemons together load the runners evenly.
    pub(super) fn choose_evenly(
        &self,
        candidates: Vec<(RunnerKey, &RunnerState)>,
        hold: Millis,
        now: Millis,
    ) -> Option<Placement> {
        let mut random = fastrand::Rng::new();
        let stated = |state: &RunnerState| state.stated_load.filter(|(_, at)| now.since(*at) < STATED_LOAD_TTL);
        let others = |state: &RunnerState| stated(state).map_or(state.peer_load.requests, |(requests, _)| requests);
        let own_zone: Vec<_> =
            candidates.iter().filter(|(_, state)| state.record().zone == self.zone).copied().collect();
        let requests: u32 = own_zone.iter().map(|(_, state)| others(state) + state.own_load.requests).sum();
        let slots: u32 = own_zone.iter().map(|(_, state)| state.record().slots.max(1)).sum();
        let (low, high) = OWN_ZONE_OCCUPANCY;
        let spread = (f64::from(requests) / f64::from(slots.max(1)) - low) / (high - low);
        let stays = !own_zone.is_empty() && random.f64() >= spread;
        let candidates = if stays { own_zone } else { candidates };
        let oldest = candidates.iter().filter_map(|(_, state)| stated(state)).map(|(_, at)| now.since(at)).max();
        // The placement leader's counts of peers are exact to within a report's time, so that it needs no statement.
        let view = |state: &RunnerState| LoadView {
            capacity: f64::from(state.record().slots.max(1)),
            reported: stated(state).map_or(0.0, |(requests, _)| requests.into()),
            unreported: f64::from(state.own_load.requests)
                + if stated(state).is_none() { f64::from(state.peer_load.requests) } else { 0.0 },
            penalty: if state.record().zone == self.zone { 0.0 } else { CROSS_ZONE_COST_REQUESTS },
            credit: state.credit.get(),
        };
        let mut views: Vec<LoadView> = candidates.iter().map(|(_, state)| view(state)).collect();
        let mut balancer = Balancer::new(BalanceRule::default(), hold);
        let age = oldest.unwrap_or_default();
        let index = balancer.choose(&mut views, age, &mut random)?;
        for ((_, state), view) in candidates.iter().zip(&views) {
            state.credit.set(view.credit);
            state.is_plain.set(true);
        }
        let (key, state) = candidates[index];
        Some(Placement {
            key,
            record: state.record().clone(),
            fetch_from: None,
            prefill_tokens: 0,
            load: Load { requests: others(state) + state.own_load.requests, ..state.load() },
            pressure: Millis(0),
            age: oldest,
            is_granted: false,
        })
    }

    /// The load of all daemons on the runners of plain services, for heartbeats of the placement leader.
    pub fn plain_totals(&self) -> Vec<RunnerTotal> {
        let plain = self.runners.states().filter(|state| state.is_plain.get());
        plain.map(|state| RunnerTotal { runner: state.hash(), requests: state.load().requests }).collect()
    }

    /// Records what the placement leader states. This daemon's own requests are left out, since it knows them exactly.
    pub fn apply_totals(&mut self, totals: &[RunnerTotal], now: Millis) {
        for total in totals.iter().filter(|_| self.even_hold.is_some()) {
            if let Some(state) = self.runners.by_hash_mut(total.runner) {
                let others = total.requests.saturating_sub(state.own_load.requests);
                state.stated_load = Some((others, now));
            }
        }
    }
}
