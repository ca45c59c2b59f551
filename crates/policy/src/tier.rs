//! Service tiers, from the most to the least urgent.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A service tier; zero is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// The number of tiers.
    pub const COUNT: usize = 5;

    /// Every tier, the most urgent first.
    pub fn all() -> impl DoubleEndedIterator<Item = Tier> {
        (0..Tier::COUNT as u8).map(Tier)
    }

    /// The position of this tier in a table of [`Tier::COUNT`] rows.
    pub fn index(self) -> usize {
        usize::from(self.0).min(Tier::COUNT - 1)
    }

    /// Whether work of this tier is refused rather than served late, and preempts lesser work.
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
