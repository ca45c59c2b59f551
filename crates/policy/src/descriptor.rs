//! The metadata by which a dispatcher schedules a request.

use teaselcroft_parts::{ClassName, CustomerName, Fingerprint, Millis, RequestId, RunnerName, ZoneName};

use crate::ClassRule;

/// The scheduling metadata of a request, without its content.
#[derive(Debug, Clone)]
pub struct Descriptor {
    /// The id of the request.
    pub request: RequestId,
    /// The customer that sent it, for fair queueing.
    pub customer: CustomerName,
    /// Its class, which names its rule and its hold times.
    pub class: ClassName,
    /// The rule of its class.
    pub rule: ClassRule,
    /// A hash of its content, the same for every retry.
    pub fingerprint: Fingerprint,
    /// A hash of the beginning of its prompt, for prefix cache affinity.
    pub prefix: Fingerprint,
    /// The estimated size of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// When the system first received it.
    pub arrival: Millis,
    /// The runner that already runs it, granted by a dispatcher that is gone.
    pub holding: Option<RunnerName>,
    /// Whether it had a runner before and needs another; it is not refused as overload then.
    pub admitted: bool,
    /// The runner on which it just failed, to be avoided.
    pub avoid: Option<RunnerName>,
    /// The zone of the entry daemon; runners there are preferred.
    pub zone: ZoneName,
}
