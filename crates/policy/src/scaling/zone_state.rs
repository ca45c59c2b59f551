//! The runners and orders of one zone.

use teaselcroft_parts::Millis;

use super::kind_order::{KindOrder, LEAVE_TIME};
use super::{OrderedCounts, ScalingSettings, ZoneRunners};
use crate::RunnerKind;

/// The runners and orders of one zone.
#[derive(Debug)]
pub struct ZoneState {
    pub on_demand: KindOrder,
    pub preemptible: KindOrder,
    /// Until when the zone counts as one that lost its preemptible runners.
    reclaimed_until: Millis,
}

impl ZoneState {
    /// A zone for which nothing was ordered yet.
    pub fn present(runners: ZoneRunners) -> ZoneState {
        ZoneState {
            on_demand: KindOrder::new(runners.on_demand, false),
            preemptible: KindOrder::new(runners.preemptible, false),
            reclaimed_until: Millis(0),
        }
    }

    /// A zone for which a predecessor ordered runners.
    pub fn ordered(counts: OrderedCounts) -> ZoneState {
        ZoneState {
            on_demand: KindOrder::new(counts.on_demand, true),
            preemptible: KindOrder::new(counts.preemptible, true),
            reclaimed_until: Millis(0),
        }
    }

    /// The order of a kind.
    pub fn kind(&self, kind: RunnerKind) -> &KindOrder {
        match kind {
            RunnerKind::OnDemand => &self.on_demand,
            RunnerKind::Preemptible => &self.preemptible,
        }
    }

    /// The order of a kind, to change it.
    pub fn kind_mut(&mut self, kind: RunnerKind) -> &mut KindOrder {
        match kind {
            RunnerKind::OnDemand => &mut self.on_demand,
            RunnerKind::Preemptible => &mut self.preemptible,
        }
    }

    /// Takes the runners that are there as ordered, as long as nothing was ordered.
    pub fn adopt(&mut self, runners: ZoneRunners) {
        self.on_demand.adopt(runners.on_demand);
        self.preemptible.adopt(runners.preemptible);
    }

    /// Notes the zone's runners; returns whether it just lost most of its preemptible ones.
    pub fn observe(&mut self, runners: ZoneRunners, settings: &ScalingSettings, now: Millis) -> bool {
        // Runners whose entries state no kind are taken for preemptible ones as far as more on-demand ones are there
        // than were ordered, and fewer preemptible ones.
        let surplus = runners.on_demand.saturating_sub(self.on_demand.highest_since(LEAVE_TIME, now));
        let unstated = surplus.min(self.preemptible.count.saturating_sub(runners.preemptible));
        let preemptible = runners.preemptible + unstated;
        let before = self.preemptible.ready();
        self.on_demand.observe(runners.on_demand - unstated, settings.settle, now);
        self.preemptible.observe(preemptible, settings.settle, now);
        let half = self.preemptible.count.div_ceil(2);
        if self.is_reclaimed(now) && self.preemptible.count > 0 && preemptible >= half {
            self.reclaimed_until = Millis(0);
        }
        let is_lost = preemptible * 2 < before && preemptible < half;
        if is_lost {
            self.reclaimed_until = now + settings.reclaim;
        }
        is_lost
    }

    /// Whether the zone lost its preemptible runners lately and they did not return.
    pub fn is_reclaimed(&self, now: Millis) -> bool {
        now < self.reclaimed_until
    }

    /// Whether runners of a kind may be ordered here now.
    pub fn takes(&self, kind: RunnerKind, now: Millis) -> bool {
        let is_lost = kind == RunnerKind::Preemptible && self.is_reclaimed(now);
        self.kind(kind).is_available(now) && !is_lost
    }

    /// How many more of a kind may be ordered. Leaving runners do not count, so that they do not block their replacement.
    pub fn room(&self, kind: RunnerKind, max: u32) -> u32 {
        let other = match kind {
            RunnerKind::OnDemand => &self.preemptible,
            RunnerKind::Preemptible => &self.on_demand,
        };
        max.saturating_sub(other.committed() + self.kind(kind).committed())
    }

    /// Runners that take requests.
    pub fn ready(&self) -> u32 {
        self.on_demand.ready() + self.preemptible.ready()
    }

    /// Preemptible runners that were ordered and should appear; none in a zone that lost them.
    pub fn preemptible_coming(&self, boot: Millis, now: Millis) -> u32 {
        if self.is_reclaimed(now) { 0 } else { self.preemptible.booting(boot, now) }
    }
}
