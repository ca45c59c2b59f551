//! The counts of all daemons, as the duty holder and the next candidate know them.

use std::collections::BTreeMap;

use super::{CustomerCounts, UsageSettings, UsageStatement, UsageTotal};
use crate::{CustomerName, Incarnation, Member, Millis, UnixMs, UsageWindow};

/// How many windows ahead of the own time a statement may be; clocks of daemons that just started differ by seconds.
const WINDOWS_AHEAD: u64 = 2;

/// After so many intervals without any statement, daemons may have stated their counts to others.
const FED_INTERVALS: u64 = 4;

/// Thousandths of a request, in which estimates are summed before they are rounded.
const MILLI: u64 = 1_000;

/// What is known of one run of a daemon.
#[derive(Debug, Clone, Default)]
struct KnownCounts {
    as_of: UnixMs,
    /// Whether all that is known of it comes from a checkpoint, which is older than its last statement may have been.
    is_restored: bool,
    windows: BTreeMap<UsageWindow, CustomerCounts>,
}

/// Keeps the highest counts that each run of a daemon stated, by window and customer.
#[derive(Debug)]
pub struct UsageCollector {
    settings: UsageSettings,
    members: BTreeMap<Member, KnownCounts>,
    revision: u64,
    /// Since when statements have arrived without a gap, and when the last one did.
    fed: Option<(UnixMs, UnixMs)>,
}

impl UsageCollector {
    /// A collector that knows no counts.
    pub const fn new(settings: UsageSettings) -> UsageCollector {
        UsageCollector { settings, members: BTreeMap::new(), revision: 0, fed: None }
    }

    /// The settings.
    pub const fn settings(&self) -> &UsageSettings {
        &self.settings
    }

    /// Changes the time between two statements, which follows from the number of daemons.
    pub const fn set_interval(&mut self, interval: Millis) {
        self.settings.interval = interval;
    }

    /// Adds what a daemon stated, as it arrives at `now`. Windows that are too old or in the future are ignored.
    pub fn merge(&mut self, statement: UsageStatement, now: UnixMs) {
        let since = self.fed.filter(|(_, last)| now.since(*last) <= self.feed_gap()).map_or(now, |(since, _)| since);
        self.fed = Some((since, now));
        let known = self.members.entry(statement.member).or_default();
        known.is_restored = false;
        let is_later = statement.as_of > known.as_of;
        known.as_of = known.as_of.max(statement.as_of);
        let windows = self.settings.oldest(now)..=UsageWindow(self.settings.window_at(now).0 + WINDOWS_AHEAD);
        let is_raised = raise(known, statement.windows.into_iter().filter(|(window, _)| windows.contains(window)));
        self.revision += u64::from(is_later || is_raised);
    }

    fn feed_gap(&self) -> Millis {
        Millis(self.settings.interval.0 * FED_INTERVALS)
    }

    /// Whether daemons have stated their counts to this one for `span`, so that it has those of all.
    pub fn is_fed(&self, span: Millis, now: UnixMs) -> bool {
        self.fed.is_some_and(|(since, last)| now.since(since) >= span && now.since(last) <= self.feed_gap())
    }

    /// Adds what a former holder wrote in a checkpoint.
    pub fn restore(&mut self, statement: UsageStatement) {
        let known = self
            .members
            .entry(statement.member)
            .or_insert_with(|| KnownCounts { is_restored: true, ..KnownCounts::default() });
        known.as_of = known.as_of.max(statement.as_of);
        raise(known, statement.windows.into_iter());
    }

    /// Forgets windows before `first`, and daemons without any counts.
    pub fn forget_before(&mut self, first: UsageWindow) {
        self.members.retain(|_, known| {
            known.windows.retain(|window, _| *window >= first);
            !known.windows.is_empty()
        });
    }

    /// The oldest window with counts.
    pub fn first_window(&self) -> Option<UsageWindow> {
        self.members.values().filter_map(|known| known.windows.keys().next().copied()).min()
    }

    /// Rises with each statement that says something new.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every daemon that counted in a window, or just before it, was heard after its end or has restarted.
    pub fn is_complete(&self, window: UsageWindow) -> bool {
        let before = self.settings.start(UsageWindow(window.0.saturating_sub(1)));
        let end = self.settings.end(window);
        self.members.iter().all(|(member, known)| {
            known.as_of >= end || known.as_of < before || self.is_superseded(member, known.as_of)
        })
    }

    /// Whether a later run of the same daemon is known. The clock of its VM may have gone back in between, so that the
    /// incarnations may be in the wrong order.
    fn is_superseded(&self, member: &Member, as_of: UnixMs) -> bool {
        let run = |incarnation| Member { name: member.name.clone(), incarnation: Incarnation(incarnation) };
        self.members.range(run(0)..=run(u64::MAX)).any(|(_, known)| known.as_of > as_of)
    }

    /// The counts of a window. For each daemon that fell silent within it, requests are added at the rate stated so far
    /// for half of the longest time by which its last statement may precede its end: one interval, and the time between
    /// two checkpoints if it is known from one. Nothing is added beyond that: callers went to other daemons.
    pub fn total(&self, window: UsageWindow) -> UsageTotal {
        let mut total = UsageTotal::default();
        let mut added: BTreeMap<CustomerName, u64> = BTreeMap::new();
        for (member, known) in &self.members {
            let Some(counts) = known.windows.get(&window) else {
                continue;
            };
            for (customer, count) in counts {
                *total.counts.entry(customer.clone()).or_default() += count;
            }
            let Some((lag, elapsed)) = self.unstated_share(known, window) else {
                continue;
            };
            let mut sum = 0;
            for (customer, count) in counts {
                let milli = count.saturating_mul(MILLI).saturating_mul(lag.0) / elapsed.0;
                *added.entry(customer.clone()).or_default() += milli;
                sum += milli;
            }
            total.estimated.push((member.clone(), rounded(sum)));
        }
        for (customer, milli) in added {
            *total.counts.entry(customer).or_default() += rounded(milli);
        }
        total
    }

    /// For a daemon that fell silent within a window: how long it may have counted after its last statement, and how much
    /// of the window that statement covers.
    fn unstated_share(&self, known: &KnownCounts, window: UsageWindow) -> Option<(Millis, Millis)> {
        let (start, end) = (self.settings.start(window), self.settings.end(window));
        if known.as_of <= start || known.as_of >= end {
            return None;
        }
        let checkpoint = if known.is_restored { self.settings.checkpoint } else { Millis(0) };
        let lag = Millis((self.settings.interval + checkpoint).0 / 2).min(end.since(known.as_of));
        let elapsed = known.as_of.since(start);
        Some((lag.min(elapsed), elapsed))
    }

    /// What a checkpoint holds: the counts of windows that are not written down.
    pub fn statements(&self, is_open: impl Fn(UsageWindow) -> bool) -> Vec<UsageStatement> {
        let statement = |(member, known): (&Member, &KnownCounts)| {
            let open = known.windows.iter().filter(|(window, _)| is_open(**window));
            let windows: BTreeMap<_, _> = open.map(|(window, counts)| (*window, counts.clone())).collect();
            (!windows.is_empty()).then(|| UsageStatement { member: member.clone(), as_of: known.as_of, windows })
        };
        self.members.iter().filter_map(statement).collect()
    }
}

const fn rounded(milli: u64) -> u64 {
    (milli + MILLI / 2) / MILLI
}

/// Raises counts to at least those given; returns whether any rose.
fn raise(known: &mut KnownCounts, windows: impl Iterator<Item = (UsageWindow, CustomerCounts)>) -> bool {
    let mut is_raised = false;
    for (window, counts) in windows {
        let kept = known.windows.entry(window).or_default();
        for (customer, count) in counts {
            let highest = kept.entry(customer).or_default();
            is_raised |= count > *highest;
            *highest = count.max(*highest);
        }
    }
    is_raised
}
