//! A daemon's heartbeat.

use teaselcroft_parts::{Fingerprint, Incarnation, Member, SlotId};

use crate::generated::{Gone, Heartbeat, SlotOwned};
use crate::place_event::WireError;

/// What a daemon tells its peers of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pulse {
    /// The daemon.
    pub member: Member,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The version of its newest configuration.
    pub config_clock: u64,
    /// Whether the key-value service answers it.
    pub store_reachable: bool,
    /// The slots it executes, with their epochs.
    pub slots: Vec<(SlotId, u64)>,
    /// Content that it refuses.
    pub condemned: Vec<Fingerprint>,
    /// Daemons that refused it a connection.
    pub gone: Vec<Member>,
}

impl From<Pulse> for Heartbeat {
    fn from(pulse: Pulse) -> Heartbeat {
        let slots = pulse.slots.into_iter().map(|(slot, epoch)| SlotOwned { slot: slot.0, epoch });
        Heartbeat {
            name: pulse.member.name.into(),
            incarnation: pulse.member.incarnation.0,
            leaving: pulse.leaving,
            config_clock: pulse.config_clock,
            store_reachable: pulse.store_reachable,
            slots: slots.collect(),
            condemned: pulse.condemned.into_iter().map(|fingerprint| fingerprint.0).collect(),
            gone: pulse.gone.into_iter().map(gone_to_wire).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for Pulse {
    type Error = WireError;

    fn try_from(wire: Heartbeat) -> Result<Pulse, WireError> {
        let name = wire.name.try_into().map_err(|_| WireError)?;
        Ok(Pulse {
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
