//! What a dispatcher knows of one runner.

use teaselcroft_parts::{Millis, RunnerName, ZoneName};

/// A runner as the platform's VM list gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// The runner.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address as `host:port`.
    pub address: String,
    /// How many requests it runs at once.
    pub places: u32,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// A runner's lagging report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run or wait there.
    pub running: u32,
    /// Time for one token of every running request, in microseconds; zero when idle.
    pub step_us: u64,
}

/// A runner's state at its dispatcher.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    pub(crate) own: u32,
    pub(crate) reported: u32,
    pub(crate) allowed: u32,
    pub(crate) down_until: Option<Millis>,
    pub(crate) alone_until: Option<Millis>,
    pub(crate) reserved: bool,
    pub(crate) fast: bool,
    pub(crate) lesser: u32,
    pub(crate) suspects: u32,
    pub(crate) crash: Option<(Millis, u32)>,
    pub(crate) step_us: u64,
}

impl Runner {
    pub(crate) fn new(info: RunnerInfo) -> Runner {
        let allowed = info.places;
        Runner {
            info,
            own: 0,
            reported: 0,
            allowed,
            down_until: None,
            alone_until: None,
            reserved: false,
            fast: false,
            lesser: 0,
            suspects: 0,
            crash: None,
            step_us: 0,
        }
    }

    /// Requests there, by own counts or, where these may lack some, by the report if higher.
    pub(crate) fn load(&self, trust_report: bool) -> u32 {
        if trust_report { self.own.max(self.reported) } else { self.own }
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.info.leaving && self.down_until.is_none()
    }

    pub(crate) fn is_open(&self, trust_report: bool) -> bool {
        let shared = self.is_usable() && !self.reserved && self.alone_until.is_none();
        shared && self.load(trust_report) < self.allowed
    }

    /// Counts a broken connection and returns how many requests shared the runner then.
    pub(crate) fn note_break(&mut self, now: Millis, window: Millis) -> u32 {
        if let Some((at, batch)) = self.crash
            && now.since(at) < window
        {
            return batch;
        }
        let batch = self.own.max(1);
        self.crash = Some((now, batch));
        batch
    }
}
