//! What a dispatcher needs to know about a request, and its wire form.

use teaselcroft_parts::{ClassName, CustomerName, Fingerprint, Millis, ModelName, RequestId, RunnerName, ZoneName};
use teaselcroft_policy::{EndKind, Outcome};

use crate::dispatch_event::{WireError, to_wire_ms};
use crate::generated::{self, DispatchUp, Enter, dispatch_up};

/// Describes a request to the dispatcher of its upstream; it carries no content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRequest {
    /// The request id.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// Its class.
    pub class: ClassName,
    /// The model or service that serves it.
    pub upstream: ModelName,
    /// A fingerprint of its content; equal for repeated attempts.
    pub fingerprint: Fingerprint,
    /// A fingerprint of the beginning of its prompt, for prefix cache affinity.
    pub prefix: Fingerprint,
    /// The estimated prompt size in tokens.
    pub prompt_tokens: u32,
    /// Time since it arrived at its entry daemon.
    pub waited: Millis,
    /// The runner on which it is running already, by grant of a dispatcher that was lost.
    pub holding: Option<RunnerName>,
    /// The runner on which it just failed; another one is preferred.
    pub avoid: Option<RunnerName>,
    /// Whether it was granted a runner before and comes back for another.
    pub admitted: bool,
    /// The availability zone of its entry daemon.
    pub zone: ZoneName,
}

fn decode_runner(name: String) -> Result<Option<RunnerName>, WireError> {
    if name.is_empty() {
        return Ok(None);
    }
    name.try_into().map(Some).map_err(|_| WireError)
}

fn encode_runner(name: Option<RunnerName>) -> String {
    name.map(String::from).unwrap_or_default()
}

impl From<DispatchRequest> for DispatchUp {
    fn from(dispatch: DispatchRequest) -> DispatchUp {
        let enter = Enter {
            request: dispatch.request.into(),
            customer: dispatch.customer.into(),
            class: dispatch.class.into(),
            shard: dispatch.upstream.into(),
            fingerprint: dispatch.fingerprint.0,
            prefix: dispatch.prefix.0,
            prompt_tokens: dispatch.prompt_tokens,
            waited_ms: to_wire_ms(dispatch.waited),
            holding: encode_runner(dispatch.holding),
            avoid: encode_runner(dispatch.avoid),
            zone: dispatch.zone.into(),
            admitted: dispatch.admitted,
        };
        DispatchUp { step: Some(dispatch_up::Step::Enter(enter)) }
    }
}

impl TryFrom<DispatchUp> for DispatchRequest {
    type Error = WireError;

    fn try_from(up: DispatchUp) -> Result<DispatchRequest, WireError> {
        let Some(dispatch_up::Step::Enter(enter)) = up.step else {
            return Err(WireError);
        };
        Ok(DispatchRequest {
            request: enter.request.try_into().map_err(|_| WireError)?,
            customer: enter.customer.try_into().map_err(|_| WireError)?,
            class: enter.class.try_into().map_err(|_| WireError)?,
            upstream: enter.shard.try_into().map_err(|_| WireError)?,
            fingerprint: Fingerprint(enter.fingerprint),
            prefix: Fingerprint(enter.prefix),
            prompt_tokens: enter.prompt_tokens,
            waited: Millis(enter.waited_ms.into()),
            holding: decode_runner(enter.holding)?,
            avoid: decode_runner(enter.avoid)?,
            admitted: enter.admitted,
            zone: enter.zone.try_into().map_err(|_| WireError)?,
        })
    }
}

/// Encodes an outcome for the dispatcher.
pub fn outcome_to_wire(outcome: Outcome) -> DispatchUp {
    let kind = match outcome.kind {
        EndKind::Done => generated::EndKind::Done,
        EndKind::Cancelled => generated::EndKind::Cancelled,
        EndKind::Broken => generated::EndKind::Broken,
        EndKind::Refused => generated::EndKind::Refused,
        EndKind::Silent => generated::EndKind::Silent,
    };
    let elapsed_ms = to_wire_ms(outcome.elapsed);
    let wire = generated::Outcome { kind: kind.into(), tokens: outcome.tokens, elapsed_ms };
    DispatchUp { step: Some(dispatch_up::Step::Outcome(wire)) }
}

/// Decodes an outcome; any other message counts as cancelled.
pub fn outcome_from_wire(up: DispatchUp) -> Outcome {
    let Some(dispatch_up::Step::Outcome(wire)) = up.step else {
        return Outcome::bare(EndKind::Cancelled);
    };
    let kind = match wire.kind() {
        generated::EndKind::Done => EndKind::Done,
        generated::EndKind::Broken => EndKind::Broken,
        generated::EndKind::Refused => EndKind::Refused,
        generated::EndKind::Silent => EndKind::Silent,
        generated::EndKind::Cancelled | generated::EndKind::Unspecified => EndKind::Cancelled,
    };
    Outcome { kind, tokens: wire.tokens, elapsed: Millis(wire.elapsed_ms.into()) }
}
