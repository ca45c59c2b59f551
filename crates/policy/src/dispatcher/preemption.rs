//! Room for urgent work: runners kept fast, and lesser work preempted.

use teaselcroft_parts::Millis;

use super::{DispatchAction, Dispatcher, Place, RequestKey, State};
use crate::Tier;

const PREEMPT_SHARE: u32 = 8;

/// The remembered peak of urgent requests falls by one part in this many a tick.
const PEAK_DECAY: u64 = 200;

impl Dispatcher {
    /// Takes runners back from the least urgent, newest first, for urgent requests that wait.
    pub(super) fn preempt(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let urgent = self.overdue_urgent(now);
        let most = (self.pool.places() / PREEMPT_SHARE).max(1);
        let mut wanted = urgent.saturating_sub(self.preempting).min(most);
        let lesser = self.running.iter().rev().take_while(|(tier, ..)| !tier.is_urgent());
        let newest_first: Vec<RequestKey> = lesser.map(|(.., key)| *key).take(most as usize * 2).collect();
        for key in newest_first {
            if wanted == 0 {
                return;
            }
            let Some(Place { state: State::Running { preempting, .. }, .. }) = self.places.get_mut(key) else {
                continue;
            };
            if *preempting {
                continue;
            }
            *preempting = true;
            self.preempting += 1;
            wanted -= 1;
            actions.push(DispatchAction::Preempt { place: key });
        }
    }

    /// How many urgent requests wait, if the oldest has waited for too much of its target.
    pub(super) fn overdue_urgent(&mut self, now: Millis) -> u32 {
        if self.lesser == 0 || self.pool.has_room() {
            return 0;
        }
        let places = &self.places;
        let mut overdue = 0;
        for tier in Tier::all().filter(|tier| tier.is_urgent()) {
            let queue = &mut self.tiers[tier.index()];
            let Some(key) = queue.fair.oldest(|key| Dispatcher::is_waiting(places, key)) else {
                continue;
            };
            let request = &places[key].request;
            let span = Millis(request.rule.target.0 * self.settings.preempt_percent / 100);
            if now.since(request.arrival) >= span {
                overdue += queue.waiting;
            }
        }
        overdue
    }

    /// Keeps runners fast for as many urgent requests as ran or waited at once lately.
    pub(super) fn keep_fast(&mut self) {
        let urgent = Tier::all().filter(|tier| tier.is_urgent()).map(|tier| self.tiers[tier.index()].waiting);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX) - self.lesser;
        let now_milli = u64::from(urgent.sum::<u32>() + running) * 1_000;
        let fallen = self.urgent_milli - self.urgent_milli / PEAK_DECAY;
        self.urgent_milli = now_milli.max(fallen);
        self.pool.keep_fast(u32::try_from(self.urgent_milli / 1_000).unwrap_or(u32::MAX));
    }
}
