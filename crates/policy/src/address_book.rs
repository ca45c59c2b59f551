//! Service discovery for callers: which daemons to connect to.

use teaselcroft_parts::{DaemonName, Millis, ZoneName};

/// A daemon that callers can connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPoint {
    /// The daemon's name.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for callers, as `host:port`.
    pub address: String,
}

/// The answer to an address query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// The daemons to try, in order.
    pub entries: Vec<EntryPoint>,
    /// How long the caller may cache the answer.
    pub keep: Millis,
}

/// Answers address queries from the list of live daemons.
#[derive(Debug, Clone)]
pub struct AddressBook {
    keep: Millis,
}

impl AddressBook {
    /// Creates an address book whose answers may be cached for `keep`.
    pub const fn new(keep: Millis) -> AddressBook {
        AddressBook { keep }
    }

    /// Orders the live daemons for a caller in `zone`: those of its own zone first, each group
    /// shuffled to spread load.
    pub fn answer(&self, zone: &ZoneName, mut live: Vec<EntryPoint>, rng: &mut fastrand::Rng) -> AddressAnswer {
        rng.shuffle(&mut live);
        live.sort_by_key(|entry| entry.zone != *zone);
        AddressAnswer { entries: live, keep: self.keep }
    }
}
