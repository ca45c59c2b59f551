//! Which peers are asked for a newer configuration at the same time.

use teaselcroft_parts::Millis;

/// How long a peer may send nothing before another one is asked too.
const STALL_DELAY: Millis = Millis(300);

/// How long a peer may take that does send before another one is asked too. Each further transfer takes its share of this
/// daemon's link from the others.
const HEDGE_DELAY: Millis = Millis(1_000);

/// How long the first peers may take until their answers begin. A connection and a call over a link that callers nearly fill take
/// over a second.
const MIN_PATIENCE: Millis = Millis(1_500);

/// The same while fetches fail. Fetches that hang since a path was cut end this long after it works again.
const MAX_PATIENCE: Millis = Millis(3_000);

/// The most peers that are asked at once, since each answer loads a link.
const MAX_FETCHES: u32 = 3;

/// The fetches that run.
#[derive(Debug)]
struct Running {
    count: u32,
    /// The highest version that was announced by the peers that are asked.
    version: u64,
    /// When the last fetch began.
    began: Millis,
    /// When a peer last sent bytes.
    received: Option<Millis>,
}

impl Running {
    /// Whether a further peer is to be asked although others are.
    fn admits(&self, version: u64, now: Millis) -> bool {
        // While bytes of an older version arrive, the newer one is fetched after it.
        let is_idle = version > self.version && self.received.is_none();
        let last_sign = self.received.map_or(self.began, |received| received.max(self.began));
        let is_slow = now.since(last_sign) >= STALL_DELAY || now.since(self.began) >= HEDGE_DELAY;
        is_idle || version >= self.version && self.count < MAX_FETCHES && is_slow
    }
}

/// The fetches of configurations from peers that run. All of them share this daemon's link, whichever version they are for.
#[derive(Debug, Default)]
pub struct ConfigFetches {
    running: Option<Running>,
    /// Failed fetches since the last one that succeeded.
    failures: u32,
}

impl ConfigFetches {
    /// Whether a peer that announces `version` is to be asked for it now; if so, `end` must follow.
    pub fn try_begin(&mut self, version: u64, now: Millis) -> bool {
        let Some(running) = &mut self.running else {
            self.running = Some(Running { count: 1, version, began: now, received: None });
            return true;
        };
        let is_due = running.admits(version, now);
        if is_due {
            *running = Running { count: running.count + 1, version, began: now, received: running.received };
        }
        is_due
    }

    /// Records that a peer sent bytes.
    pub fn progressed(&mut self, now: Millis) {
        if let Some(running) = &mut self.running {
            running.received = Some(now);
        }
    }

    /// How long a peer may take until its answer begins; longer while fetches fail, since the path may be slow.
    pub fn patience(&self) -> Millis {
        if self.failures < MAX_FETCHES { MIN_PATIENCE } else { MAX_PATIENCE }
    }

    /// Records that a fetch ended, with or without success.
    pub fn end(&mut self, is_done: bool) {
        self.failures = if is_done { 0 } else { self.failures.saturating_add(1) };
        if let Some(running) = &mut self.running {
            running.count = running.count.saturating_sub(1);
        }
        self.running.take_if(|running| running.count == 0);
    }
}
