//! When a runner fell silent.

use teaselcroft_parts::Millis;

/// A runner fell silent after it was heard last, and no later than an answer was due that never came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// When it was heard last.
    pub after: Millis,
    /// When the first answer was due that did not come.
    pub by: Millis,
}

impl Silence {
    /// Whether both runners may have fallen silent at the same moment, as a cut path makes them.
    pub fn may_coincide(self, other: Silence) -> bool {
        self.after <= other.by && other.after <= self.by
    }
}
