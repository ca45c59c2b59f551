//! True time as most daemons state it, on a machine whose own clock may jump.

use std::collections::{BTreeMap, VecDeque};

use crate::{DaemonName, Millis, UnixMs};

/// How long a source's last statement counts; it covers two lost heartbeats between zones in a fleet of 300 daemons.
const STATEMENT_TTL: Millis = Millis(30_000);

/// A late heartbeat only lowers the offset that it yields, so that the highest of the last ones counts. After a pause,
/// a receiver finds at most two late ones per sender in its socket unless further ones follow within a second.
const OFFSETS_KEPT: usize = 3;

/// Sources within this distance agree.
const TOLERANCE_MS: u64 = 500;

/// From this number of sources on, the median outvotes one wrong clock.
const MAJORITY_SOURCES: usize = 3;

/// How long fewer sources must contradict the present offset before it follows them. A jump of one clock is shorter or
/// unknowable; without this limit a lone daemon would never follow the correction of its clock.
const CONTRADICTION_TIME: Millis = Millis(30_000);

/// The offsets of one clock from the local monotonic clock, in milliseconds.
#[derive(Debug, Clone, Default)]
struct Source {
    offsets: VecDeque<i64>,
    heard: Millis,
}

impl Source {
    fn offset(&self) -> Option<i64> {
        self.offsets.iter().max().copied()
    }
}

/// Derives true time from the local monotonic clock and the median offset of all known clocks.
///
/// ```
/// use teaselcroft_parts::{AgreedClock, Millis, UnixMs};
///
/// let mut clock = AgreedClock::default();
/// clock.update(UnixMs(1_000_000), Millis(100));
/// assert_eq!(clock.unix(Millis(350)), Some(UnixMs(1_000_250)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct AgreedClock {
    peers: BTreeMap<DaemonName, Source>,
    offset: Option<i64>,
    /// The number of clocks that the offset was taken from.
    support: usize,
    contradicted_since: Option<Millis>,
}

impl AgreedClock {
    /// Records the time that a peer's heartbeat states, received at `now` on the local monotonic clock.
    pub fn observe(&mut self, peer: &DaemonName, stated: UnixMs, now: Millis) {
        let Some(offset) = offset_of(stated, now) else {
            return;
        };
        let source = self.peers.entry(peer.clone()).or_default();
        if source.offsets.len() == OFFSETS_KEPT {
            source.offsets.pop_front();
        }
        source.offsets.push_back(offset);
        source.heard = now;
    }

    /// Decides the offset anew; `own` is what the machine's own clock shows. Returns by how many milliseconds it moved.
    pub fn update(&mut self, own: UnixMs, now: Millis) -> i64 {
        self.peers.retain(|_, source| now.since(source.heard) <= STATEMENT_TTL);
        let mut offsets: Vec<i64> = self.peers.values().filter_map(Source::offset).collect();
        offsets.extend(offset_of(own, now));
        offsets.sort_unstable();
        let before = self.offset;
        if let Some(median) = median(&offsets, before).filter(|_| self.follows(&offsets, now)) {
            (self.offset, self.support, self.contradicted_since) = (Some(median), offsets.len(), None);
        }
        before.zip(self.offset).map_or(0, |(before, after)| after - before)
    }

    /// Whether the clocks with these offsets decide, rather than the offset that more of them agreed on before.
    fn follows(&mut self, offsets: &[i64], now: Millis) -> bool {
        let Some(held) = self.offset else {
            return true;
        };
        if offsets.len() >= MAJORITY_SOURCES || offsets.len() > self.support {
            return true;
        }
        if offsets.iter().any(|offset| offset.abs_diff(held) <= TOLERANCE_MS) {
            self.contradicted_since = None;
            return false;
        }
        // If two clocks that agree with each other moved alike, the local monotonic clock stood still.
        let is_unanimous = matches!(offsets, [first, second] if first.abs_diff(*second) <= TOLERANCE_MS);
        let since = *self.contradicted_since.get_or_insert(now);
        is_unanimous || now.since(since) >= CONTRADICTION_TIME
    }

    /// The true time at `now` on the local monotonic clock; `None` before the first update.
    pub fn unix(&self, now: Millis) -> Option<UnixMs> {
        let unix = i64::try_from(now.0).ok()?.checked_add(self.offset?)?;
        u64::try_from(unix).ok().map(UnixMs)
    }

    /// The number of clocks that the present offset was taken from.
    pub const fn support(&self) -> usize {
        self.support
    }
}

fn offset_of(stated: UnixMs, now: Millis) -> Option<i64> {
    i64::try_from(stated.0).ok()?.checked_sub(i64::try_from(now.0).ok()?)
}

/// The median of sorted offsets; of two middle ones that which is nearer to `held`, else the lower, so that two daemons
/// which start together choose alike.
fn median(sorted: &[i64], held: Option<i64>) -> Option<i64> {
    let upper = *sorted.get(sorted.len() / 2)?;
    if sorted.len() % 2 == 1 {
        return Some(upper);
    }
    let lower = *sorted.get(sorted.len() / 2 - 1)?;
    let is_upper = held.is_some_and(|held| upper.abs_diff(held) < lower.abs_diff(held));
    Some(if is_upper { upper } else { lower })
}
