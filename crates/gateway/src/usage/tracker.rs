//! What a daemon knows of usage: its own counts, those that others stated to it, and the agreed time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use teaselcroft_parts::{
    AgreedClock, CustomerName, DaemonName, Incarnation, Member, Millis, UnixMs, UsageCollector, UsageCounter,
    UsageSettings, UsageStatement, UsageWindow,
};

use super::UsageRecord;
use crate::{DutySettings, Event, log_event};

/// A smaller change of the agreed time is not logged.
const LOGGED_CHANGE_MS: u64 = 250;

/// What a daemon knows of usage, where the settings ask for reports. Its times are those of a monotonic clock that counts
/// suspended time, where the machine offers one; peers' heartbeats correct what it misses.
#[derive(Debug)]
pub struct UsageTracker {
    clock: AgreedClock,
    counter: UsageCounter,
    /// What this and other daemons stated to this one; the duty holder and the next candidate have all.
    pub collector: UsageCollector,
    /// The reports that this daemon wrote to the store or read from it as the duty holder. They are never changed.
    pub written: BTreeMap<UsageWindow, UsageRecord>,
    receivers: Vec<SocketAddr>,
}

impl UsageTracker {
    /// A tracker for a start of `daemon`, whose own clock shows `unix`.
    pub fn new(settings: &DutySettings, daemon: DaemonName, incarnation: u64, unix: u64, now: Millis) -> UsageTracker {
        let usage =
            UsageSettings { window: settings.window.into(), due: settings.due.into(), ..UsageSettings::default() };
        let mut clock = AgreedClock::default();
        clock.update(UnixMs(unix), now);
        let member = Member { name: daemon, incarnation: Incarnation(incarnation) };
        UsageTracker {
            clock,
            counter: UsageCounter::new(usage.clone(), member),
            collector: UsageCollector::new(usage),
            written: BTreeMap::new(),
            receivers: Vec::new(),
        }
    }

    /// The true time at `now`, as the daemons agree on it.
    pub fn unix(&self, now: Millis) -> UnixMs {
        self.clock.unix(now).unwrap_or_default()
    }

    /// Records the time that a peer's heartbeat states.
    pub fn heard(&mut self, peer: &str, unix: u64, now: Millis) {
        if let Ok(peer) = peer.parse() {
            self.clock.observe(&peer, UnixMs(unix), now);
        }
    }

    /// Counts a request that began at `at`.
    pub fn count(&mut self, customer: &CustomerName, at: Millis) {
        let unix = self.unix(at);
        self.counter.count(customer, unix);
    }

    /// Adds what a daemon stated.
    pub fn merge(&mut self, statement: UsageStatement, now: Millis) {
        let unix = self.unix(now);
        self.collector.merge(statement, unix);
    }

    /// Decides the agreed time anew; `own` is what the VM's clock shows.
    pub fn update_clock(&mut self, own: u64, now: Millis) {
        let moved = self.clock.update(UnixMs(own), now);
        if moved.unsigned_abs() > LOGGED_CHANGE_MS {
            log_event!(Event::AgreedTimeMoved, by_ms = moved, clocks = self.clock.support());
        }
    }

    /// What this daemon states now to these receivers, if anything.
    pub fn statement(&mut self, receivers: &[SocketAddr], daemons: usize, now: Millis) -> Option<UsageStatement> {
        let unix = self.unix(now);
        self.collector.set_interval(UsageSettings::interval_for(daemons));
        let oldest = self.collector.settings().oldest(unix);
        self.collector.forget_before(oldest);
        self.written.retain(|window, _| *window >= oldest);
        let is_new = receivers.iter().any(|receiver| !self.receivers.contains(receiver));
        self.receivers = receivers.to_vec();
        self.counter.statement(unix, is_new)
    }

    /// What this daemon states when it stops.
    pub fn last_statement(&mut self, now: Millis) -> Option<UsageStatement> {
        let unix = self.unix(now);
        self.counter.last_statement(unix)
    }
}
