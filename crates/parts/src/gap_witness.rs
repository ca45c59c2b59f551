//! A peer's memory of which executors ran calls that their journal does not hold.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::{Incarnation, SlotId};

/// What a witness answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessAnswer {
    /// The owner may have run calls outside its journal.
    Gap,
    /// The owner has not, and this witness will not let it begin.
    NoGap,
}

/// Remembers, per slot and epoch, whether calls ran outside the journal, and for whom it no longer
/// allows that.
///
/// An executor needs every witness of its record to open a gap and to keep it open; a successor
/// asks them, and one that answers is enough: it says whether there was a gap and ends its consent.
///
/// ```
/// use teaselcroft_parts::{GapWitness, Incarnation, SlotId, WitnessAnswer};
///
/// let mut witness = GapWitness::default();
/// assert!(witness.record(SlotId(0), 4..=4, Incarnation(1)));
/// assert_eq!(witness.ask(SlotId(0), 4, Incarnation(1)), WitnessAnswer::Gap);
/// assert!(!witness.record(SlotId(0), 4..=4, Incarnation(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct GapWitness {
    marks: BTreeMap<(SlotId, u64, Incarnation), Mark>,
    floors: BTreeMap<SlotId, u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mark {
    recorded: bool,
    denied: bool,
}

impl GapWitness {
    /// An executor asks to run calls outside its journal; true if this witness remembers it.
    ///
    /// `epochs` are all under which the service may hold the executor's record: the committed one
    /// and that of a write without a reply.
    pub fn record(&mut self, slot: SlotId, epochs: RangeInclusive<u64>, owner: Incarnation) -> bool {
        if *epochs.start() < self.floor(slot) {
            return false;
        }
        let denied = |epoch| self.marks.get(&(slot, epoch, owner)).is_some_and(|mark| mark.denied);
        if epochs.clone().any(denied) {
            return false;
        }
        for epoch in epochs {
            self.marks.entry((slot, epoch, owner)).or_default().recorded = true;
        }
        true
    }

    /// A successor asks whether the executor had a gap; from now on it gets no consent here.
    pub fn ask(&mut self, slot: SlotId, epoch: u64, owner: Incarnation) -> WitnessAnswer {
        if epoch < self.floor(slot) {
            return WitnessAnswer::Gap;
        }
        let mark = self.marks.entry((slot, epoch, owner)).or_default();
        mark.denied = true;
        if mark.recorded { WitnessAnswer::Gap } else { WitnessAnswer::NoGap }
    }

    /// Forgets everything about `slot` before `epoch`; earlier epochs get no consent from now on.
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
