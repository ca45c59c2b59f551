//! Which of the store's histories an answer belongs to.

use std::fmt;

/// Which of the store's histories an answer belongs to. It rises when the store comes back from an older copy: what was written
/// after the copy was made is gone, and its revisions are given out again. A store that states none is in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
