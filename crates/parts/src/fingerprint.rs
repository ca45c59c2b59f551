//! A 64-bit hash of a request's content.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A 64-bit hash that is equal for requests with equal content, whatever their request ids are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes `parts` in order. The same bytes split into other parts have another fingerprint.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = 0;
        for part in parts {
            hash = rapidhash::v3::rapidhash_v3_seeded(part, &rapidhash::v3::RapidSecrets::seed(hash));
        }
        Fingerprint(hash)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}
