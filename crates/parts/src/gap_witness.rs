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

/// Remembers, per slot and epoch, either a gap or the promise not to allow one.
///
/// An executor needs one witness to open a gap; a successor asks all of them. Whichever comes
/// first at the witness they share decides, so the two cannot both pass unseen.
#[derive(Debug, Clone, Default)]
pub struct GapWitness {
    answers: BTreeMap<(SlotId, u64, Incarnation), WitnessAnswer>,
    floors: BTreeMap<SlotId, u64>,
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
        let denied = |epoch| self.answers.get(&(slot, epoch, owner)) == Some(&WitnessAnswer::NoGap);
        if epochs.clone().any(denied) {
            return false;
        }
        let gaps = epochs.map(|epoch| ((slot, epoch, owner), WitnessAnswer::Gap));
        self.answers.extend(gaps);
        true
    }

    /// A successor asks whether the executor had a gap; from now on it cannot open one here.
    pub fn ask(&mut self, slot: SlotId, epoch: u64, owner: Incarnation) -> WitnessAnswer {
        if epoch < self.floor(slot) {
            return WitnessAnswer::Gap;
        }
        *self.answers.entry((slot, epoch, owner)).or_insert(WitnessAnswer::NoGap)
    }

    /// Forgets everything about `slot` before `epoch`; earlier epochs get no consent from now on.
    pub fn forget_before(&mut self, slot: SlotId, epoch: u64) {
        if epoch <= self.floor(slot) {
            return;
        }
        self.floors.insert(slot, epoch);
        self.answers.retain(|(known, at, _), _| *known != slot || *at >= epoch);
    }

    fn floor(&self, slot: SlotId) -> u64 {
        self.floors.get(&slot).copied().unwrap_or(0)
    }
}
