//! What one daemon knows of one runner.

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;

use teaselcroft_parts::Millis;
use teaselcroft_policy::{OutlierState, PrefillMeter};

use super::{Departure, Stated};
use crate::RunnerRecord;
use crate::fleet::placement::seeded_hash;
use crate::fleet::pressure::Pressure;
use crate::fleet::{Load, PREFILL_TOKENS_PER_MS};
use crate::store::Revision;

/// Makes the division into interactive and other runners independent of where prompt prefixes are placed.
const POOL_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// How long load reports contain a runner after the last request there ended; several reports and a heartbeat, since
/// datagrams get lost.
const OUTCOME_REPORT_TIME: Millis = Millis(1_000);

/// What one daemon knows of one runner. What the indexes depend on can be changed by the table alone.
#[derive(Debug)]
pub struct RunnerState {
    /// Its store entry.
    pub(super) record: Arc<RunnerRecord>,
    /// The latest store revision at which that entry was seen.
    pub(super) revision: Revision,
    /// Identifies this start of the runner in messages between daemons.
    pub(super) hash: u64,
    /// Decides which pool it is in: the ready runners with the smallest values serve interactive requests.
    pub pool_hash: u64,
    /// The load that this daemon put on it.
    pub own_load: Load,
    /// The load that other daemons put on it, by their reports.
    pub peer_load: Load,
    /// The requests of other daemons that the placement leader stated last, and when it did.
    pub stated_load: Option<(u32, Millis)>,
    /// What it is owed of its share of plain requests, and whether it ever got one.
    pub credit: Cell<f64>,
    pub is_plain: Cell<bool>,
    /// Prompt tokens that it was recently sent to prefill.
    pub pressure: Pressure,
    /// How fast it prefills; `None` if that is not learned.
    pub meter: Option<PrefillMeter>,
    /// The mean of the rates that were observed at the ready runners of its service.
    pub mean_rate: f64,
    /// The requests of this daemon that ended there, and those of them that failed, since its start.
    pub own_outcomes: (u32, u32),
    /// When the last of them ended.
    pub ended_at: Millis,
    /// What peers reported last of the same, by daemon.
    pub peer_outcomes: HashMap<String, (u32, u32)>,
    /// Whether it gets requests, by how all daemons' last ones ended.
    pub outlier: OutlierState,
    /// What it stated about itself.
    pub stated: Stated,
    /// Consecutive refused or broken connections.
    pub failures: u32,
    /// The end of its current avoidance, zero if it answered since.
    pub avoided_until: Millis,
}

impl RunnerState {
    pub(super) fn new(record: RunnerRecord, hash: u64, revision: Revision, stated: Stated) -> RunnerState {
        RunnerState {
            record: record.into(),
            revision,
            hash,
            pool_hash: seeded_hash(POOL_SEED, hash),
            own_load: Load::default(),
            peer_load: Load::default(),
            stated_load: None,
            credit: Cell::new(fastrand::f64()),
            is_plain: Cell::new(false),
            pressure: Pressure::default(),
            meter: None,
            mean_rate: PREFILL_TOKENS_PER_MS,
            own_outcomes: (0, 0),
            ended_at: Millis(0),
            peer_outcomes: HashMap::new(),
            outlier: OutlierState::default(),
            stated,
            failures: 0,
            avoided_until: Millis(0),
        }
    }

    /// Its store entry.
    pub fn record(&self) -> &Arc<RunnerRecord> {
        &self.record
    }

    /// The latest store revision at which that entry was seen.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Identifies this start of the runner in messages between daemons.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Stops new requests until an entry later than `revision` says that it takes them; no index depends on that.
    pub fn withdraw(&mut self, revision: Revision) {
        self.stated.departure = Some(Departure::new(revision));
        self.record = RunnerRecord { is_ready: false, ..(*self.record).clone() }.into();
    }

    /// The prompt tokens that it prefills per millisecond: the rate that is assumed for all, scaled by how its observed rate
    /// compares with the mean of its service. The absolute rate depends on the load beside the prefills, the ratio hardly.
    pub fn prefill_rate(&self) -> f64 {
        self.observed_rate().map_or(PREFILL_TOKENS_PER_MS, |rate| PREFILL_TOKENS_PER_MS * rate / self.mean_rate)
    }

    /// The observed rate, for the mean of its service.
    pub fn observed_rate(&self) -> Option<f64> {
        self.meter.map(|meter| meter.rate(PREFILL_TOKENS_PER_MS))
    }

    /// Counts prompt tokens that it was sent to prefill.
    pub fn add_pressure(&mut self, tokens: u32, now: Millis) {
        let rate = self.prefill_rate();
        self.pressure.add(tokens, rate, now);
    }

    /// Has the meter observe the present backlog.
    pub fn observe_backlog(&mut self, now: Millis) {
        let backlog = self.load().prefill_tokens;
        if let Some(meter) = &mut self.meter {
            meter.observe(backlog, now);
        }
    }

    /// Whether load reports contain it: this daemon uses it, used it lately or avoids it.
    pub fn is_reported(&self, now: Millis) -> bool {
        let is_recent = self.own_outcomes.0 > 0 && now.since(self.ended_at) < OUTCOME_REPORT_TIME;
        self.own_load.requests > 0 || self.avoided_until > now || is_recent
    }

    pub fn load(&self) -> Load {
        self.own_load + self.peer_load
    }
}
