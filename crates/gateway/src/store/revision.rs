//! Revisions of the store.

use std::fmt;

use super::Era;

/// The bits of a revision that hold the store's number; the era is above them.
const NUMBER_BITS: u32 = 40;

/// A revision of the store; each write gets a higher one. Revisions of a later era are higher than all of an earlier one, although
/// the store gives out their numbers again. The era is part of the number, so that messages and fencing tokens carry it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that the store calls `number` in `era`.
    pub const fn new(era: Era, number: u64) -> Revision {
        Revision(era.0 << NUMBER_BITS | number)
    }

    /// The era to which it belongs.
    pub const fn era(self) -> Era {
        Era(self.0 >> NUMBER_BITS)
    }

    /// The number by which the store knows it in its era.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => self.number().fmt(f),
            era => write!(f, "{era}/{}", self.number()),
        }
    }
}
