//! A caller's request with all that forwarding it needs.

use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::dialect::CallerFields;
use crate::fleet::PlacementRequest;
use crate::http::RequestHead;
use crate::{Customer, Priority, Route};

/// A caller's request with all that forwarding it needs.
#[derive(Debug)]
pub struct Job {
    /// The head, as received from the caller.
    pub head: RequestHead,
    /// The decoded body, read in full.
    pub body: Vec<u8>,
    /// The platform's header fields of the request, decoded.
    pub caller_fields: CallerFields,
    /// The route that its host and path matched.
    pub route: Arc<Route>,
    /// The service that it goes to, drawn from the route's splits.
    pub service: ModelName,
    /// The customer that the caller's key belongs to.
    pub customer: Option<Customer>,
    /// When its head had arrived, in time since the daemon started.
    pub arrived: Millis,
    /// When the caller stops waiting or the route's timeout passes, whichever comes first.
    pub deadline: Millis,
    /// Runners already tried, including those that could not be reached.
    pub tried: Vec<RunnerName>,
}

impl Job {
    /// The request's priority: its customer's if that has one, else its route's.
    pub fn priority(&self) -> Priority {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority).min(Priority::LEAST)
    }

    /// What placement needs to know of it.
    pub fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.service,
            prompt: self.caller_fields.prompt.as_ref(),
            longest_pause: self.route.longest_pause,
            priority: self.priority(),
            target: self.route.target,
            tried: &self.tried,
            uses_limited: false,
            is_placed: false,
        }
    }

    /// A hash of method, target, customer and body, equal when a caller sends the same request again.
    pub fn content_hash(&self) -> u64 {
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        let parts = [self.head.method.as_bytes(), self.head.target.as_bytes(), customer.as_bytes(), &self.body];
        parts.iter().fold(0, |sum: u64, part| sum.rotate_left(7) ^ rapidhash::v3::rapidhash_v3(part))
    }
}
