//! Rendezvous hashing: every process ranks candidates alike without talking.

use crate::Fingerprint;

/// The weight of `candidate` for `subject`; the largest weight wins.
pub fn rank(subject: &str, candidate: &str) -> u64 {
    Fingerprint::of(&[subject.as_bytes(), candidate.as_bytes()]).0
}

/// The candidate with the largest weight for `subject`, or `None` if there is none.
///
/// ```
/// use teaselcroft_parts::winner;
///
/// let daemons = ["entry-1", "entry-2", "entry-3"];
/// let first = winner("slot/4", daemons.into_iter());
/// assert_eq!(first, winner("slot/4", daemons.into_iter().rev()));
/// ```
pub fn winner<'a>(subject: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (rank(subject, candidate), *candidate))
}
