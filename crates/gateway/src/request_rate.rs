//! A number of requests per second.

use std::fmt;
use std::str::FromStr;

/// A number of requests per second: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The text or number is no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRate;

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rate must be a finite number of requests per second, 0 or more")
    }
}

impl std::error::Error for InvalidRate {}

impl RequestRate {
    /// The requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<RequestRate, InvalidRate> {
        if per_second.is_finite() && per_second >= 0.0 { Ok(RequestRate(per_second)) } else { Err(InvalidRate) }
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<RequestRate, InvalidRate> {
        text.trim().parse::<f64>().map_err(|_| InvalidRate)?.try_into()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
