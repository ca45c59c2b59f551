//! The decoded heartbeat and its conversion to and from the wire.

use teaselcroft_parts::{Fingerprint, Incarnation, Member, SlotId};

use crate::dispatch_event::WireError;
use crate::generated::{Gone, Heartbeat, SlotOwned};

/// The state that a daemon announces to its peers with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// The sending daemon and its incarnation.
    pub member: Member,
    /// Whether it has begun a planned stop.
    pub leaving: bool,
    /// The version of its newest configuration; a peer with a lower one pulls the difference.
    pub config_clock: u64,
    /// Whether its last call to the key-value service was answered.
    pub store_reachable: bool,
    /// The slots it owns as executor, with their epochs.
    pub slots: Vec<(SlotId, u64)>,
    /// Content that its dispatchers refuse because it crashed runners.
    pub condemned: Vec<Fingerprint>,
    /// Daemons that refused its connection, so that their processes are gone.
    pub gone: Vec<Member>,
}

impl From<PeerHeartbeat> for Heartbeat {
    fn from(heartbeat: PeerHeartbeat) -> Heartbeat {
        let slots = heartbeat.slots.into_iter().map(|(slot, epoch)| SlotOwned { slot: slot.0, epoch });
        Heartbeat {
            name: heartbeat.member.name.into(),
            incarnation: heartbeat.member.incarnation.0,
            leaving: heartbeat.leaving,
            config_clock: heartbeat.config_clock,
            store_reachable: heartbeat.store_reachable,
            slots: slots.collect(),
            condemned: heartbeat.condemned.into_iter().map(|fingerprint| fingerprint.0).collect(),
            gone: heartbeat.gone.into_iter().map(gone_to_wire).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for PeerHeartbeat {
    type Error = WireError;

    fn try_from(wire: Heartbeat) -> Result<PeerHeartbeat, WireError> {
        let name = wire.name.try_into().map_err(|_| WireError)?;
        Ok(PeerHeartbeat {
            member: Member { name, incarnation: Incarnation(wire.incarnation) },
            leaving: wire.leaving,
            config_clock: wire.config_clock,
            store_reachable: wire.store_reachable,
            slots: wire.slots.into_iter().map(|owned| (SlotId(owned.slot), owned.epoch)).collect(),
            condemned: wire.condemned.into_iter().map(Fingerprint).collect(),
            gone: wire.gone.into_iter().map(gone_from_wire).collect::<Result<_, _>>()?,
        })
    }
}

fn gone_to_wire(member: Member) -> Gone {
    Gone { name: member.name.into(), incarnation: member.incarnation.0 }
}

fn gone_from_wire(wire: Gone) -> Result<Member, WireError> {
    let name = wire.name.try_into().map_err(|_| WireError)?;
    Ok(Member { name, incarnation: Incarnation(wire.incarnation) })
}
