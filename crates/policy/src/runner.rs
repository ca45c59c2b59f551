//! The state of one runner at its dispatcher.

use teaselcroft_parts::{Millis, RunnerName, ZoneName};

/// A runner as the platform's VM list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Its name, which identifies it across updates of the list.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address as `host:port`.
    pub address: String,
    /// How many requests it runs at once.
    pub places: u32,
    /// Whether the platform is about to remove it; it gets no new requests then.
    pub leaving: bool,
}

/// A runner's periodic report of its own load, which lags behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run or wait there.
    pub running: u32,
    /// Time in which every running request gets one more token, in microseconds; zero when idle.
    pub step_us: u64,
}

/// The state of one runner at its dispatcher.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    /// Requests that this dispatcher granted and that have not ended.
    pub(crate) granted: u32,
    /// Requests in its last load report.
    pub(crate) reported: u32,
    /// The most requests that it may run at once now; below its places while it is a straggler.
    pub(crate) place_limit: u32,
    /// Set while it is out of use: a load report from this time on brings it back.
    pub(crate) down_until: Option<Millis>,
    /// Set while it runs a crash suspect alone.
    pub(crate) isolated_until: Option<Millis>,
    /// Whether it gets no new requests until it is empty, so that a crash suspect can run alone.
    pub(crate) draining: bool,
    /// Whether it is dedicated to urgent requests.
    pub(crate) dedicated: bool,
    /// Granted requests of tiers that are not urgent.
    pub(crate) non_urgent: u32,
    /// Granted requests that are crash suspects.
    pub(crate) suspects: u32,
    /// When it last crashed, with the number of requests that ran on it then.
    pub(crate) last_crash: Option<(Millis, u32)>,
    pub(crate) step_us: u64,
}

impl Runner {
    pub(crate) fn new(info: RunnerInfo) -> Runner {
        let place_limit = info.places;
        Runner {
            info,
            granted: 0,
            reported: 0,
            place_limit,
            down_until: None,
            isolated_until: None,
            draining: false,
            dedicated: false,
            non_urgent: 0,
            suspects: 0,
            last_crash: None,
            step_us: 0,
        }
    }

    /// Its load in requests: the dispatcher's own count or, with `trust_report`, the reported load
    /// if that is higher, because the count may miss some.
    pub(crate) fn load(&self, trust_report: bool) -> u32 {
        if trust_report { self.granted.max(self.reported) } else { self.granted }
    }

    /// Whether it can run requests: it is neither leaving nor out of use.
    pub(crate) fn is_usable(&self) -> bool {
        !self.info.leaving && self.down_until.is_none()
    }

    /// Whether it may be granted another request.
    pub(crate) fn is_open(&self, trust_report: bool) -> bool {
        let accepts_work = self.is_usable() && !self.draining && self.isolated_until.is_none();
        accepts_work && self.load(trust_report) < self.place_limit
    }

    /// Records a broken connection as a crash; returns how many requests ran on the runner then.
    ///
    /// Connections that break within `window` belong to the same crash.
    pub(crate) fn record_crash(&mut self, now: Millis, window: Millis) -> u32 {
        if let Some((at, affected)) = self.last_crash
            && now.since(at) < window
        {
            return affected;
        }
        let affected = self.granted.max(1);
        self.last_crash = Some((now, affected));
        affected
    }
}
