//! The value that the platform's key-value service holds for one slot.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Member};

const DIGEST_BYTES: usize = 16;

/// Who executes a slot and which keys were claimed there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotRecord {
    /// The executor, or `None` once released.
    pub owner: Option<Member>,
    /// Rises with each takeover and each return from an outage.
    pub epoch: u64,
    /// Identifies the write, so that its author recognizes it after a lost reply.
    pub write: u64,
    /// Whether calls may have run that `claims` does not hold.
    pub gap: bool,
    /// The peers that may have witnessed a gap in this epoch.
    pub witnesses: Vec<Member>,
    /// The keys claimed within the retention.
    pub claims: Vec<KeyDigest>,
}

/// The serialized form of a [`SlotRecord`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotRecordWire {
    owner: Option<Member>,
    epoch: u64,
    write: u64,
    gap: bool,
    witnesses: Vec<Member>,
    claims: String,
}

/// A record whose claims are not a whole number of digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRecordError;

impl fmt::Display for SlotRecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the slot's claims are not base64 of 16-byte digests; another program wrote this key")
    }
}

impl std::error::Error for SlotRecordError {}

impl From<&SlotRecord> for SlotRecordWire {
    fn from(record: &SlotRecord) -> SlotRecordWire {
        let digests: Vec<u8> = record.claims.iter().flat_map(|key| key.0.to_be_bytes()).collect();
        SlotRecordWire {
            owner: record.owner.clone(),
            epoch: record.epoch,
            write: record.write,
            gap: record.gap,
            witnesses: record.witnesses.clone(),
            claims: STANDARD_NO_PAD.encode(digests),
        }
    }
}

impl TryFrom<SlotRecordWire> for SlotRecord {
    type Error = SlotRecordError;

    fn try_from(wire: SlotRecordWire) -> Result<SlotRecord, SlotRecordError> {
        let digests = STANDARD_NO_PAD.decode(&wire.claims).map_err(|_| SlotRecordError)?;
        let (digests, rest) = digests.as_chunks::<DIGEST_BYTES>();
        if !rest.is_empty() {
            return Err(SlotRecordError);
        }
        Ok(SlotRecord {
            owner: wire.owner,
            epoch: wire.epoch,
            write: wire.write,
            gap: wire.gap,
            witnesses: wire.witnesses,
            claims: digests.iter().map(|digest| KeyDigest(u128::from_be_bytes(*digest))).collect(),
        })
    }
}
