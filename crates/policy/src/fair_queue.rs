//! Waiting requests of one tier, fair among customers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

use teaselcroft_parts::CustomerName;

#[derive(Debug)]
struct Lane<K> {
    waiting: VecDeque<(K, u64)>,
    tag: u64,
}

/// Start-time fair queueing: the customer that has received the least goes next.
///
/// A customer that was away does not save up credit. Operations take logarithmic time in the
/// number of waiting customers. Removal is lazy: the owner skips keys that it no longer knows.
#[derive(Debug)]
pub struct FairQueue<K> {
    lanes: HashMap<CustomerName, Lane<K>>,
    order: BTreeSet<(u64, CustomerName)>,
    arrivals: VecDeque<K>,
    now_tag: u64,
}

impl<K> Default for FairQueue<K> {
    fn default() -> FairQueue<K> {
        FairQueue { lanes: HashMap::new(), order: BTreeSet::new(), arrivals: VecDeque::new(), now_tag: 0 }
    }
}

impl<K: Copy + Eq + Hash> FairQueue<K> {
    /// Adds a request of `customer` that costs `cost` tokens.
    pub fn push(&mut self, customer: &CustomerName, key: K, cost: u64) {
        self.arrivals.push_back(key);
        self.push_lane(customer, key, cost);
    }

    fn push_lane(&mut self, customer: &CustomerName, key: K, cost: u64) {
        let now_tag = self.now_tag;
        let lane = self.lanes.entry(customer.clone()).or_insert_with(|| Lane { waiting: VecDeque::new(), tag: 0 });
        if lane.waiting.is_empty() {
            lane.tag = lane.tag.max(now_tag);
            self.order.insert((lane.tag, customer.clone()));
        }
        lane.waiting.push_back((key, cost));
    }

    /// Takes the next request that `is_live` knows.
    pub fn pop(&mut self, is_live: impl Fn(K) -> bool) -> Option<K> {
        loop {
            let (tag, customer) = self.order.pop_first()?;
            let Some(lane) = self.lanes.get_mut(&customer) else {
                continue;
            };
            let Some((key, cost)) = lane.waiting.pop_front() else {
                continue;
            };
            let live = is_live(key);
            if live {
                self.now_tag = self.now_tag.max(tag);
                lane.tag = tag + cost;
            }
            if !lane.waiting.is_empty() {
                self.order.insert((lane.tag, customer));
            } else if lane.tag <= self.now_tag {
                self.lanes.remove(&customer);
            }
            if live {
                return Some(key);
            }
        }
    }

    /// How many requests go before the next one of `customer`, by its fair share.
    pub fn ahead(&self, customer: &CustomerName) -> usize {
        let own = self.lanes.get(customer).map_or(0, |lane| lane.waiting.len());
        let others = self.order.len() - usize::from(own > 0);
        own + others * (own + 1)
    }

    /// The request that has waited longest of those that `is_live` knows.
    pub fn oldest(&mut self, is_live: impl Fn(K) -> bool) -> Option<K> {
        while let Some(key) = self.arrivals.front() {
            if is_live(*key) {
                return Some(*key);
            }
            self.arrivals.pop_front();
        }
        None
    }
}
