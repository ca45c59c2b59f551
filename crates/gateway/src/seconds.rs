//! A duration as written in the settings file.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use serde::Deserialize;
use teaselcroft_parts::Millis;

/// A duration in seconds, possibly fractional; negative values count as zero when converted to milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Deserialize)]
#[serde(transparent)]
pub struct Seconds(pub f64);

impl From<Seconds> for Millis {
    fn from(span: Seconds) -> Millis {
        Millis((span.0.max(0.0) * 1_000.0) as u64)
    }
}

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}s", self.0)
    }
}

impl FromStr for Seconds {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Seconds, ParseFloatError> {
        text.trim_end_matches('s').parse().map(Seconds)
    }
}
