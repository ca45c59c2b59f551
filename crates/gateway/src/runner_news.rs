//! Updates of runners that daemons of one availability zone forward to each other, so that only a few of them read
//! the store.

use std::net::SocketAddr;

use teaselcroft_parts::{NameError, RunnerName};

use crate::RunnerRecord;
use crate::store::Revision;

/// A change of a runner's store entry.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerChange {
    /// The runner.
    pub name: RunnerName,
    /// The store revision of the change.
    pub revision: Revision,
    /// The new entry, or `None` if it was removed or cannot be used.
    pub record: Option<RunnerRecord>,
}

/// The wire form of a runner's entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryWire {
    /// The time of its start, which distinguishes starts under one name.
    #[prost(int64, tag = "1")]
    pub started_at: i64,
    /// The model or plain service that it offers.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The address at which it listens.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The number of requests that it serves at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes new requests; false while it is leaving.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
    /// Whether the provider may take it away at short notice.
    #[prost(bool, tag = "7")]
    pub is_preemptible: bool,
}

/// The wire form of a [`RunnerChange`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeWire {
    /// The runner's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The store revision of the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The new entry; absent if it was removed or cannot be used.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryWire>,
}

/// All changes of runners' entries after one store revision and up to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunnerNews {
    /// The revision after which the changes begin; 0 if they are a full list.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The revision up to which the changes are complete.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The changes, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeWire>,
    /// The version of the sender's configuration, 0 if it has none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Whether the changes come from a list, which also reveals changes that watches missed.
    #[prost(bool, tag = "4")]
    pub is_listed: bool,
}

/// A peer's message with an invalid runner name, service, zone or address.
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
            is_preemptible: record.is_preemptible,
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
                is_preemptible: entry.is_preemptible,
            }),
            None => None,
        };
        Ok(RunnerChange { name, revision: Revision(wire.revision), record })
    }
}
