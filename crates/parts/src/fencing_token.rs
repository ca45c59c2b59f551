//! The number that orders the holders of a duty.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A number that rises whenever the holder of a duty changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for FencingToken {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<FencingToken, ParseIntError> {
        text.parse().map(FencingToken)
    }
}
