//! Which daemons a caller is told to use.

use teaselcroft_parts::{DaemonName, Millis, ZoneName};

/// A daemon that callers can connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPoint {
    /// The daemon.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for callers, as `host:port`.
    pub address: String,
}

/// The answer to an address query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Daemons to use, in this order.
    pub entries: Vec<EntryPoint>,
    /// How long the caller may keep the answer.
    pub keep: Millis,
}

/// Answers address queries.
#[derive(Debug, Clone)]
pub struct AddressBook {
    keep: Millis,
}

impl AddressBook {
    /// A book whose answers are good for `keep`.
    pub const fn new(keep: Millis) -> AddressBook {
        AddressBook { keep }
    }

    /// Orders the live daemons for a caller in `zone`: its own zone first, shuffled within.
    pub fn answer(&self, zone: &ZoneName, mut live: Vec<EntryPoint>, rng: &mut fastrand::Rng) -> AddressAnswer {
        rng.shuffle(&mut live);
        live.sort_by_key(|entry| entry.zone != *zone);
        AddressAnswer { entries: live, keep: self.keep }
    }
}
