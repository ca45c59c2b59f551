//! A point in true time.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::str::FromStr;

use crate::Millis;

/// Milliseconds since 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// The time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: UnixMs) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for UnixMs {
    type Output = UnixMs;

    fn add(self, span: Millis) -> UnixMs {
        UnixMs(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for UnixMs {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<UnixMs, ParseIntError> {
        text.parse().map(UnixMs)
    }
}
