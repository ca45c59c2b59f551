//! The durations by which a duty holder acts and steps back.

use crate::Millis;

/// The durations by which a duty holder acts and steps back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTimes {
    /// The time to live of the holder's lease.
    pub lease: Millis,
    /// The holder stops acting this long before its lease can expire.
    pub margin: Millis,
    /// The longest time from a permit until its call arrives or is given up.
    pub call: Millis,
    /// The delay that each rank of a candidate adds before it claims.
    pub rank: Millis,
    /// The time between two tries to claim.
    pub retry: Millis,
}

impl Default for DutyTimes {
    fn default() -> DutyTimes {
        DutyTimes {
            lease: Millis(3_000),
            margin: Millis(500),
            call: Millis(1_000),
            rank: Millis(500),
            retry: Millis(1_000),
        }
    }
}

impl DutyTimes {
    /// How long after a renewal was sent the holder may act.
    pub fn validity(&self) -> Millis {
        self.lease - self.margin
    }

    /// How long a new holder waits before it acts, unless the last one released the duties: a store that lost its leases
    /// lets it claim while the last holder still acts.
    pub fn quarantine(&self) -> Millis {
        self.validity() + self.call
    }

    /// How long after its last call, or its start, a daemon may act again after another holder.
    pub fn return_wait(&self) -> Millis {
        self.lease + self.call
    }

    /// The time between two renewals.
    pub fn renewal(&self) -> Millis {
        Millis(self.lease.0 / 3)
    }

    /// How long a renewal waits for its answer, so that three attempts fit into the validity.
    pub fn answer(&self) -> Millis {
        Millis(self.lease.0 / 6)
    }
}
