//! Entry point for fuzzing the decoding of peer messages.

use prost::Message;

use crate::dispatch_event::DispatchEvent;
use crate::dispatch_request::{DispatchRequest, outcome_from_wire};
use crate::execute::Call;
use crate::generated::{DispatchDown, DispatchUp, ExecuteRequest, Heartbeat};
use crate::peer_heartbeat::PeerHeartbeat;

/// Decodes `bytes` as each message type that peers send and discards the results; must never panic.
pub fn fuzz_peer_message(bytes: &[u8]) {
    if let Ok(wire) = Heartbeat::decode(bytes) {
        let _ = PeerHeartbeat::try_from(wire);
    }
    if let Ok(wire) = DispatchUp::decode(bytes) {
        let _ = DispatchRequest::try_from(wire.clone());
        let _ = outcome_from_wire(wire);
    }
    if let Ok(wire) = DispatchDown::decode(bytes) {
        let _ = DispatchEvent::try_from(wire);
    }
    if let Ok(wire) = ExecuteRequest::decode(bytes) {
        let _ = Call::try_from(wire);
    }
}
