//! Rendezvous hashing: all processes rank candidates the same without communication.

use crate::Fingerprint;

/// The rank of `candidate` for `subject`, a hash of both; the candidate with the highest rank is chosen.
pub fn rank(subject: &str, candidate: &str) -> u64 {
    Fingerprint::of(&[subject.as_bytes(), candidate.as_bytes()]).0
}

/// The candidate with the highest rank for `subject`, or `None` without candidates. A removed candidate moves only
/// the subjects that it had.
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
