//! One request of a caller on its way.

use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::dialect::CallerFields;
use crate::fleet::PlacementRequest;
use crate::http::RequestHead;
use crate::{Customer, Priority, Route};

/// One request of a caller on its way.
#[derive(Debug)]
pub struct Job {
    /// The head as the caller sent it.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
    /// What the caller says of it.
    pub caller: CallerFields,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it falls to.
    pub service: ModelName,
    /// Whose key the caller showed.
    pub customer: Option<Customer>,
    /// When its head arrived.
    pub arrived: Millis,
    /// When the caller stops waiting or the route's timeout ends it, whichever comes first.
    pub deadline: Millis,
    /// Runners that it was sent to.
    pub tried: Vec<RunnerName>,
}

impl Job {
    /// How urgent it is: its customer's priority goes before its route's.
    pub fn priority(&self) -> Priority {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority).min(Priority::LEAST)
    }

    /// What it needs of a runner.
    pub fn ask(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.service,
            prompt: self.caller.prompt.as_ref(),
            longest_pause: self.route.longest_pause,
            priority: self.priority(),
            target: self.route.target,
            tried: &self.tried,
        }
    }

    /// A hash of what makes the request the same when it is sent again.
    pub fn content(&self) -> u64 {
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        let parts = [self.head.method.as_bytes(), self.head.target.as_bytes(), customer.as_bytes(), &self.body];
        parts.iter().fold(0, |sum: u64, part| sum.rotate_left(7) ^ rapidhash::v3::rapidhash_v3(part))
    }
}
