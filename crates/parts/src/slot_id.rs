//! Slots: the partitions of the calls that must run at most once.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::KeyDigest;

/// One partition of the key space; each has at most one executor at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotId(pub u32);

/// The slot of `key` if there are `slots` slots; zero counts as one.
pub fn slot_of(key: KeyDigest, slots: u32) -> SlotId {
    let slots = u128::from(slots.max(1));
    SlotId((key.0 % slots) as u32)
}

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SlotId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<SlotId, ParseIntError> {
        text.parse().map(SlotId)
    }
}
