//! Counts a request at a runner for its customer, once.

use teaselcroft_parts::{CustomerName, Millis};

use crate::dialect::Dialect;
use crate::gateway::Gateway;

/// A request that was sent to a runner. Unless its beginning is noted or ruled out, it counts when this is dropped, as
/// begun when it was sent: without an answer the runner may have run it, also if the caller has left.
pub(super) struct RunCount<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    customer: Option<CustomerName>,
    sent_at: Millis,
}

impl<'a, D: Dialect> RunCount<'a, D> {
    /// A request that is sent at `sent_at`.
    pub fn sent(gateway: &'a Gateway<D>, customer: Option<&CustomerName>, sent_at: Millis) -> RunCount<'a, D> {
        RunCount { gateway, customer: customer.cloned(), sent_at }
    }

    /// The runner began to run the request now; later calls do nothing.
    pub fn began(&mut self) {
        let now = self.gateway.now();
        self.count(now);
    }

    /// The runner answered a plain request, which counts as begun when it was sent.
    pub fn answered(&mut self) {
        self.count(self.sent_at);
    }

    /// The runner did not begin to run the request.
    pub fn not_run(&mut self) {
        self.customer = None;
    }

    fn count(&mut self, at: Millis) {
        if let Some(customer) = self.customer.take() {
            self.gateway.count_request(&customer, at);
        }
    }
}

impl<D: Dialect> Drop for RunCount<'_, D> {
    fn drop(&mut self) {
        self.count(self.sent_at);
    }
}
