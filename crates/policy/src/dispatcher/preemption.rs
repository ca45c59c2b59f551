//! Makes room for urgent requests: dedicates runners to them and preempts requests of other tiers.

use teaselcroft_parts::Millis;

use super::{DispatchAction, Dispatcher, RequestEntry, RequestKey, State};
use crate::Tier;

/// One pass preempts at most one request per this many places, but may always preempt one.
const PREEMPT_SHARE: u32 = 8;

/// The peak of concurrent urgent requests decays by one part in this many per tick.
const PEAK_DECAY: u64 = 200;

impl Dispatcher {
    /// Preempts the least urgent running requests, newest first, for overdue urgent ones.
    pub(super) fn preempt(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let urgent = self.overdue_urgent(now);
        let max_preempted = (self.pool.places() / PREEMPT_SHARE).max(1);
        let mut wanted = urgent.saturating_sub(self.preempting).min(max_preempted);
        let candidates = self.running.iter().rev().take_while(|(tier, ..)| !tier.is_urgent());
        let newest_first: Vec<RequestKey> = candidates.map(|(.., key)| *key).take(max_preempted as usize * 2).collect();
        for key in newest_first {
            if wanted == 0 {
                return;
            }
            let Some(RequestEntry { state: State::Running { preempting, .. }, .. }) = self.requests.get_mut(key) else {
                continue;
            };
            if *preempting {
                continue;
            }
            *preempting = true;
            self.preempting += 1;
            wanted -= 1;
            actions.push(DispatchAction::Preempt { request_key: key });
        }
    }

    /// The number of waiting requests in the urgent tiers whose oldest request has waited for
    /// `preempt_percent` of its target or longer; zero if a runner has room or nothing can be
    /// preempted.
    pub(super) fn overdue_urgent(&mut self, now: Millis) -> u32 {
        if self.non_urgent == 0 || self.pool.has_room() {
            return 0;
        }
        let requests = &self.requests;
        let mut overdue = 0;
        for tier in Tier::all().filter(|tier| tier.is_urgent()) {
            let queue = &mut self.queues[tier.index()];
            let Some(key) = queue.fair.oldest(|key| Dispatcher::is_waiting(requests, key)) else {
                continue;
            };
            let request = &requests[key].request;
            let max_wait = Millis(request.rule.target.0 * self.settings.preempt_percent / 100);
            if now.since(request.arrival) >= max_wait {
                overdue += queue.waiting;
            }
        }
        overdue
    }

    /// Dedicates enough runners for the recent peak of urgent requests that ran or waited at once.
    pub(super) fn update_dedicated(&mut self) {
        let urgent = Tier::all().filter(|tier| tier.is_urgent()).map(|tier| self.queues[tier.index()].waiting);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX) - self.non_urgent;
        let now_milli = u64::from(urgent.sum::<u32>() + running) * 1_000;
        let decayed = self.peak_milli - self.peak_milli / PEAK_DECAY;
        self.peak_milli = now_milli.max(decayed);
        self.pool.set_dedicated(u32::try_from(self.peak_milli / 1_000).unwrap_or(u32::MAX));
    }
}
