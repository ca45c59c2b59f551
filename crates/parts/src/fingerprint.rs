//! A short hash of a request's content.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies equal content, whatever request id it arrives under.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of `parts` in order; the split between parts matters.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut sum = 0;
        for part in parts {
            sum = rapidhash::v3::rapidhash_v3_seeded(part, &rapidhash::v3::RapidSecrets::seed(sum));
        }
        Fingerprint(sum)
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
