//! What a dispatcher tells a request.

use teaselcroft_parts::{Millis, RunnerName};
use teaselcroft_policy::{ResultCode, RunnerInfo};

use crate::generated::{DispatchDown, Granted, Preempted, Refused, dispatch_down};

/// What a dispatcher tells a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEvent {
    /// Run at this runner.
    Granted {
        /// The runner.
        runner: RunnerName,
        /// Its address.
        address: String,
        /// How long the request waited.
        waited: Millis,
    },
    /// The request is refused.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to try again.
        retry: Millis,
    },
    /// Give up the runner and come back.
    Preempted,
}

impl DispatchEvent {
    /// A grant of `runner` after `waited`.
    pub fn granted(runner: RunnerInfo, waited: Millis) -> DispatchEvent {
        DispatchEvent::Granted { runner: runner.name, address: runner.address, waited }
    }
}

impl From<DispatchEvent> for DispatchDown {
    fn from(event: DispatchEvent) -> DispatchDown {
        let step = match event {
            DispatchEvent::Granted { runner, address, waited } => {
                dispatch_down::Step::Granted(Granted { runner: runner.into(), address, waited_ms: saturate(waited) })
            }
            DispatchEvent::Refused { code, retry } => {
                dispatch_down::Step::Refused(Refused { code: code.number(), retry_ms: saturate(retry) })
            }
            DispatchEvent::Preempted => dispatch_down::Step::Preempted(Preempted {}),
        };
        DispatchDown { step: Some(step) }
    }
}

/// A message of a peer that cannot be understood.
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

/// A span as wire milliseconds.
pub fn saturate(span: Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}
