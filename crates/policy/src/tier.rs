//! Priority tiers of request classes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A priority tier; zero is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// The number of tiers.
    pub const COUNT: usize = 5;

    /// All tiers, the most urgent first.
    pub fn all() -> impl DoubleEndedIterator<Item = Tier> {
        (0..Tier::COUNT as u8).map(Tier)
    }

    /// The index of this tier in an array of [`Tier::COUNT`] elements; a tier out of range counts
    /// as the least urgent.
    pub fn index(self) -> usize {
        usize::from(self.0).min(Tier::COUNT - 1)
    }

    /// Whether requests of this tier are refused rather than queued past their target, and may
    /// preempt those of other tiers.
    pub const fn is_urgent(self) -> bool {
        self.0 <= 1
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tier {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Tier, &'static str> {
        match text.parse() {
            Ok(tier) if usize::from(tier) < Tier::COUNT => Ok(Tier(tier)),
            _ => Err("a tier is a number from 0 to 4"),
        }
    }
}
