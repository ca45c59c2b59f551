//! The value that the platform's key-value store holds for one slot.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Member};

const DIGEST_BYTES: usize = 16;

/// What is known about calls that ran without being in the record; ordered by increasing uncertainty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Gap {
    /// No call did.
    #[default]
    None,
    /// Calls may have, and a witness has since refused further consent.
    Witnessed,
    /// Calls may have, and no witness could be asked, so the old executor may still run some.
    Unwitnessed,
}

/// The executor of a slot and the keys that were claimed there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotRecord {
    /// The executor, or `None` after the slot was released.
    pub owner: Option<Member>,
    /// Increases with each takeover, each commit of calls that ran outside the journal, and each refused consent.
    pub epoch: u64,
    /// Identifies the write, so that its writer recognizes it after a lost reply.
    pub write: u64,
    /// Whether calls may have run that are missing from `claims`.
    pub gap: Gap,
    /// The peers whose consent the executor needs for a gap in this epoch.
    pub witnesses: Vec<Member>,
    /// The keys that were claimed within the retention time.
    pub claims: Vec<KeyDigest>,
}

impl SlotRecord {
    /// Whether the record, read by `me`, proves that the call with `key` has not run: `me` is its executor, there is no
    /// gap, and the key is not claimed.
    pub fn proves_not_run(&self, me: &Member, key: KeyDigest) -> bool {
        self.owner.as_ref() == Some(me) && self.gap == Gap::None && !self.claims.contains(&key)
    }
}

/// The serialized form of a [`SlotRecord`], with the claims as one base64 string.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotRecordWire {
    owner: Option<Member>,
    epoch: u64,
    write: u64,
    gap: Gap,
    witnesses: Vec<Member>,
    claims: String,
}

/// The claims are not valid base64 of a whole number of digests.
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
