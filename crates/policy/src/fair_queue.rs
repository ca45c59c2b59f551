//! A queue that is fair among customers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

use teaselcroft_parts::CustomerName;

/// One customer's waiting requests with their costs in tokens, and the start tag of the first.
#[derive(Debug)]
struct CustomerQueue<K> {
    waiting: VecDeque<(K, u64)>,
    start_tag: u64,
}

/// The waiting requests of one tier under start-time fair queueing: the customer with the least
/// service so far, in tokens, goes next.
///
/// A customer without waiting requests earns no credit. Operations take logarithmic time in the
/// number of waiting customers. Removal is lazy: [`FairQueue::pop`] skips keys that its caller
/// reports as gone.
#[derive(Debug)]
pub struct FairQueue<K> {
    customers: HashMap<CustomerName, CustomerQueue<K>>,
    start_order: BTreeSet<(u64, CustomerName)>,
    arrivals: VecDeque<K>,
    /// The highest start tag served so far.
    virtual_time: u64,
}

impl<K> Default for FairQueue<K> {
    fn default() -> FairQueue<K> {
        FairQueue {
            customers: HashMap::new(),
            start_order: BTreeSet::new(),
            arrivals: VecDeque::new(),
            virtual_time: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> FairQueue<K> {
    /// Adds a request of `customer` that costs `cost` tokens.
    pub fn push(&mut self, customer: &CustomerName, key: K, cost: u64) {
        self.arrivals.push_back(key);
        self.push_customer(customer, key, cost);
    }

    fn push_customer(&mut self, customer: &CustomerName, key: K, cost: u64) {
        let virtual_time = self.virtual_time;
        let queue = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerQueue { waiting: VecDeque::new(), start_tag: 0 });
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
            self.start_order.insert((queue.start_tag, customer.clone()));
        }
        queue.waiting.push_back((key, cost));
    }

    /// Takes the next request for which `is_live` holds, and drops the others before it.
    pub fn pop(&mut self, is_live: impl Fn(K) -> bool) -> Option<K> {
        loop {
            let (start_tag, customer) = self.start_order.pop_first()?;
            let Some(queue) = self.customers.get_mut(&customer) else {
                continue;
            };
            let Some((key, cost)) = queue.waiting.pop_front() else {
                continue;
            };
            let live = is_live(key);
            if live {
                self.virtual_time = self.virtual_time.max(start_tag);
                queue.start_tag = start_tag + cost;
            }
            if !queue.waiting.is_empty() {
                self.start_order.insert((queue.start_tag, customer));
            } else if queue.start_tag <= self.virtual_time {
                self.customers.remove(&customer);
            }
            if live {
                return Some(key);
            }
        }
    }

    /// An estimate of how many waiting requests go before a new one of `customer`.
    ///
    /// All `n` of its own do, and `n + 1` of each other customer with waiting requests.
    pub fn ahead(&self, customer: &CustomerName) -> usize {
        let own = self.customers.get(customer).map_or(0, |queue| queue.waiting.len());
        let others = self.start_order.len() - usize::from(own > 0);
        own + others * (own + 1)
    }

    /// The request that has waited longest of those for which `is_live` holds; it stays in the
    /// queue.
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
