//! Recent routing decisions by request, for the admin API's `explain`.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{Millis, RequestId};

use crate::Event;

/// Requests whose decisions are kept; the oldest is evicted first.
const MAX_REQUESTS: usize = 20_000;

/// One routing decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, in milliseconds since the daemon started.
    pub at_ms: u64,
    /// The number of the log event.
    pub event: u32,
    /// The name of the log event.
    pub name: String,
    /// The facts it was based on, as text for operators.
    pub grounds: String,
}

#[derive(Debug, Default)]
struct Inner {
    requests: HashMap<RequestId, Vec<Decision>>,
    insertion_order: VecDeque<RequestId>,
}

/// The decisions about recent requests, in memory only.
#[derive(Debug, Default)]
pub struct Explanations {
    inner: Mutex<Inner>,
}

impl Explanations {
    /// Records a decision about `request`.
    pub fn record(&self, now: Millis, request: &RequestId, event: Event, grounds: String) {
        let decision = Decision { at_ms: now.0, event: event.number(), name: event.name().to_owned(), grounds };
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(decisions) = inner.requests.get_mut(request) {
            decisions.push(decision);
            return;
        }
        inner.requests.insert(request.clone(), vec![decision]);
        inner.insertion_order.push_back(request.clone());
        if inner.insertion_order.len() > MAX_REQUESTS
            && let Some(oldest) = inner.insertion_order.pop_front()
        {
            inner.requests.remove(&oldest);
        }
    }

    /// The remembered decisions about `request`, oldest first; empty if there are none.
    pub fn find(&self, request: &RequestId) -> Vec<Decision> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.requests.get(request).cloned().unwrap_or_default()
    }
}
