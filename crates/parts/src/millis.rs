//! A point in monotonic time or a duration, in milliseconds.

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration in milliseconds, or a point in time as milliseconds since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The duration from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl From<Millis> for Duration {
    fn from(span: Millis) -> Duration {
        Duration::from_millis(span.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Millis {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Millis, ParseIntError> {
        text.trim_end_matches("ms").parse().map(Millis)
    }
}
