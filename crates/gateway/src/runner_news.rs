//! What daemons of one availability zone tell each other of the runners, so that only a few of them read the store.

use std::net::SocketAddr;

use teaselcroft_parts::{NameError, RunnerName};

use crate::RunnerRecord;
use crate::store::Revision;

/// A change of a runner's entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerChange {
    /// The runner.
    pub name: RunnerName,
    /// When the store had the change.
    pub revision: Revision,
    /// What the entry says, or `None` if it is gone or cannot be used.
    pub record: Option<RunnerRecord>,
}

/// A runner's entry between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryWire {
    /// When it started.
    #[prost(int64, tag = "1")]
    pub started_at: i64,
    /// The service it offers.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it listens.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests it serves at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes new requests.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
}

/// A change of a runner's entry between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeWire {
    /// The runner's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// When the store had the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// What the entry says; absent if it is gone.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryWire>,
}

/// Every change of runners' entries after one revision of the store and up to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunnerNews {
    /// The revision after which the changes begin; 0 if they are all entries there are.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The revision up to which they are complete.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The changes, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeWire>,
    /// The newest configuration that the sender has.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Whether they come from a list, which shows also what watches missed.
    #[prost(bool, tag = "4")]
    pub is_listed: bool,
}

/// A message of a peer that names a runner, service, zone or address which cannot be one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadableNews;

impl From<NameError> for UnreadableNews {
    fn from(_: NameError) -> UnreadableNews {
        UnreadableNews
    }
}

impl From<&RunnerChange> for ChangeWire {
    fn from(change: &RunnerChange) -> ChangeWire {
        let entry = change.record.as_ref().map(|record| EntryWire {
            started_at: record.started_at,
            service: record.service.to_string(),
            address: record.address.to_string(),
            zone: record.zone.to_string(),
            slots: record.slots,
            is_ready: record.is_ready,
        });
        ChangeWire { name: change.name.to_string(), revision: change.revision.0, entry }
    }
}

impl TryFrom<ChangeWire> for RunnerChange {
    type Error = UnreadableNews;

    fn try_from(wire: ChangeWire) -> Result<RunnerChange, UnreadableNews> {
        let name: RunnerName = wire.name.parse()?;
        let record = match wire.entry {
            Some(entry) => Some(RunnerRecord {
                name: name.clone(),
                started_at: entry.started_at,
                service: entry.service.parse()?,
                address: entry.address.parse::<SocketAddr>().map_err(|_| UnreadableNews)?,
                zone: entry.zone.parse()?,
                slots: entry.slots,
                is_ready: entry.is_ready,
            }),
            None => None,
        };
        Ok(RunnerChange { name, revision: Revision(wire.revision), record })
    }
}
