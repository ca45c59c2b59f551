//! The last holders of the duties, as the store keeps them.

use std::fmt;
use std::str::FromStr;

use crate::DaemonName;

/// The number of holders that are kept.
const MAX_HOLDERS: usize = 8;

const HELD: &str = "held";
const RELEASED: &str = "released";

/// The last holders of the duties, oldest first, and whether the last one ended in order: it had stopped acting, and all
/// its calls were answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHistory {
    holders: Vec<DaemonName>,
    is_released: bool,
    is_readable: bool,
}

/// The text of a history cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadableHistory;

impl fmt::Display for UnreadableHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the first line of a history of holders is `held` or `released`, each other one a daemon's name")
    }
}

impl std::error::Error for UnreadableHistory {}

impl Default for DutyHistory {
    /// The history before the first holder.
    fn default() -> DutyHistory {
        DutyHistory { holders: Vec::new(), is_released: true, is_readable: true }
    }
}

impl DutyHistory {
    /// A history that cannot be read; any daemon may have been the last holder.
    pub const fn unknown() -> DutyHistory {
        DutyHistory { holders: Vec::new(), is_released: false, is_readable: false }
    }

    /// The history after `name` became the holder.
    #[must_use]
    pub fn with(&self, name: &DaemonName) -> DutyHistory {
        let mut holders = self.holders.clone();
        holders.push(name.clone());
        let surplus = holders.len().saturating_sub(MAX_HOLDERS);
        holders.drain(..surplus);
        DutyHistory { holders, is_released: false, is_readable: true }
    }

    /// The history after its last holder ended in order.
    #[must_use]
    pub fn released(&self) -> DutyHistory {
        DutyHistory { is_released: true, ..self.clone() }
    }

    /// Whether the last holder ended in order, or there was none.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// The last holder.
    pub fn last(&self) -> Option<&DaemonName> {
        self.holders.last()
    }

    /// Whether others may have held the duties since `name` last did.
    pub fn may_return(&self, name: &DaemonName) -> bool {
        let is_complete = self.is_readable && self.holders.len() < MAX_HOLDERS;
        self.last() != Some(name) && (!is_complete || self.holders.contains(name))
    }
}

impl fmt::Display for DutyHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_released { RELEASED } else { HELD })?;
        self.holders.iter().try_for_each(|holder| write!(f, "\n{holder}"))
    }
}

impl FromStr for DutyHistory {
    type Err = UnreadableHistory;

    fn from_str(text: &str) -> Result<DutyHistory, UnreadableHistory> {
        let mut lines = text.lines();
        let is_released = match lines.next() {
            Some(RELEASED) => true,
            Some(HELD) => false,
            _ => return Err(UnreadableHistory),
        };
        let holders: Result<Vec<DaemonName>, _> = lines.map(str::parse).collect();
        let holders = holders.map_err(|_| UnreadableHistory)?;
        Ok(DutyHistory { holders, is_released, is_readable: true })
    }
}
