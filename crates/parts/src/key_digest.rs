//! The digest that identifies a call which must run at most once.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// A 128-bit digest of customer, request class and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Computes the digest of the idempotency key `key` that `customer` sent for the request class `class`.
    pub fn of(customer: &str, class: &str, key: &str) -> KeyDigest {
        let forward = Fingerprint::of(&[customer.as_bytes(), class.as_bytes(), key.as_bytes()]);
        let backward = Fingerprint::of(&[key.as_bytes(), class.as_bytes(), customer.as_bytes()]);
        KeyDigest(u128::from(forward.0) << 64 | u128::from(backward.0))
    }

    /// Splits the digest into its upper and lower 64 bits, the form in which daemons send it to each other.
    pub fn halves(self) -> (u64, u64) {
        ((self.0 >> 64) as u64, self.0 as u64)
    }

    /// Joins the upper and lower 64 bits, as [`KeyDigest::halves`] returned them.
    pub fn from_halves(high: u64, low: u64) -> KeyDigest {
        KeyDigest(u128::from(high) << 64 | u128::from(low))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<KeyDigest, ParseIntError> {
        u128::from_str_radix(text, 16).map(KeyDigest)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<KeyDigest, ParseIntError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
