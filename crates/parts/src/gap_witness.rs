//! A peer's record of which executors may have run calls that are missing from their journal.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::{Incarnation, SlotId};

/// A witness's answer to a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessAnswer {
    /// The owner may have run calls that its journal lacks.
    Gap,
    /// The owner has run none by consent of this witness, which refuses any further consent.
    NoGap,
}

/// Remembers, per slot, epoch and owner, whether this witness consented to run calls outside the journal, and whether
/// it refuses any further consent.
///
/// An executor needs the consent of every witness in its record to run calls outside the journal. A successor needs
/// the answer of only one of them: it says whether there was a gap, and refuses the old executor from then on.
///
/// ```
/// use teaselcroft_parts::{GapWitness, Incarnation, SlotId, WitnessAnswer};
///
/// let mut witness = GapWitness::default();
/// assert!(witness.try_consent(SlotId(0), 4..=4, Incarnation(1)));
/// assert_eq!(witness.answer_successor(SlotId(0), 4, Incarnation(1)), WitnessAnswer::Gap);
/// assert!(!witness.try_consent(SlotId(0), 4..=4, Incarnation(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct GapWitness {
    marks: BTreeMap<(SlotId, u64, Incarnation), Mark>,
    /// The lowest epoch of each slot that is still tracked.
    floors: BTreeMap<SlotId, u64>,
}

/// What the witness did for one slot, epoch and owner.
#[derive(Debug, Clone, Copy, Default)]
struct Mark {
    /// It consented to a gap.
    consented: bool,
    /// It answered a successor and refuses consent.
    denied: bool,
}

impl GapWitness {
    /// Handles an executor's request to run calls outside its journal. Returns true if the witness consents, and then
    /// remembers it.
    ///
    /// `epochs` are all epochs that the executor's record in the store may have: the committed one, and that of a write
    /// without a reply.
    pub fn try_consent(&mut self, slot: SlotId, epochs: RangeInclusive<u64>, owner: Incarnation) -> bool {
        if *epochs.start() < self.floor(slot) {
            return false;
        }
        let denied = |epoch| self.marks.get(&(slot, epoch, owner)).is_some_and(|mark| mark.denied);
        if epochs.clone().any(denied) {
            return false;
        }
        for epoch in epochs {
            self.marks.entry((slot, epoch, owner)).or_default().consented = true;
        }
        true
    }

    /// Tells a successor whether `owner` may have run calls outside its journal, and refuses `owner` any consent from
    /// now on. Epochs that were forgotten count as a gap.
    pub fn answer_successor(&mut self, slot: SlotId, epoch: u64, owner: Incarnation) -> WitnessAnswer {
        if epoch < self.floor(slot) {
            return WitnessAnswer::Gap;
        }
        let mark = self.marks.entry((slot, epoch, owner)).or_default();
        mark.denied = true;
        if mark.consented { WitnessAnswer::Gap } else { WitnessAnswer::NoGap }
    }

    /// Forgets everything about `slot` before `epoch`, and refuses consent for earlier epochs from now on.
    pub fn forget_before(&mut self, slot: SlotId, epoch: u64) {
        if epoch <= self.floor(slot) {
            return;
        }
        self.floors.insert(slot, epoch);
        self.marks.retain(|(known, at, _), _| *known != slot || *at >= epoch);
    }

    fn floor(&self, slot: SlotId) -> u64 {
        self.floors.get(&slot).copied().unwrap_or(0)
    }
}
