//! What a dispatcher knows of a request.

use teaselcroft_parts::{ClassName, CustomerName, Fingerprint, Millis, RequestId, RunnerName, ZoneName};

use crate::ClassRule;

/// A request's place in the queue, without its content.
#[derive(Debug, Clone)]
pub struct Descriptor {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerName,
    /// Its class.
    pub class: ClassName,
    /// The rule of its class.
    pub rule: ClassRule,
    /// Identifies its content across repeated sendings.
    pub fingerprint: Fingerprint,
    /// Identifies the beginning of its prompt.
    pub prefix: Fingerprint,
    /// The estimated size of its prompt.
    pub prompt_tokens: u32,
    /// When the system first received it.
    pub arrival: Millis,
    /// The runner that already runs it, if a dispatcher that is gone granted one.
    pub holding: Option<RunnerName>,
    /// Whether it was granted a runner before and comes back for another.
    pub admitted: bool,
    /// A runner on which it just failed.
    pub avoid: Option<RunnerName>,
    /// The zone of the entry daemon.
    pub zone: ZoneName,
}
