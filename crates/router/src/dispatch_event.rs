//! Messages from a dispatcher to a request, and their wire form.

use teaselcroft_parts::{Millis, RunnerName};
use teaselcroft_policy::{ResultCode, RunnerInfo};

use crate::generated::{DispatchDown, Granted, Preempted, Refused, dispatch_down};

/// A message from a dispatcher to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEvent {
    /// The request may run at this runner.
    Granted {
        /// The name of the runner.
        runner: RunnerName,
        /// The runner's address as `host:port`.
        address: String,
        /// Time from the request's arrival to the grant.
        waited: Millis,
    },
    /// The request is refused and no longer queued.
    Refused {
        /// The reason.
        code: ResultCode,
        /// How long the caller should wait before it tries again.
        retry: Millis,
    },
    /// The request must stop running and be submitted to the dispatcher again.
    Preempted,
}

impl DispatchEvent {
    /// A grant of `runner` to a request that waited for `waited`.
    pub fn granted(runner: RunnerInfo, waited: Millis) -> DispatchEvent {
        DispatchEvent::Granted { runner: runner.name, address: runner.address, waited }
    }
}

impl From<DispatchEvent> for DispatchDown {
    fn from(event: DispatchEvent) -> DispatchDown {
        let step = match event {
            DispatchEvent::Granted { runner, address, waited } => {
                dispatch_down::Step::Granted(Granted { runner: runner.into(), address, waited_ms: to_wire_ms(waited) })
            }
            DispatchEvent::Refused { code, retry } => {
                dispatch_down::Step::Refused(Refused { code: code.number(), retry_ms: to_wire_ms(retry) })
            }
            DispatchEvent::Preempted => dispatch_down::Step::Preempted(Preempted {}),
        };
        DispatchDown { step: Some(step) }
    }
}

/// A peer's message that lacks a field or has an invalid value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WireError;

impl TryFrom<DispatchDown> for DispatchEvent {
    type Error = WireError;

    fn try_from(down: DispatchDown) -> Result<DispatchEvent, WireError> {
        match down.step.ok_or(WireError)? {
            dispatch_down::Step::Granted(granted) => Ok(DispatchEvent::Granted {
                runner: granted.runner.try_into().map_err(|_| WireError)?,
                address: granted.address,
                waited: Millis(granted.waited_ms.into()),
            }),
            dispatch_down::Step::Refused(refused) => Ok(DispatchEvent::Refused {
                code: ResultCode::from_number(refused.code).ok_or(WireError)?,
                retry: Millis(refused.retry_ms.into()),
            }),
            dispatch_down::Step::Preempted(_) => Ok(DispatchEvent::Preempted),
        }
    }
}

/// Converts a span to 32-bit wire milliseconds; longer spans become the maximum.
pub fn to_wire_ms(span: Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}
